#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace toucan::policy {

/// Weight of a backend server in the rendezvous order of an object; the greatest weight is first.
[[nodiscard]] std::uint64_t rendezvous_weight(std::uint64_t server, std::uint64_t object);

/// Position of an object for a server, uniform in [0, 1) and independent of the rendezvous order.
[[nodiscard]] double unit_position(std::uint64_t server, std::uint64_t object);

/// Ranks a set of backend servers for each object by rendezvous hashing. The first servers of the
/// ranking of recent objects are kept, so that a choice does not visit every server. Not
/// thread-safe.
class server_ranking {
public:
    /// Number of servers that are kept for an object.
    static constexpr std::size_t kept_servers = 8;
    /// Number of objects for which they are kept.
    static constexpr std::size_t max_objects = 4096;

    /// Adds a server; the servers of the set are distinct.
    void add(std::uint64_t server);
    void remove(std::uint64_t server);
    [[nodiscard]] std::size_t size() const { return servers_.size(); }
    /// Number of objects for which the first servers are kept at present.
    [[nodiscard]] std::size_t kept_objects() const { return kept_by_object_.size(); }

    /// First servers of an object's ranking: `kept_servers` of them, or all if there are fewer. The
    /// result is valid until the next call of a function that is not const.
    [[nodiscard]] absl::Span<const std::uint64_t> first(std::uint64_t object);
    /// First servers of an object's ranking among those that are eligible. Visits every server.
    /// @param count maximum number of servers.
    [[nodiscard]] std::vector<std::uint64_t>
    first_eligible(std::uint64_t object, std::size_t count,
                   const std::function<bool(std::uint64_t)>& eligible) const;
    /// Servers for a request without an object: distinct ones, at pseudo-random positions that
    /// depend on the seed, up to `kept_servers` of them.
    [[nodiscard]] std::vector<std::uint64_t> sample(std::uint64_t seed) const;

private:
    /// Inserts a server at its rank among the kept servers of an object.
    static void insert(std::vector<std::uint64_t>& kept, std::uint64_t object,
                       std::uint64_t server);

    std::vector<std::uint64_t> servers_;
    absl::flat_hash_map<std::uint64_t, std::vector<std::uint64_t>> kept_by_object_;
};

} // namespace toucan::policy
