#pragma once

#include "toucan/base/http_header.h"
#include "toucan/base/text.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

// What the readers of requests and of responses share.
namespace toucan {

/// Limits the fields of a message head. A field takes far more memory than its bytes, so the limit
/// on the bytes of a head does not bound its memory.
inline constexpr std::size_t max_header_lines = 256;

inline std::string_view from_boost(boost::beast::string_view it)
{
    return {it.data(), it.size()};
}

/// Number of lines in the part of the received data that a parser has consumed.
std::size_t count_lines(const std::string& in, std::size_t used);

/// Whether a header applies to a single connection.
/// @param named names that the Connection headers of the message list.
bool is_hop_by_hop(std::string_view name, const std::vector<std::string_view>& named);

/// Headers without the hop-by-hop ones, which apply to a single connection and are not forwarded.
template <typename Fields>
std::vector<http_header> end_to_end_headers(const Fields& fields)
{
    std::vector<std::string_view> named;
    const auto [begin, end] = fields.equal_range(boost::beast::http::field::connection);
    for (auto it = begin; it != end; ++it) {
        for (const auto name : split_fields(from_boost(it->value()), ',')) {
            named.push_back(name);
        }
    }
    std::vector<http_header> headers;
    for (const auto& it : fields) {
        if (!is_hop_by_hop(from_boost(it.name_string()), named)) {
            headers.push_back(
                {std::string(from_boost(it.name_string())), std::string(from_boost(it.value()))});
        }
    }
    return headers;
}

/// Checks the announced length once the header is complete, before the parser continues with the
/// body. The parser reserves memory for the announced length before it applies its own limit.
template <typename Parser>
bool body_too_long(Parser& parser, std::uint64_t limit)
{
    if (!parser.is_header_done() || parser.eager()) {
        return false;
    }
    parser.eager(true);
    const auto length = parser.content_length();
    return length && *length > limit;
}

} // namespace toucan
