#pragma once

#include "toucan/base/vm_address.h"
#include "toucan/platform/object_store.h"
#include "toucan/platform/table_service.h"
#include "toucan/publishing/configuration_store.h"
#include "toucan/rpc/daemon_client.h"

#include <absl/synchronization/mutex.h>

#include <functional>
#include <string>

namespace toucan::daemon {

/// Fetches new configurations from the platform and from peers, and applies them. Thread-safe.
class config_updater {
public:
    /// @param store holds the configuration in force.
    /// @param table table service with the head row; null if there is no platform.
    /// @param objects object store; null if there is no platform.
    /// @param peers client for calls to other daemons.
    config_updater(publishing::configuration_store& store, platform::table_service* table,
                   platform::object_store* objects, rpc::daemon_client& peers);

    /// Reads the head row from the platform and applies it if it is newer.
    void poll_platform();
    /// Fetches the head row and the missing objects from a peer with a higher version, and applies
    /// them.
    void pull(vm_address peer);
    /// Returns the head row and objects that a peer requested; objects not held here are omitted.
    [[nodiscard]] rpc::fetch_reply handle_fetch(const rpc::fetch_request& request) const;

    /// Whether the platform has answered a read of the head row at least once, also if there was
    /// none.
    [[nodiscard]] bool platform_answered() const;

private:
    void offer(const std::string& head, const publishing::object_source& source,
               const std::string& source_name);
    [[nodiscard]] std::vector<std::string>
    fetch_from_platform(const std::vector<std::string>& hashes) const;

    publishing::configuration_store& store_;
    platform::table_service* table_;
    platform::object_store* objects_;
    rpc::daemon_client& peers_;
    mutable absl::Mutex mutex_;
    bool platform_answered_ = false;
    bool platform_failing_ = false;
};

} // namespace toucan::daemon
