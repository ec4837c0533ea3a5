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

/// HTTP clients of all backend servers of the configuration, by address. Thread-safe.
class backend_pool {
public:
    /// @param time clock of the deadlines; must outlive the pool and its clients.
    /// @param broken called for broken responses of all backend servers; may be empty.
    explicit backend_pool(const clock& time, broken_response_hook broken = {});

    /// Adds and removes clients to match a configuration. A client whose address remains keeps its
    /// connections. A removed client is destroyed after its last request.
    void apply(const steering::configuration& it);

    /// @return null if the configuration has no backend server at the address.
    [[nodiscard]] std::shared_ptr<backend_client> find(vm_address address) const;
    [[nodiscard]] std::size_t size() const;

private:
    const clock& clock_;
    broken_response_hook broken_;
    mutable absl::Mutex mutex_;
    absl::flat_hash_map<vm_address, std::shared_ptr<backend_client>> clients_;
};

} // namespace toucan::backend
