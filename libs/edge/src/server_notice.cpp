#include "server_notice.h"

#include "http_message.h"

#include "toucan/base/text.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string_view>

namespace toucan::edge {

namespace {

/// A server that wants a longer pause announces that it leaves.
constexpr std::chrono::duration<double> max_back_off{3600};
constexpr int unavailable_status = 503;

/// Highest figure of a load header that is plausible.
constexpr std::uint32_t max_load_figure = 1'000'000;
/// Unit of the slowness in a load header, and the highest plausible value.
constexpr double usual_slowness = 100;
constexpr std::uint32_t max_slowness = 100'000;

/// @param value receives the value of the header if it is there once.
/// @return number of headers with the name.
std::ptrdiff_t find_single(const http_response& from, const std::string& name,
                           std::string_view& value)
{
    const auto count =
        std::count_if(from.headers.begin(), from.headers.end(), [&](const http_header& each) {
            return equals_ignoring_case(each.name, name);
        });
    value = count == 1 ? find_header(from.headers, name) : std::string_view();
    return count;
}

/// @return nothing if the header is absent, is there twice, or holds no number from 0 to `max`.
std::optional<double> read_number(const http_response& from, const std::string& name, double max,
                                  server_notice& notice)
{
    std::string_view text;
    if (find_single(from, name, text) == 0) {
        return std::nullopt;
    }
    const auto value = parse_number<double>(text);
    if (!value || !std::isfinite(*value) || *value < 0 || *value > max) {
        notice.unreadable.push_back(name);
        return std::nullopt;
    }
    return value;
}

/// @param text `running,waiting,slots`, with the slowness in hundredths as an optional fourth
/// figure.
std::optional<policy::reported_load> parse_load(std::string_view text)
{
    const auto fields = split_fields(text, ',');
    if (fields.size() != 3 && fields.size() != 4) {
        return std::nullopt;
    }
    std::vector<std::uint32_t> figures;
    for (const auto field : fields) {
        const auto figure = parse_number<std::uint32_t>(field);
        if (!figure || *figure > max_load_figure) {
            return std::nullopt;
        }
        figures.push_back(*figure);
    }
    policy::reported_load it{figures[0], figures[1], figures[2]};
    if (it.slots == 0) {
        return std::nullopt;
    }
    if (figures.size() > 3) {
        if (figures[3] == 0 || figures[3] > max_slowness) {
            return std::nullopt;
        }
        it.slowness = figures[3] / usual_slowness;
    }
    return it;
}

std::optional<policy::reported_load> read_load(const http_response& from, const std::string& name,
                                               server_notice& notice)
{
    std::string_view text;
    if (find_single(from, name, text) == 0) {
        return std::nullopt;
    }
    const auto it = parse_load(text);
    if (!it) {
        notice.unreadable.push_back(name);
    }
    return it;
}

} // namespace

server_notice read_notice(const http_response& it, const wire_names& names)
{
    constexpr double max_rate = 1e9;
    server_notice notice;
    notice.rate_limit = read_number(it, names.rate_limit, max_rate, notice);
    notice.leaving = read_number(it, names.leaving, 1, notice) == 1;
    notice.load = read_load(it, names.load, notice);
    if (it.status == unavailable_status) {
        if (const auto seconds = read_number(it, names.back_off, max_back_off.count(), notice)) {
            notice.back_off =
                std::chrono::ceil<milliseconds>(std::chrono::duration<double>(*seconds));
        }
    }
    return notice;
}

} // namespace toucan::edge
