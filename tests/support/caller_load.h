#pragma once

#include "support/deployment.h"
#include "support/execution_judge.h"
#include "support/test_caller.h"
#include "support/test_request.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace toucan::test {

/// Callers that send requests one after another, each on its own thread, until they are stopped.
class caller_load {
public:
    using request_maker = std::function<test_request(std::mt19937&)>;

    /// @param target deployment to call; its first service is used.
    /// @param callers number of callers, spread over the client blocks of all failure domains.
    /// @param seed of all choices.
    /// @param make makes the next request of a caller.
    caller_load(deployment& target, std::size_t callers, std::uint32_t seed, request_maker make);
    caller_load(const caller_load&) = delete;
    caller_load& operator=(const caller_load&) = delete;
    ~caller_load();

    /// Waits for the requests in progress and ends the callers.
    void stop();
    /// Number of requests that were completed so far.
    [[nodiscard]] std::size_t completed() const { return completed_; }
    /// Waits until this many more requests are completed.
    bool wait_completed(std::size_t n);
    /// Adds the logs of all callers. Only after `stop`.
    void add_logs(execution_judge& judge) const;

private:
    void run(test_caller& caller, std::uint32_t seed);

    request_maker make_;
    std::atomic<bool> stopped_ = false;
    std::atomic<std::size_t> completed_ = 0;
    std::vector<std::unique_ptr<test_caller>> callers_;
    std::vector<std::thread> threads_;
};

/// Orders (not idempotent, with issued keys or caller-chosen ones) and stock checks.
/// @param random source of the choices.
test_request mixed_request(std::mt19937& random);
/// A caller-chosen key of the present time.
/// @param text makes the key unique.
std::string caller_chosen_key(const std::string& text);

} // namespace toucan::test
