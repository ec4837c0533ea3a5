#include "support/wait_until.h"

#include <exception>
#include <thread>

namespace toucan::test {

bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds deadline)
{
    const auto end = std::chrono::steady_clock::now() + deadline;
    while (true) {
        try {
            if (condition()) {
                return true;
            }
        }
        catch (const std::exception&) { // NOLINT(bugprone-empty-catch)
            // The process under test may still be starting.
        }
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

} // namespace toucan::test
