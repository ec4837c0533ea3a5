#include "server_notice.h"

#include "http_message.h"
#include "text.h"

#include <algorithm>
#include <cmath>

namespace toucan::edge {

namespace {

/// A server that wants a longer pause announces that it leaves.
constexpr std::chrono::duration<double> max_back_off{3600};
constexpr int unavailable_status = 503;

/// @return nothing if the header is absent, is there twice, or holds no number from 0 to `max`.
std::optional<double> read_number(const http_response& from, const std::string& name, double max,
                                  server_notice& notice)
{
    const auto has_name = [&](const http_header& each) {
        return equals_ignoring_case(each.name, name);
    };
    const auto count = std::count_if(from.headers.begin(), from.headers.end(), has_name);
    if (count == 0) {
        return std::nullopt;
    }
    const auto value = parse_number<double>(find_header(from.headers, name));
    if (count > 1 || !value || !std::isfinite(*value) || *value < 0 || *value > max) {
        notice.unreadable.push_back(name);
        return std::nullopt;
    }
    return value;
}

} // namespace

server_notice read_notice(const http_response& it, const wire_names& names)
{
    constexpr double max_rate = 1e9;
    server_notice notice;
    notice.rate_limit = read_number(it, names.rate_limit, max_rate, notice);
    notice.leaving = read_number(it, names.leaving, 1, notice) == 1;
    if (it.status == unavailable_status) {
        if (const auto seconds = read_number(it, names.back_off, max_back_off.count(), notice)) {
            notice.back_off =
                std::chrono::ceil<milliseconds>(std::chrono::duration<double>(*seconds));
        }
    }
    return notice;
}

} // namespace toucan::edge
