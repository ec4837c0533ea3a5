#include "summary_change.h"

#include "toucan/membership/membership_config.h"

#include <algorithm>
#include <cmath>

namespace toucan::membership {

namespace {

bool load_differs_materially(const rpc::service_load& before, const rpc::service_load& after)
{
    const auto step = std::abs(double(before.spare_slots) - double(after.spare_slots));
    return before.service != after.service || before.capacity_slots != after.capacity_slots ||
           (before.spare_slots == 0) != (after.spare_slots == 0) ||
           step > config::spare_slots_change_threshold * before.capacity_slots;
}

} // namespace

bool differs_materially(const rpc::domain_summary& before, const rpc::domain_summary& after)
{
    return before.region != after.region || before.entry_vms != after.entry_vms ||
           before.leaving != after.leaving ||
           !std::equal(before.services.begin(), before.services.end(), after.services.begin(),
                       after.services.end(), [](const auto& lhs, const auto& rhs) {
                           return !load_differs_materially(lhs, rhs);
                       });
}

} // namespace toucan::membership
