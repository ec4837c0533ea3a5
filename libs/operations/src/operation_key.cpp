#include "toucan/operations/operation_key.h"

#include "key_text.h"
#include "toucan/base/last_reason.h"

#include <fmt/format.h>

namespace toucan::operations {

std::optional<operation_key> operation_key::parse(std::string_view text)
{
    // The addresses contain dots too; the number of the caller follows the last dot.
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos) {
        return fail("an issued key ends with .<n>");
    }
    const auto prefix = key_prefix::parse(text.substr(0, dot));
    if (!prefix) {
        return std::nullopt;
    }
    const auto digits = text.substr(dot + 1);
    const auto n = parse_number(digits);
    if (!n || (digits.size() > 1 && digits.front() == '0')) {
        return fail("the number after the prefix is malformed");
    }
    return operation_key{*prefix, *n};
}

std::string operation_key::to_string() const
{
    return fmt::format("{}.{}", prefix.to_string(), n);
}

} // namespace toucan::operations
