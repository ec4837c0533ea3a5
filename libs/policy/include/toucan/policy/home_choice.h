#pragma once

#include "toucan/base/clock.h"
#include "toucan/base/name.h"
#include "toucan/policy/load_estimate.h"

#include <absl/types/span.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace toucan::policy {

/// Chooses which backend server of the own failure domain takes a request, for one service: power
/// of two choices on the load that the homes report, corrected by the own requests in progress.
/// Without reports it becomes a choice by configured slots. Not thread-safe.
class home_choice {
public:
    /// Adds a backend server or changes its slots.
    void set_backend(const backend_server_name& backend, std::uint32_t slots);
    void remove(const backend_server_name& backend);
    void set_leaving(const backend_server_name& backend, bool leaving);
    /// A load report of the home.
    /// @param admitted slots that the home admits at present.
    /// @param load requests in progress and waiting there, those of this daemon included.
    void report(const backend_server_name& backend, std::uint32_t admitted, std::uint32_t load,
                steady_time now);
    void sent(const backend_server_name& backend);
    void finished(const backend_server_name& backend);

    /// @param tried backend servers that this request was sent to already.
    /// @param draw random bits.
    /// @return the backend server, or nothing if all are leaving or tried.
    [[nodiscard]] std::optional<backend_server_name>
    choose(absl::Span<const backend_server_name> tried, std::uint64_t draw, steady_time now) const;
    /// Requests in progress and waiting per admitted slot; 1 means that the slots are full.
    [[nodiscard]] std::optional<double> score(const backend_server_name& backend,
                                              steady_time now) const;

private:
    struct entry {
        backend_server_name name;
        std::uint32_t slots = 1;
        std::uint32_t admitted = 1;
        bool leaving = false;
        /// Load that the home had from other daemons when it reported.
        load_estimate others;
        std::uint32_t in_flight = 0;
    };

    [[nodiscard]] entry* find(const backend_server_name& backend);
    [[nodiscard]] static double score_of(const entry& it, double fallback, steady_time now);
    [[nodiscard]] double mean_others(steady_time now) const;

    std::vector<entry> entries_;
};

} // namespace toucan::policy
