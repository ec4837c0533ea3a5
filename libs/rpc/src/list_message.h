#pragma once

#include <vector>

namespace toucan::rpc {

/// Encodes a list of messages. An empty list is not written.
/// @param init creates a list of the given length in the message.
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

/// Decodes a list of messages and appends the values to `out`.
template <typename List, typename T>
void decode_list(List in, std::vector<T>& out)
{
    // Does not reserve the claimed length: a malicious message can claim any length.
    for (const auto it : in) {
        out.push_back(decode(it));
    }
}

} // namespace toucan::rpc
