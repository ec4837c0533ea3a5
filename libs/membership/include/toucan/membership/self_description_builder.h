#pragma once

#include "toucan/membership/self_description.h"

#include <utility>

namespace toucan::membership {

/// Builds a `self_description`, as in
/// `self_description_builder().id(id).location(domain, region).build()`.
class self_description_builder {
public:
    self_description_builder& id(vm_id value)
    {
        description_.id = value;
        return *this;
    }
    self_description_builder& http_port(std::uint16_t value)
    {
        description_.http_port = value;
        return *this;
    }
    self_description_builder& location(failure_domain_name domain, region_name region)
    {
        description_.failure_domain = std::move(domain);
        description_.region = std::move(region);
        return *this;
    }
    /// @param hook called with the table locked; must not call the table.
    self_description_builder& summarize_loads(self_description::summarize_loads_hook hook)
    {
        description_.summarize_loads = std::move(hook);
        return *this;
    }
    [[nodiscard]] self_description build() const { return description_; }

private:
    self_description description_;
};

} // namespace toucan::membership
