#pragma once

#include "toucan/base/name.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace toucan::edge {

/// SHA-256 digest of an API key. Keys are held as digests only, so that no log line or state dump
/// can contain one.
class key_digest {
public:
    static constexpr std::size_t size = 32;

    /// Throws std::runtime_error if libcrypto fails.
    [[nodiscard]] static key_digest of(std::string_view key);

    /// Compares in constant time.
    friend bool operator==(const key_digest& lhs, const key_digest& rhs);

    template <typename H>
    friend H AbslHashValue(H state, const key_digest& it) // NOLINT(readability-identifier-naming)
    {
        return H::combine(std::move(state), it.bytes_);
    }

private:
    std::array<unsigned char, size> bytes_{};
};

/// Rate of requests that a workspace may use over all daemons: a token bucket.
struct request_quota {
    /// 0 for no limit.
    double rate_per_s = 0;
    /// Largest number of requests above the rate.
    double burst = 0;

    [[nodiscard]] bool limited() const { return rate_per_s > 0; }
    friend bool operator==(const request_quota&, const request_quota&) = default;
};

/// Customer of the operator, identified by the API keys of its callers.
struct workspace {
    workspace_name name;
    /// 0 is the most urgent. Goes before the priority of the route.
    int priority = 0;
    request_quota quota;
    /// Regions in which the requests may run; empty for all regions.
    std::vector<region_name> allowed_regions;
    /// Its keys are known, but not its other settings; its requests are refused.
    bool unreadable = false;

    friend bool operator==(const workspace&, const workspace&) = default;
};

/// Workspaces of one configuration by API key. Immutable after its construction.
class workspace_table {
public:
    /// A configuration without workspaces: requests need no key.
    workspace_table() = default;

    class builder;

    /// Whether requests need a key, unless their route is public.
    [[nodiscard]] bool requires_key() const { return requires_key_; }
    /// Whether keys may be missing because an entry could not be read.
    [[nodiscard]] bool incomplete() const { return incomplete_; }
    /// @return nullptr if no workspace has the key.
    [[nodiscard]] const workspace* find(const key_digest& key) const;
    [[nodiscard]] const std::vector<workspace>& all() const { return all_; }
    /// Number of keys of each workspace that this table has and another one does not have.
    [[nodiscard]] absl::flat_hash_map<workspace_name, std::size_t>
    keys_missing_in(const workspace_table& other) const;

private:
    bool requires_key_ = false;
    bool incomplete_ = false;
    std::vector<workspace> all_;
    /// Index in `all_`.
    absl::flat_hash_map<key_digest, std::size_t> keys_;
};

/// Builds a `workspace_table` whose workspaces need keys.
class workspace_table::builder {
public:
    builder() { table_.requires_key_ = true; }

    /// Adds a workspace. A key that another workspace has already is not added again.
    builder& add(workspace it, const std::vector<key_digest>& keys);
    /// Records an entry whose keys could not be read.
    builder& set_incomplete();
    [[nodiscard]] workspace_table build() { return std::move(table_); }

private:
    workspace_table table_;
};

} // namespace toucan::edge
