#include "toucan/operations/outcomes.h"

#include "toucan/operations/config.h"

#include <variant>

namespace toucan::operations {

std::string_view outcome_header_value(const outcome& it)
{
    if (std::holds_alternative<completed>(it)) {
        return "completed";
    }
    return std::holds_alternative<not_run>(it) ? "not-run" : "unknown";
}

std::string_view reason_of(const outcome& it)
{
    if (const auto* refused = std::get_if<not_run>(&it)) {
        return refused->reason;
    }
    if (const auto* unresolved = std::get_if<unknown>(&it)) {
        return unresolved->reason;
    }
    return {};
}

bool is_final(const outcome& it)
{
    return !std::holds_alternative<unknown>(it);
}

outcome make_not_run(std::string_view reason)
{
    return not_run{std::string(reason), config::default_retry_after};
}

outcome make_unknown(std::string_view reason)
{
    return unknown{std::string(reason)};
}

} // namespace toucan::operations
