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

/// Brings new configurations into force, from the platform and from peers. Thread-safe.
class config_updater {
public:
    /// @param store holds the configuration in force.
    /// @param table null if there is no platform.
    /// @param objects null if there is no platform.
    /// @param peers calls other daemons.
    config_updater(publishing::configuration_store& store, platform::table_service* table,
                   platform::object_store* objects, rpc::daemon_client& peers);

    /// Reads the head row from the platform and applies it if it is newer.
    void poll_platform();
    /// Takes the head row and the missing objects from a peer that has a higher version.
    void pull(vm_address peer);
    /// Answers a peer.
    [[nodiscard]] rpc::fetch_reply answer(const rpc::fetch_request& request) const;

    /// Whether the platform has ever said which version is in force, or that there is none.
    [[nodiscard]] bool platform_answered() const;

private:
    void offer(const std::string& head, const publishing::object_source& source,
               const std::string& from);
    [[nodiscard]] std::vector<std::string>
    from_platform(const std::vector<std::string>& hashes) const;

    publishing::configuration_store& store_;
    platform::table_service* table_;
    platform::object_store* objects_;
    rpc::daemon_client& peers_;
    mutable absl::Mutex mutex_;
    bool platform_answered_ = false;
    bool platform_failing_ = false;
};

} // namespace toucan::daemon
