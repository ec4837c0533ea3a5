#include "toucan/platform/http_table_service.h"

#include "http_pool.h"
#include "percent_encode.h"
#include "toucan/base/text.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

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

/// @return nothing if the revision is missing, there twice or not a number.
std::optional<std::uint64_t> revision_of(const http_response& response)
{
    const auto is_revision = [](const http_header& it) {
        return equals_ignoring_case(it.name, revision_header);
    };
    const auto& headers = response.headers;
    if (std::count_if(headers.begin(), headers.end(), is_revision) != 1) {
        return std::nullopt;
    }
    return parse_number<std::uint64_t>(
        std::find_if(headers.begin(), headers.end(), is_revision)->value);
}

} // namespace

http_table_service::http_table_service(const vm_address& address, std::chrono::milliseconds timeout,
                                       broken_response_hook broken)
    : pool_(std::make_unique<http_pool>(address, timeout, std::move(broken)))
{
}

http_table_service::~http_table_service() = default;

read_result http_table_service::read(const std::string& key)
{
    const auto result = pool_->call({"GET", table_path(key), {}, {}});
    const auto* response = std::get_if<http_response>(&result);
    if (response == nullptr) {
        return read_failed{describe(result)};
    }
    if (response->status == not_found) {
        return row_absent{};
    }
    if (response->status != ok) {
        return read_failed{describe(result)};
    }
    const auto revision = revision_of(*response);
    if (!revision) {
        return read_failed{"the platform answered without a valid revision"};
    }
    return table_row{response->body, *revision};
}

write_result http_table_service::compare_and_set(const std::string& key,
                                                 std::uint64_t expected_revision,
                                                 const std::string& value)
{
    const auto result = pool_->call({"PUT",
                                     table_path(key),
                                     {{expected_revision_header, fmt::to_string(expected_revision)},
                                      {"Content-Type", content_type}},
                                     value});
    if (const auto* failed = std::get_if<http_call_failed>(&result)) {
        if (failed->not_sent) {
            return write_refused{describe(result)};
        }
        return write_unknown{describe(result)};
    }
    const auto& response = std::get<http_response>(result);
    const auto revision = revision_of(response);
    if (response.status == ok && revision) {
        return write_applied{*revision};
    }
    if (response.status == precondition_failed && revision) {
        if (*revision == 0) {
            return write_conflict{};
        }
        return write_conflict{table_row{response.body, *revision}};
    }
    if (response.status == unavailable) {
        return write_refused{describe(result)};
    }
    // The protocol does not define other statuses, so the write may have taken effect.
    return write_unknown{describe(result)};
}

} // namespace toucan::platform
