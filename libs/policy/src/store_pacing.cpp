#include "toucan/policy/store_pacing.h"

#include <algorithm>

namespace toucan::policy {

namespace {

constexpr milliseconds first_pause{200};
/// Time after which a call without a response no longer holds back the next one.
constexpr milliseconds call_timeout{1500};
/// Pause of a follower for each daemon of its failure domain, and the bound on it, which limits the
/// time to find out that the store answers this daemon again.
constexpr milliseconds pause_per_daemon{300};
constexpr milliseconds max_follower_pause{1500};

} // namespace

milliseconds store_pacing::follower_longest_pause(std::size_t daemons)
{
    return std::clamp<milliseconds>(pause_per_daemon * static_cast<std::int64_t>(daemons),
                                    direct_longest_pause, max_follower_pause);
}

bool store_pacing::try_call(steady_time now)
{
    if (!failing_) {
        return true;
    }
    if (now < next_call_) {
        return false;
    }
    next_call_ = now + call_timeout;
    return true;
}

void store_pacing::record_success()
{
    failing_ = false;
    pause_ = milliseconds(0);
}

void store_pacing::record_failure(bool was_probe, double draw, steady_time now)
{
    if (failing_ && !was_probe) {
        return;
    }
    pause_ = std::min(failing_ ? 2 * pause_ : first_pause, longest_pause_);
    failing_ = true;
    next_call_ = now + std::chrono::duration_cast<steady_time::duration>((0.5 + draw) * pause_);
}

} // namespace toucan::policy
