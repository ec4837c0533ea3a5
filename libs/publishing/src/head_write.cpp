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
    auto backoff = options_.initial_backoff;
    for (int i = 0; i < options_.max_attempts; ++i) {
        if (i > 0) {
            options_.sleep(backoff);
            backoff *= 2;
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
    return unresolved(reason_);
}

std::optional<publish_result> head_write::attempt()
{
    const auto result = table_.compare_and_set(head_key, expected_revision_, text_);
    if (std::holds_alternative<platform::write_applied>(result)) {
        return accepted{row_.version};
    }
    if (const auto* it = std::get_if<platform::write_conflict>(&result); it != nullptr) {
        return it->present ? resolve(*it->present) : unresolved("the head row no longer exists");
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
    // A stale replica returns the expected revision or an older one, which says nothing about the
    // outcome of the write.
    if (row == nullptr || row->revision <= expected_revision_) {
        return std::nullopt;
    }
    return resolve(*row);
}

publish_result head_write::resolve(const platform::table_row& observed) const
{
    const auto head = decode_head_row(observed.value);
    if (!head) {
        return unresolved("the head row on the platform cannot be decoded");
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
    return unresolved(fmt::format("version {} of {} is in force; the reply to the write of version "
                                  "{} was lost",
                                  head->version, head->publisher_name, row_.version));
}

publish_result head_write::unresolved(std::string reason) const
{
    if (reply_lost_) {
        return not_known{std::move(reason)};
    }
    return not_accepted{std::move(reason)};
}

} // namespace toucan::publishing
