#include "http_text.h"

#include "toucan/base/http_syntax.h"
#include "toucan/base/last_reason.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace toucan::backend {

namespace {

constexpr std::string_view deadline_header = "Toucan-Deadline-Ms";

char to_lower(char it)
{
    return it >= 'A' && it <= 'Z' ? static_cast<char>(it - 'A' + 'a') : it;
}

std::string_view trim(std::string_view text)
{
    const auto begin = text.find_first_not_of(" \t");
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

bool is_hop_by_hop(std::string_view name)
{
    constexpr std::array<std::string_view, 11> names = {"connection",
                                                        "keep-alive",
                                                        "proxy-authenticate",
                                                        "proxy-authorization",
                                                        "proxy-connection",
                                                        "te",
                                                        "trailer",
                                                        "transfer-encoding",
                                                        "upgrade",
                                                        "expect",
                                                        "content-length"};
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view it) { return same_name(it, name); });
}

bool list_contains(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        if (same_name(trim(list.substr(0, comma)), name)) {
            return true;
        }
        list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
    }
    return false;
}

} // namespace

bool same_name(std::string_view lhs, std::string_view rhs)
{
    return std::equal(lhs.begin(), lhs.end(), rhs.begin(), rhs.end(),
                      [](char left, char right) { return to_lower(left) == to_lower(right); });
}

std::vector<http_header> end_to_end_headers(const std::vector<http_header>& headers)
{
    const auto is_dropped = [&](const http_header& it) {
        return is_hop_by_hop(it.name) ||
               std::any_of(headers.begin(), headers.end(), [&](const http_header& other) {
                   return same_name(other.name, "connection") &&
                          list_contains(other.value, it.name);
               });
    };
    std::vector<http_header> kept;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept),
                 [&](const http_header& it) { return !is_dropped(it); });
    return kept;
}

std::optional<std::string> write_request_text(const http_request& request, std::string_view host,
                                              std::chrono::milliseconds time_left)
{
    if (!is_token(request.method)) {
        return fail("the method is malformed");
    }
    if (request.path.empty() || request.path.front() != '/' || !is_line_text(request.path) ||
        request.path.find_first_of(" \t") != std::string::npos) {
        return fail("the path is malformed");
    }
    auto text = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n{}: {}\r\n", request.method,
                            request.path, host, deadline_header, time_left.count());
    for (const auto& it : end_to_end_headers(request.headers)) {
        if (same_name(it.name, "host") || same_name(it.name, deadline_header)) {
            continue;
        }
        if (!is_token(it.name) || !is_line_text(it.value)) {
            return fail("a header is malformed");
        }
        text += fmt::format("{}: {}\r\n", it.name, it.value);
    }
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD")) {
        text += fmt::format("Content-Length: {}\r\n", request.body.size());
    }
    text += "\r\n";
    text += request.body;
    return text;
}

} // namespace toucan::backend
