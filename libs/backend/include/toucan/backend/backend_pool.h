#pragma once

#include "toucan/backend/backend_client.h"
#include "toucan/base/clock.h"
#include "toucan/base/vm_address.h"
#include "toucan/steering/configuration.h"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <memory>

namespace toucan::backend {

/// The clients of all backend servers of a configuration, by address. Thread-safe.
class backend_pool {
public:
    /// @param time clock of the deadlines.
    explicit backend_pool(const clock& time);

    /// Adds and removes clients. A client whose address stays keeps its connections; a removed one
    /// lives until its last request is done.
    /// @param it configuration in force.
    void apply(const steering::configuration& it);

    /// @param address address of a backend server.
    /// @return null if the configuration has none there.
    [[nodiscard]] std::shared_ptr<backend_client> find(vm_address address) const;
    [[nodiscard]] std::size_t size() const;

private:
    const clock& clock_;
    mutable absl::Mutex mutex_;
    absl::flat_hash_map<vm_address, std::shared_ptr<backend_client>> clients_;
};

} // namespace toucan::backend
