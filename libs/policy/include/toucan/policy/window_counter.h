#pragma once

#include "toucan/base/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace toucan::policy {

/// Number of events within a sliding window, at a resolution of a twentieth of the window. Its
/// memory does not depend on the number of events. The window is never shorter than configured, so
/// the count is rather too high. Not thread-safe.
class window_counter {
public:
    explicit window_counter(std::chrono::nanoseconds window) : bucket_time_(window / (buckets - 1))
    {
    }

    void add(steady_time now) { ++at(now); }
    /// Takes back an event. Has no effect if the event has left the window.
    /// @param when time at which it was added.
    void remove(steady_time when, steady_time now);
    [[nodiscard]] std::uint64_t count(steady_time now) const;
    /// Time until the number of events that have left the window reaches `events`, if none is
    /// added.
    [[nodiscard]] std::chrono::nanoseconds time_until_left(std::uint64_t events,
                                                           steady_time now) const;

private:
    static constexpr std::size_t buckets = 21;

    struct bucket {
        std::int64_t period = 0;
        std::uint32_t events = 0;
    };

    [[nodiscard]] std::int64_t period_of(steady_time now) const
    {
        return now.time_since_epoch() / bucket_time_;
    }
    [[nodiscard]] static std::size_t index_of(std::int64_t period)
    {
        return static_cast<std::size_t>(period) % buckets;
    }
    std::uint32_t& at(steady_time now);

    std::chrono::nanoseconds bucket_time_;
    std::array<bucket, buckets> buckets_{};
};

} // namespace toucan::policy
