#pragma once

#include "toucan/publishing/apply_result.h"
#include "toucan/publishing/head_row.h"
#include "toucan/steering/configuration.h"
#include "toucan/steering/manifest.h"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace toucan::publishing {

/// Returns the content of those objects that the source has, in any order.
using object_source =
    std::function<std::vector<std::string>(const std::vector<std::string>& hashes)>;

/// Holds the configuration in force of one daemon. Thread-safe; the version only rises.
class configuration_store {
public:
    /// @return the configuration in force, or null before the first one.
    [[nodiscard]] std::shared_ptr<const steering::configuration> current() const;
    /// @return 0 before the first configuration.
    [[nodiscard]] std::uint64_t version() const;
    /// @return the encoded head row in force, or empty text.
    [[nodiscard]] std::string head_text() const;
    /// An object of the configuration in force, for a peer.
    /// @param hash name of the object.
    [[nodiscard]] std::optional<std::string> object(const std::string& hash) const;

    /// Puts a configuration in force if its version is higher. Fetches what is missing without
    /// holding a lock, and builds aside.
    /// @param head_text encoded head row.
    /// @param source asked for objects that the configuration in force does not have.
    apply_result offer(const std::string& head_text, const object_source& source);

private:
    using object_map = absl::flat_hash_map<std::string, std::shared_ptr<const std::string>>;

    /// Everything that is swapped as one.
    struct state {
        std::shared_ptr<const steering::configuration> config;
        head_row head;
        std::string head_text;
        object_map objects;
    };

    [[nodiscard]] std::shared_ptr<const state> in_force() const;
    /// @return why the head row is not applied, or nothing if it is to be applied.
    static std::optional<apply_result> compare(const state* now, const head_row& head);
    /// Derives the manifest from the one in force, or fetches it.
    static std::optional<steering::manifest> find_manifest(const state* now, const head_row& head,
                                                           const object_source& source,
                                                           object_map& objects,
                                                           apply_verdict& failure);
    apply_result build(const head_row& head, const std::string& head_text,
                       const steering::manifest& manifest, object_map objects, const state* now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(build_mutex_) ABSL_LOCKS_EXCLUDED(mutex_);

    mutable absl::Mutex mutex_;
    std::shared_ptr<const state> state_;
    /// Held while a configuration is built, so that at most one is built at a time and the memory
    /// for building is needed once. Taken before `mutex_`.
    absl::Mutex build_mutex_;
};

} // namespace toucan::publishing
