#include "toucan/base/message_head.h"

#include <algorithm>
#include <array>

namespace toucan {

namespace {

constexpr std::array<std::string_view, 9> hop_by_hop_headers = {
    "connection", "keep-alive",        "proxy-connection", "te", "trailer", "upgrade",
    "expect",     "transfer-encoding", "content-length"};

} // namespace

std::size_t count_lines(const std::string& in, std::size_t used)
{
    return static_cast<std::size_t>(
        std::count(in.begin(), in.begin() + static_cast<std::ptrdiff_t>(used), '\n'));
}

bool is_hop_by_hop(std::string_view name, const std::vector<std::string_view>& named)
{
    const auto same = [&](std::string_view it) {
        return equals_ignoring_case(it, name);
    };
    return std::any_of(hop_by_hop_headers.begin(), hop_by_hop_headers.end(), same) ||
           std::any_of(named.begin(), named.end(), same);
}

} // namespace toucan
