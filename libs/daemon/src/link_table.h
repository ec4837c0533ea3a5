#pragma once

#include "toucan/base/clock.h"
#include "toucan/base/name.h"
#include "toucan/policy/link_budget.h"
#include "toucan/steering/places.h"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>

namespace toucan::daemon {

/// This entry VM's parts of the links from its region to the others. Thread-safe.
class link_table {
public:
    /// @param time clock of the token buckets.
    explicit link_table(const clock& time) : clock_(time) {}

    /// Takes over the links of a configuration; a link whose capacity stays keeps its bucket.
    /// @param topology places of the configuration.
    /// @param own_region region of this VM.
    void update(const steering::places& topology, const region_name& own_region);

    /// @return whether the link to the region has room for the bytes at present.
    [[nodiscard]] bool allows(const region_name& region, std::size_t bytes) const;
    /// @return false if the link has no room for the bytes; nothing is spent then.
    bool try_spend(const region_name& region, std::size_t bytes);
    /// Spends bytes that are sent in any case, such as a response.
    void spend(const region_name& region, std::size_t bytes);

private:
    struct entry {
        double bytes_per_s = 0;
        policy::link_budget budget;
    };

    const clock& clock_;
    mutable absl::Mutex mutex_;
    absl::flat_hash_map<region_name, entry> links_;
};

} // namespace toucan::daemon
