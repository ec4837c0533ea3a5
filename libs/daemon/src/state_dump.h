#pragma once

#include "toucan/base/clock.h"
#include "toucan/membership/member_view.h"
#include "toucan/operations/key_issuer.h"
#include "toucan/operations/operation_table.h"
#include "toucan/operations/witness_table.h"

#include <nlohmann/json_fwd.hpp>

namespace toucan::daemon {

/// Describes the membership for `/state`.
/// @param members membership view.
/// @param now current time, for computing ages.
nlohmann::json dump_members(const membership::member_view& members, steady_time now);

/// Describes operations, witnessed intents and issued keys for `/state`.
nlohmann::json dump_operations(const operations::operation_table& table,
                               const operations::witness_table& intents,
                               const operations::key_issuer& issuer);

} // namespace toucan::daemon
