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

/// Returns the contents of the requested objects that the source has, in any order.
using object_source =
    std::function<std::vector<std::string>(const std::vector<std::string>& hashes)>;

/// Holds the configuration that is in force on one daemon. Thread-safe; the version never
/// decreases.
class configuration_store {
public:
    /// @return the configuration in force, or null if there is none yet.
    [[nodiscard]] std::shared_ptr<const steering::configuration> current() const;
    /// @return the version in force, or 0 if there is none yet.
    [[nodiscard]] std::uint64_t version() const;
    /// @return the encoded head row of the configuration in force, or empty text if there is none
    /// yet.
    [[nodiscard]] std::string head_text() const;
    /// Returns an object of the configuration in force, to be sent to a peer.
    /// @param hash content hash, which is the name of the object.
    /// @return the content, or nothing with a last reason.
    [[nodiscard]] std::optional<std::string> object(const std::string& hash) const;

    /// Puts a configuration in force if its version is higher than the current one. Missing objects
    /// are fetched without holding a lock. Readers are not blocked while the configuration is
    /// built.
    /// @param head_text encoded head row.
    /// @param source called for objects that do not belong to the configuration in force.
    apply_result offer(const std::string& head_text, const object_source& source);

private:
    using object_map = absl::flat_hash_map<std::string, std::shared_ptr<const std::string>>;

    /// State that is replaced as a whole. `objects` contains the manifest and all pieces.
    struct state {
        std::shared_ptr<const steering::configuration> config;
        head_row head;
        std::string head_text;
        object_map objects;
    };

    [[nodiscard]] std::shared_ptr<const state> snapshot() const;
    /// Compares the version of a head row with the one in force.
    /// @param active state in force, or null.
    /// @return the result if the head row must not be applied, or nothing if it is newer.
    static std::optional<apply_result> check_version(const state* active, const head_row& head);
    /// Derives the manifest from the one in force and the changes in the head row, or fetches it.
    /// @param objects receives the encoded manifest.
    /// @param failure set if no manifest is returned.
    /// @return the manifest, or nothing with a last reason.
    static std::optional<steering::manifest>
    load_manifest(const state* active, const head_row& head, const object_source& source,
                  object_map& objects, apply_verdict& failure);
    /// Builds the configuration and puts it in force.
    /// @param objects the manifest and all pieces.
    apply_result build(const head_row& head, const std::string& head_text,
                       const steering::manifest& manifest, object_map objects, const state* active)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(build_mutex_) ABSL_LOCKS_EXCLUDED(mutex_);

    mutable absl::Mutex mutex_;
    std::shared_ptr<const state> state_;
    /// Serializes building, so that the memory for building is needed only once. Acquired before
    /// `mutex_`.
    absl::Mutex build_mutex_;
};

} // namespace toucan::publishing
