#include "toucan/base/manual_clock.h"

namespace toucan {

steady_time manual_clock::now() const
{
    const absl::MutexLock lock(&mutex_);
    return steady_time(std::chrono::duration_cast<steady_time::duration>(elapsed_));
}

wall_time manual_clock::wall_now() const
{
    const absl::MutexLock lock(&mutex_);
    return wall_time(std::chrono::duration_cast<wall_time::duration>(elapsed_));
}

void manual_clock::advance(std::chrono::nanoseconds step)
{
    const absl::MutexLock lock(&mutex_);
    elapsed_ += step;
}

} // namespace toucan
