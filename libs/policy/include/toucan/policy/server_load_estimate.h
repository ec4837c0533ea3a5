#pragma once

#include "toucan/base/clock.h"
#include "toucan/policy/reported_load.h"

#include <optional>
#include <vector>

namespace toucan::policy {

/// Load that the other daemons have reported for one backend server.
struct peer_load_report {
    /// Slots that their requests occupy.
    double slots = 0;
    /// Time at which the newest report was received, whether or not it mentions the server; the
    /// epoch without reports.
    steady_time received;

    friend bool operator==(const peer_load_report&, const peer_load_report&) = default;
};

/// Estimates what other daemons' requests occupy on one backend server, and how slow the server is,
/// from the reports of the other daemons and from the load that the server states in its responses.
/// A statement is exact when the response leaves the server, half a round trip before it arrives.
/// Its weight falls with its age relative to the age of the reports. Without statements, the
/// reports are returned unchanged. Not thread-safe.
class server_load_estimate {
public:
    /// Counts a request of this daemon that was sent to the server.
    void add_request(steady_time sent);
    /// Ends a request that was counted by `add_request` with the same time.
    void remove_request(steady_time sent);
    /// Records the load in a response. The request that is answered must still be counted.
    /// @param sent time at which that request was sent.
    /// @param ran whether the server has run that request; a refused one is in neither figure.
    /// @param round_trip 0 if it is not known.
    /// @return slots that other daemons' requests occupied; nothing if a later response is known.
    std::optional<double> record(const reported_load& it, steady_time sent, bool ran,
                                 std::chrono::nanoseconds round_trip, steady_time now);

    /// Whether a load that the server has stated is in use.
    [[nodiscard]] bool stated(steady_time now) const;
    /// Slots that the requests of other daemons occupy.
    [[nodiscard]] double others(const peer_load_report& peers, steady_time now) const;
    /// Time that work takes relative to the usual time. A stated value fades to 1, because the
    /// speed of a server changes many times per second.
    [[nodiscard]] double slowness(steady_time now) const;
    /// Age of the newest information that `others` uses; nothing without any.
    [[nodiscard]] std::optional<std::chrono::nanoseconds> age(const peer_load_report& peers,
                                                              steady_time now) const;

private:
    /// Requests of other daemons on the server, from one response.
    struct statement {
        double others = 0;
        double slowness = 1;
        /// Time at which the response left the server.
        steady_time at;
    };

    /// Times at which this daemon's requests in progress were sent.
    std::vector<steady_time> sent_;
    std::optional<statement> last_;
    /// Whether the figure of running requests includes the request that is answered. Some servers
    /// end a request before they write its response.
    bool counts_answered_ = true;
};

} // namespace toucan::policy
