#pragma once

#include <vector>

namespace toucan::rpc {

/// Writes a list of messages.
/// @param values what to write.
/// @param init creates the list in the message, given its length.
template <typename T, typename Init>
void encode_list(const std::vector<T>& values, Init init)
{
    if (values.empty()) {
        return;
    }
    auto out = init(static_cast<unsigned>(values.size()));
    for (unsigned it = 0; it < out.size(); ++it) {
        encode(values[it], out[it]);
    }
}

/// Reads a list of messages.
template <typename List, typename T>
void decode_list(List in, std::vector<T>& out)
{
    // Grows with the elements read, because a hostile message can claim any length.
    for (const auto it : in) {
        out.push_back(decode(it));
    }
}

} // namespace toucan::rpc
