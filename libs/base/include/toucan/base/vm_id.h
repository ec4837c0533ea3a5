#pragma once

#include "toucan/base/incarnation.h"
#include "toucan/base/vm_address.h"

#include <compare>
#include <utility>

namespace toucan {

/// Identifies one run of a daemon by its RPC address and its incarnation.
struct vm_id {
    vm_address address;
    incarnation run;

    friend auto operator<=>(const vm_id&, const vm_id&) = default;

    template <typename H>
    friend H AbslHashValue(H state, const vm_id& it) // NOLINT(readability-identifier-naming)
    {
        return H::combine(std::move(state), it.address, it.run);
    }
};

} // namespace toucan
