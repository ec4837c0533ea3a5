#include "support/version_monitor.h"

#include <fmt/format.h>

#include <chrono>

namespace toucan::test {

version_monitor::version_monitor(deployment& target)
    : target_(target), highest_(target.entry_vms().size()), thread_([this] { run(); })
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
        for (std::size_t it = 0; it < highest_.size(); ++it) {
            const auto version = target_.version_at(it);
            // 0 means no answer.
            if (version != 0 && version < highest_[it]) {
                violations_ += fmt::format("entry VM {} went back from version {} to {}\n", it,
                                           highest_[it], version);
            }
            highest_[it] = std::max(highest_[it], version);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
}

} // namespace toucan::test
