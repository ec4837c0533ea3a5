#pragma once

#include "toucan/base/clock.h"

#include <optional>

namespace toucan::policy {

/// Load per slot of a backend server and of all servers of its region and service, from the reports
/// of all daemons.
struct utilization_report {
    double server = 0;
    double mean = 0;

    friend bool operator==(const utilization_report&, const utilization_report&) = default;
};

/// Share of the objects ranking a backend server first that the server keeps. The others go to the
/// next server in their rank that keeps them.
///
/// The share follows from the server's smoothed utilization relative to the mean alone. It isn't
/// an integral of the error, so a daemon that has just started comes to the share of the others
/// from the same reports. Objects at the edge of the share are divided between two servers by
/// request, so that a popular object does not move back and forth as a whole. Not thread-safe.
class kept_share {
public:
    /// Lower bound of the share.
    static constexpr double floor = 0.1;

    /// Applies the utilization as last reported. Must be called several times a second.
    void record(const utilization_report& it, steady_time now);
    /// Must be called in place of `record` while there are no current reports. The share returns
    /// to 1.
    void record_absence(steady_time now);
    [[nodiscard]] double share() const { return share_; }
    /// Whether the server keeps a request for an object that it is the first in rank for.
    /// @param object position of the object for this server, uniform in [0, 1); see
    /// `unit_position`.
    /// @param request position of the request, uniform in [0, 1). Decides only for objects at the
    /// edge of the share.
    [[nodiscard]] bool keeps(double object, double request) const
    {
        return share_ >= 1 || object + (request - 0.5) * edge_width < share_;
    }
    /// Whether the requests for an object are divided between this server and the next one.
    [[nodiscard]] bool divides(double object) const
    {
        return share_ < 1 && keeps(object, 0) && !keeps(object, 1);
    }

private:
    /// Range of object positions around the share in which requests are divided. A server has about
    /// ten objects, so there is about one in it.
    static constexpr double edge_width = 0.1;

    /// Time since the last call.
    std::chrono::duration<double> advance(steady_time now);
    void move_towards(double target, std::chrono::duration<double> span);

    double share_ = 1;
    /// Smoothed utilization of the server and mean.
    utilization_report smoothed_;
    std::optional<steady_time> updated_at_;
    /// Time of reports that `smoothed_` rests on.
    std::chrono::duration<double> history_{0};
};

} // namespace toucan::policy
