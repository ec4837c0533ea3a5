#pragma once

#include "toucan/rpc/domain_summary.h"

namespace toucan::membership {

/// Whether a summary changed so much that it is sent at once. Small changes of load wait for the
/// next refresh.
bool differs_materially(const rpc::domain_summary& before, const rpc::domain_summary& after);

} // namespace toucan::membership
