#include "toucan/policy/admission_order.h"

#include "toucan/policy/tunables.h"

#include <tuple>

namespace toucan::policy {

steering::request_class effective_class(const admission_request& it, steady_time now)
{
    const std::chrono::duration<double> budget = it.deadline - it.arrived;
    const bool promoted = (now - it.arrived) > budget * promotion_share;
    return promoted ? steering::request_class::urgent : it.priority;
}

bool admitted_before(const admission_request& lhs, const admission_request& rhs, steady_time now)
{
    return std::tuple(effective_class(lhs, now), lhs.deadline, lhs.id) <
           std::tuple(effective_class(rhs, now), rhs.deadline, rhs.id);
}

} // namespace toucan::policy
