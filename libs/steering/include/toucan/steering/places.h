#pragma once

#include "toucan/base/name.h"
#include "toucan/steering/failure_domain.h"
#include "toucan/steering/link.h"

#include <vector>

namespace toucan::steering {

/// Regions, failure domains and links of a deployment.
struct places {
    std::vector<region_name> regions;
    std::vector<failure_domain> failure_domains;
    std::vector<link> links;

    friend bool operator==(const places&, const places&) = default;

    /// @param name failure domain to find.
    /// @return null if there is none of that name.
    [[nodiscard]] const failure_domain* find(const failure_domain_name& name) const;
    /// @return the link between two regions in either order, or null.
    [[nodiscard]] const link* find_link(const region_name& lhs, const region_name& rhs) const;
};

} // namespace toucan::steering
