#include "support/version_monitor.h"

#include <fmt/format.h>

#include <chrono>

namespace toucan::test {

version_monitor::version_monitor(deployment& target)
    : target_(target), highest_versions_(target.entry_vms().size()), thread_([this] { run(); })
{
}

version_monitor::~version_monitor()
{
    stop();
}

std::string version_monitor::stop()
{
    stopped_ = true;
    if (thread_.joinable()) {
        thread_.join();
    }
    return violations_;
}

void version_monitor::run()
{
    while (!stopped_) {
        for (std::size_t it = 0; it < highest_versions_.size(); ++it) {
            const auto version = target_.version_at(it);
            // 0 means that the lookup had no valid response.
            if (version != 0 && version < highest_versions_[it]) {
                violations_ +=
                    fmt::format("configuration version of entry VM {} decreased from {} to {}\n",
                                it, highest_versions_[it], version);
            }
            highest_versions_[it] = std::max(highest_versions_[it], version);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
}

} // namespace toucan::test
