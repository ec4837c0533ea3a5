#include "toucan/operations/caller_key.h"

#include "key_text.h"
#include "toucan/base/last_reason.h"
#include "toucan/operations/config.h"
#include "toucan/operations/operation_key.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace toucan::operations {

namespace {

bool is_key_character(char it)
{
    return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') || (it >= '0' && it <= '9') ||
           it == '.' || it == '_' || it == '~' || it == '-';
}

// Largest time stamp that the clock types, which count nanoseconds, can represent.
constexpr std::uint64_t max_unix_ms = std::numeric_limits<std::int64_t>::max() / 1'000'000;

} // namespace

std::optional<caller_key> caller_key::parse(std::string_view text)
{
    auto rest = text;
    if (take_field(rest) != "c1") {
        return fail("a caller-chosen key begins with c1-");
    }
    const auto unix_ms = parse_number(take_field(rest));
    if (!unix_ms || *unix_ms > max_unix_ms) {
        return fail("the time stamp of the key is malformed");
    }
    if (rest.empty() || rest.size() > config::max_key_text_length ||
        !std::all_of(rest.begin(), rest.end(), is_key_character)) {
        return fail(fmt::format("the text of the key needs 1 to {} of [A-Za-z0-9._~-]",
                                config::max_key_text_length));
    }
    caller_key it{static_cast<std::int64_t>(*unix_ms), std::string(rest)};
    if (it.to_string() != text) {
        return fail("the key is not in its usual spelling");
    }
    return it;
}

std::string caller_key::to_string() const
{
    return fmt::format("c1-{}-{}", unix_ms, text);
}

bool is_well_formed_key(std::string_view text)
{
    return operation_key::parse(text) || caller_key::parse(text);
}

} // namespace toucan::operations
