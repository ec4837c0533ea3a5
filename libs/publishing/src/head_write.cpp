#include "head_write.h"

#include <fmt/format.h>

#include <utility>
#include <variant>

namespace toucan::publishing {

head_write::head_write(platform::table_service& table, std::uint64_t expected_revision,
                       head_row row, const publisher::options& settings)
    : table_(table), expected_revision_(expected_revision), row_(std::move(row)),
      text_(encode(row_)), options_(settings)
{
}

publish_result head_write::run()
{
    auto pause = options_.pause;
    for (int i = 0; i < options_.attempts; ++i) {
        if (i > 0) {
            options_.sleep(pause);
            pause *= 2;
        }
        if (reply_lost_) {
            if (auto result = read_back(); result) {
                return std::move(*result);
            }
        }
        if (auto result = attempt(); result) {
            return std::move(*result);
        }
    }
    return unsettled(reason_);
}

std::optional<publish_result> head_write::attempt()
{
    const auto result = table_.compare_and_set(head_key, expected_revision_, text_);
    if (std::holds_alternative<platform::write_applied>(result)) {
        return accepted{row_.version};
    }
    if (const auto* it = std::get_if<platform::write_conflict>(&result); it != nullptr) {
        return it->present ? settle(*it->present) : unsettled("the head row is gone");
    }
    if (const auto* it = std::get_if<platform::write_refused>(&result); it != nullptr) {
        reason_ = it->reason;
    }
    if (const auto* it = std::get_if<platform::write_unknown>(&result); it != nullptr) {
        reply_lost_ = true;
        reason_ = it->reason;
    }
    return std::nullopt;
}

std::optional<publish_result> head_write::read_back()
{
    const auto result = table_.read(head_key);
    const auto* row = std::get_if<platform::table_row>(&result);
    // A stale replica shows the old row or one before it; that proves nothing.
    if (row == nullptr || row->revision <= expected_revision_) {
        return std::nullopt;
    }
    return settle(*row);
}

publish_result head_write::settle(const platform::table_row& present) const
{
    const auto head = decode_head_row(present.value);
    if (!head) {
        return unsettled("the head row on the platform is not readable");
    }
    if (head->publisher_id == row_.publisher_id) {
        return accepted{row_.version};
    }
    if (!reply_lost_ || head->version == row_.version) {
        return conflict{head->version, head->publisher_name};
    }
    if (head->version == row_.version + 1) {
        if (head->parent_publisher_id == row_.publisher_id) {
            return accepted{row_.version};
        }
        return conflict{head->version, head->publisher_name};
    }
    return unsettled(fmt::format("version {} of {} is in force, and the reply for version {} was "
                                 "lost",
                                 head->version, head->publisher_name, row_.version));
}

publish_result head_write::unsettled(std::string reason) const
{
    if (reply_lost_) {
        return not_known{std::move(reason)};
    }
    return not_accepted{std::move(reason)};
}

} // namespace toucan::publishing
