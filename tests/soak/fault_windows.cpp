#include "fault_windows.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace toucan::soak {

steady_time last_unaffected(const history& it, const promised_bounds& bounds, std::size_t daemon,
                            steady_time at)
{
    auto windows = it.fault_windows;
    if (const auto own = it.daemon_fault_windows.find(daemon);
        own != it.daemon_fault_windows.end()) {
        windows.insert(windows.end(), own->second.begin(), own->second.end());
    }
    const auto affects = [&](const time_span& window) {
        return window.overlaps(at - bounds.fault_free_time, at);
    };
    for (auto found = std::find_if(windows.begin(), windows.end(), affects); found != windows.end();
         found = std::find_if(windows.begin(), windows.end(), affects)) {
        at = found->from - steady_time::duration(1);
    }
    return at;
}

} // namespace toucan::soak
