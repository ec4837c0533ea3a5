#include "toucan/operations/key_prefix.h"

#include "key_text.h"
#include "toucan/base/last_reason.h"

#include <fmt/format.h>

namespace toucan::operations {

namespace {

constexpr std::string_view no_witness_fields = "-----";

std::optional<vm_id> take_vm_id(std::string_view& rest)
{
    const auto address = vm_address::parse(take_field(rest));
    const auto run = incarnation::parse(take_field(rest));
    if (!address || !run) {
        return std::nullopt;
    }
    return vm_id{*address, *run};
}

} // namespace

std::optional<key_prefix> key_prefix::parse(std::string_view text)
{
    auto rest = text;
    key_prefix it;
    if (take_field(rest) != "k1") {
        return fail("an issued key begins with k1-");
    }
    const auto owner = take_vm_id(rest);
    if (!owner) {
        return fail("the owner of the key is malformed");
    }
    it.owner = *owner;
    // Without a witness both of its fields are "-", each followed by a separator.
    if (rest.substr(0, 4) == no_witness_fields.substr(0, 4)) {
        rest.remove_prefix(4);
    }
    else {
        it.witness = take_vm_id(rest);
        if (!it.witness) {
            return fail("the witness of the key is malformed");
        }
    }
    const auto number = parse_number(rest);
    if (!number) {
        return fail("the issue number of the key is malformed");
    }
    it.number = *number;
    // Rejects other spellings, for example leading zeros or upper-case digits.
    if (it.to_string() != text) {
        return fail("the key is not in its usual spelling");
    }
    return it;
}

std::string key_prefix::to_string() const
{
    const auto owner_part =
        fmt::format("k1-{}-{}", owner.address.to_string(), owner.run.to_string());
    if (!witness) {
        return fmt::format("{}{}{}", owner_part, no_witness_fields, number);
    }
    return fmt::format("{}-{}-{}-{}", owner_part, witness->address.to_string(),
                       witness->run.to_string(), number);
}

} // namespace toucan::operations
