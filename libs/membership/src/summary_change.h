#pragma once

#include "toucan/rpc/domain_summary.h"

namespace toucan::membership {

/// Whether a summary differs so much that it is sent at once; small changes of load wait for the
/// next refresh.
bool differs_materially(const rpc::domain_summary& before, const rpc::domain_summary& after);

} // namespace toucan::membership
