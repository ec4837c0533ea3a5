#pragma once

#include "toucan/base/clock.h"
#include "toucan/base/name.h"
#include "toucan/policy/load_estimate.h"

#include <absl/types/span.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace toucan::policy {

/// Chooses the backend server of this daemon's failure domain for a request to one service: power
/// of two choices on the load reported by the homes, corrected by this daemon's requests in
/// progress. Without reports, the choice is random in proportion to the configured slots. Not
/// thread-safe.
class local_backend_choice {
public:
    /// Adds a backend server or changes its number of slots.
    void set_backend(const backend_server_name& backend, std::uint32_t slots);
    /// Removes a backend server.
    void remove(const backend_server_name& backend);
    /// A leaving backend server is not chosen.
    void set_leaving(const backend_server_name& backend, bool leaving);
    /// Records a load report from the backend server's home.
    /// @param admitted slots that the home currently admits.
    /// @param load requests in progress and waiting at the home, including those from this daemon.
    void report(const backend_server_name& backend, std::uint32_t admitted, std::uint32_t load,
                steady_time now);
    /// Counts a request that was sent to the backend server.
    void sent(const backend_server_name& backend);
    /// Ends a request that was counted by `sent`.
    void finished(const backend_server_name& backend);

    /// Chooses a backend server for one request.
    /// @param tried backend servers to which this request was already sent.
    /// @param draw random bits.
    /// @return nothing if all backend servers are leaving or were tried.
    [[nodiscard]] std::optional<backend_server_name>
    choose(absl::Span<const backend_server_name> tried, std::uint64_t draw, steady_time now) const;
    /// Requests in progress and waiting per admitted slot; 1 means that all slots are in use.
    /// Nothing if the backend server is unknown.
    [[nodiscard]] std::optional<double> score(const backend_server_name& backend,
                                              steady_time now) const;

private:
    struct entry {
        backend_server_name name;
        std::uint32_t slots = 1;
        std::uint32_t admitted = 1;
        bool leaving = false;
        /// Load from other daemons, as of the home's reports.
        load_estimate other_load;
        std::uint32_t in_flight = 0;
    };

    [[nodiscard]] entry* find(const backend_server_name& backend);
    /// @param fallback load per slot assumed where reports are missing or old.
    [[nodiscard]] static double score_of(const entry& it, double fallback, steady_time now);
    /// Mean load from other daemons per slot, over backend servers with reports.
    [[nodiscard]] double mean_other_load(steady_time now) const;

    std::vector<entry> entries_;
};

} // namespace toucan::policy
