#include "toucan/membership/member_view.h"

namespace toucan::membership {

std::vector<vm_address> member_view::ready_addresses() const
{
    std::vector<vm_address> out;
    out.reserve(entry_vms.size());
    for (const auto& it : entry_vms) {
        out.push_back(it.id.address);
    }
    return out;
}

} // namespace toucan::membership
