#include "percent_encode.h"

#include <fmt/format.h>

namespace toucan::platform {

std::string percent_encode(std::string_view text)
{
    constexpr std::string_view unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                            "abcdefghijklmnopqrstuvwxyz0123456789-._~";
    std::string out;
    for (const char it : text) {
        if (unreserved.find(it) != std::string_view::npos) {
            out += it;
        }
        else {
            out += fmt::format("%{:02X}", static_cast<unsigned char>(it));
        }
    }
    return out;
}

} // namespace toucan::platform
