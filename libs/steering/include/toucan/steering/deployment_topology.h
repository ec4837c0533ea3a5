#pragma once

#include "toucan/base/name.h"
#include "toucan/steering/failure_domain.h"
#include "toucan/steering/link.h"

#include <vector>

namespace toucan::steering {

/// Topology of a deployment: its regions, failure domains and links between regions.
struct deployment_topology {
    std::vector<region_name> regions;
    std::vector<failure_domain> failure_domains;
    std::vector<link> links;

    friend bool operator==(const deployment_topology&, const deployment_topology&) = default;

    /// @return the failure domain of this name, or null.
    [[nodiscard]] const failure_domain* find(const failure_domain_name& name) const;
    /// @return the link between two regions, given in either order, or null.
    [[nodiscard]] const link* find_link(const region_name& lhs, const region_name& rhs) const;
};

} // namespace toucan::steering
