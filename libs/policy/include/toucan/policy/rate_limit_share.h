#pragma once

#include "toucan/policy/fading_value.h"

#include "toucan/base/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace toucan::policy {

/// Requests that daemons have sent to one backend server within `rate_limit_share::window`.
struct request_count {
    double requests = 0;
    /// Requests for whose object the server is the first in rank, sent to it or not.
    double offers = 0;
    /// Number of daemons that use the server at present.
    std::uint32_t daemons = 0;

    friend bool operator==(const request_count&, const request_count&) = default;
};

/// One daemon's share of the request rate that a backend server accepts from all daemons together.
///
/// The daemons report their requests of a sliding window to each other. What the window has left is
/// divided among the daemons that use the server, in rounds that last about as long as a report
/// takes. If each daemon took all that it saw left, the rate would be exceeded several times over.
/// What is known of the others is forgotten no faster than the window passes, so a relay that is
/// replaced or a daemon that ends does not look like a server without requests. Without reports a
/// daemon keeps to an equal share, of which it saves up to one request. Not thread-safe.
class rate_limit_share {
public:
    /// Window in which requests are counted.
    static constexpr milliseconds window{4000};

    /// Sets or changes the limit. A new limit is given out slowly, as if the other daemons had used
    /// it up, because their requests so far are not known.
    /// @param requests_per_s rate of all daemons together; not negative.
    void set_limit(double requests_per_s, steady_time now);
    /// Ends the limit.
    void clear();
    [[nodiscard]] std::optional<double> limit() const { return limit_; }
    /// @param daemons number of daemons that may use the server, at least 1.
    void set_daemons(std::size_t daemons) { daemons_ = daemons; }
    /// Applies a report of the requests of all other daemons.
    void record_peers(const request_count& it, steady_time now);
    /// Whether a request may be sent now; always if there is no limit.
    /// @param draw uniform in [0, 1); used to round a fraction of a request up or down at random.
    [[nodiscard]] bool allows(steady_time now, double draw);
    /// Counts a request that is sent.
    void record_request(steady_time now);
    /// Counts a request for whose object the server is the first in rank.
    void record_offer(steady_time now);
    /// Whether the server keeps an object that ranks it first. Without the others, which all
    /// daemons send to the next server in rank, the requests for its objects fit the limit. If it
    /// kept all of them for part of their requests, two servers would need each object in their
    /// cache.
    /// @param position of the object for this server, uniform in [0, 1).
    [[nodiscard]] bool keeps(double position) const { return position < kept_share_; }
    /// Requests of this daemon within the window. The daemon counts as a user of the server if it
    /// has sent one, or had one for it, in the last second.
    [[nodiscard]] request_count local(steady_time now) const;

private:
    void begin_round(steady_time now, double draw);
    /// Requests that this daemon may send in a round that begins now, not rounded, with reports of
    /// the others.
    [[nodiscard]] double reported_budget(steady_time now) const;
    /// The same without reports.
    /// @param since_last time since the last round began.
    [[nodiscard]] double unreported_budget(steady_time now, std::chrono::nanoseconds since_last);

    std::optional<double> limit_;
    std::size_t daemons_ = 1;
    /// Times of this daemon's requests, and of those for which the server is the first in rank,
    /// oldest first.
    std::deque<steady_time> sent_;
    std::deque<steady_time> offers_;
    /// Requests of the other daemons and the number of these daemons.
    fading_value peer_requests_;
    fading_value peer_offers_;
    fading_value peer_daemons_;
    /// Share of its objects that the server keeps.
    double kept_share_ = 1;
    std::optional<steady_time> reported_at_;
    std::optional<steady_time> round_began_;
    std::int64_t round_remaining_ = 0;
    /// Part of this daemon's share without reports that it has not used yet, in requests.
    double saved_requests_ = 0;
};

} // namespace toucan::policy
