#pragma once

#include "toucan/base/clock.h"
#include "toucan/base/name.h"
#include "toucan/policy/link_budget.h"
#include "toucan/steering/deployment_topology.h"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>

namespace toucan::daemon {

/// Bandwidth budgets of this entry VM for the links from its region to other regions. Thread-safe.
class link_table {
public:
    /// @param time clock of the token buckets.
    explicit link_table(const clock& time) : clock_(time) {}

    /// Applies the links of a configuration. A link keeps its token bucket if this VM's share of
    /// the capacity is unchanged.
    /// @param topology regions and links of the configuration.
    /// @param local_region region of this VM.
    void update(const steering::deployment_topology& topology, const region_name& local_region);

    /// @return whether the budget of the link to the region covers the bytes now; false without a
    /// link.
    [[nodiscard]] bool allows(const region_name& region, std::size_t bytes) const;
    /// @return false if the budget does not cover the bytes or there is no link; nothing is spent
    /// then.
    bool try_spend(const region_name& region, std::size_t bytes);
    /// Spends bytes that cannot be refused, such as a response.
    void spend(const region_name& region, std::size_t bytes);

private:
    struct link {
        double bytes_per_s = 0;
        policy::link_budget budget;
    };

    const clock& clock_;
    mutable absl::Mutex mutex_;
    absl::flat_hash_map<region_name, link> links_;
};

} // namespace toucan::daemon
