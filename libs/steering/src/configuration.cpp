#include "toucan/steering/configuration.h"

#include <algorithm>

namespace toucan::steering {

const service* configuration::find(const service_name& name) const
{
    const auto it = std::find_if(services.begin(), services.end(),
                                 [&](const service& candidate) { return candidate.name == name; });
    return it == services.end() ? nullptr : &*it;
}

} // namespace toucan::steering
