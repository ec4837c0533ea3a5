#include "toucan/base/http_syntax.h"

#include <algorithm>

namespace toucan {

bool is_token(std::string_view text)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char it) {
        return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') || (it >= '0' && it <= '9') ||
               symbols.find(it) != std::string_view::npos;
    });
}

bool is_line_text(std::string_view text)
{
    constexpr char del = 127;
    return std::all_of(text.begin(), text.end(), [](char it) {
        return it == '\t' || (static_cast<unsigned char>(it) >= ' ' && it != del);
    });
}

bool is_status_code(int status)
{
    constexpr int min_status = 100;
    constexpr int max_status = 599;
    return status >= min_status && status <= max_status;
}

} // namespace toucan
