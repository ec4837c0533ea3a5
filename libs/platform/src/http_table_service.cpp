#include "toucan/platform/http_table_service.h"

#include "http_pool.h"
#include "percent_encode.h"

#include <fmt/format.h>

#include <charconv>
#include <optional>

namespace toucan::platform {

namespace {

constexpr const char* revision_header = "Toucan-Revision";
constexpr const char* expected_revision_header = "Toucan-Expected-Revision";
constexpr const char* content_type = "application/octet-stream";

enum http_status { ok = 200, not_found = 404, precondition_failed = 412, unavailable = 503 };

std::string table_path(const std::string& key)
{
    return fmt::format("/table/{}", percent_encode(key));
}

std::optional<std::uint64_t> revision_of(const httplib::Response& response)
{
    const auto text = response.get_header_value(revision_header);
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

/// Whether the connection was not established. Only then is it certain that nothing was sent.
bool is_connect_error(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout ||
           error == httplib::Error::BindIPAddress;
}

} // namespace

http_table_service::http_table_service(const vm_address& address, std::chrono::milliseconds timeout)
    : pool_(std::make_unique<http_pool>(address, timeout))
{
}

http_table_service::~http_table_service() = default;

read_result http_table_service::read(const std::string& key)
{
    const auto result = pool_->run([&](httplib::Client& it) { return it.Get(table_path(key)); });
    if (!result) {
        return read_failed{
            fmt::format("the platform did not answer ({})", httplib::to_string(result.error()))};
    }
    if (result->status == not_found) {
        return row_absent{};
    }
    if (result->status != ok) {
        return read_failed{fmt::format("the platform answered with status {}", result->status)};
    }
    const auto revision = revision_of(*result);
    if (!revision) {
        return read_failed{"the platform answered without a valid revision"};
    }
    return table_row{result->body, *revision};
}

write_result http_table_service::compare_and_set(const std::string& key,
                                                 std::uint64_t expected_revision,
                                                 const std::string& value)
{
    const httplib::Headers headers{{expected_revision_header, fmt::to_string(expected_revision)}};
    const auto result = pool_->run(
        [&](httplib::Client& it) { return it.Put(table_path(key), headers, value, content_type); });
    if (!result) {
        auto reason =
            fmt::format("the platform did not answer ({})", httplib::to_string(result.error()));
        if (is_connect_error(result.error())) {
            return write_refused{std::move(reason)};
        }
        return write_unknown{std::move(reason)};
    }
    const auto revision = revision_of(*result);
    if (result->status == ok && revision) {
        return write_applied{*revision};
    }
    if (result->status == precondition_failed && revision) {
        if (*revision == 0) {
            return write_conflict{};
        }
        return write_conflict{table_row{result->body, *revision}};
    }
    auto reason = fmt::format("the platform answered with status {}", result->status);
    if (result->status == unavailable) {
        return write_refused{std::move(reason)};
    }
    // The protocol does not define other statuses, so the write may have taken effect.
    return write_unknown{std::move(reason)};
}

} // namespace toucan::platform
