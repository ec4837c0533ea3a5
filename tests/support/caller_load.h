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

/// Concurrent load: each caller sends one request at a time on its own thread until `stop`.
class caller_load {
public:
    using request_maker = std::function<test_request(std::mt19937&)>;

    /// @param target deployment to call; its first service is used.
    /// @param callers number of callers, spread over the client blocks of all failure domains.
    /// @param seed seed of all random choices.
    /// @param make_request creates the next request; called concurrently by the caller threads.
    caller_load(deployment& target, std::size_t callers, std::uint32_t seed,
                request_maker make_request);
    caller_load(const caller_load&) = delete;
    caller_load& operator=(const caller_load&) = delete;
    ~caller_load();

    /// Waits for the requests in progress and joins the threads.
    void stop();
    /// Number of completed requests.
    [[nodiscard]] std::size_t completed() const { return completed_; }
    /// Waits until `n` more requests are completed.
    /// @return false if `wait_deadline` passed first.
    bool wait_completed(std::size_t n);
    /// Adds the logs of all callers to the judge. Call it only after `stop`.
    void add_logs(execution_judge& judge) const;

private:
    void run(test_caller& caller, std::uint32_t seed);

    request_maker make_request_;
    std::atomic<bool> stopped_ = false;
    std::atomic<std::size_t> completed_ = 0;
    std::vector<std::unique_ptr<test_caller>> callers_;
    std::vector<std::thread> threads_;
};

/// Creates a random request: 1 in 4 is an idempotent stock check, 2 in 4 are orders with an issued
/// key, 1 in 4 is an order with a caller-chosen key. Orders are not idempotent.
/// @param random random number generator of the calling thread.
test_request mixed_request(std::mt19937& random);
/// Creates a caller-chosen operation key with the current time.
/// @param unique_text distinguishes keys of the same millisecond.
std::string caller_chosen_key(const std::string& unique_text);

} // namespace toucan::test
