#pragma once

#include "support/deployment.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace toucan::test {

/// Polls the configuration version of every entry VM on a thread of its own and records decreases.
class version_monitor {
public:
    /// @param target deployment to watch.
    explicit version_monitor(deployment& target);
    version_monitor(const version_monitor&) = delete;
    version_monitor& operator=(const version_monitor&) = delete;
    ~version_monitor();

    /// Stops polling.
    /// @return one line for each decrease, empty if there is none.
    std::string stop();

private:
    void run();

    deployment& target_;
    std::atomic<bool> stopped_ = false;
    std::vector<std::uint64_t> highest_versions_;
    std::string violations_;
    std::thread thread_;
};

} // namespace toucan::test
