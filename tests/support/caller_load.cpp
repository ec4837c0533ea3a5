#include "support/caller_load.h"

#include "support/wait_until.h"

#include <fmt/format.h>

#include <chrono>
#include <utility>

namespace toucan::test {
namespace {

constexpr std::chrono::milliseconds pause_between_requests{10};

} // namespace

caller_load::caller_load(deployment& target, std::size_t callers, std::uint32_t seed,
                         request_maker make_request)
    : make_request_(std::move(make_request))
{
    for (std::size_t it = 0; it < callers; ++it) {
        const auto caller_seed = seed * 1000 + static_cast<std::uint32_t>(it);
        callers_.push_back(std::make_unique<test_caller>(
            fmt::format("load-{}-{}", seed, it), target.entry_addresses(),
            target.plan().services.front().name, client_block_of(it % target.plan().domains.size()),
            caller_seed));
        threads_.emplace_back(
            [this, caller = callers_.back().get(), caller_seed] { run(*caller, caller_seed); });
    }
}

caller_load::~caller_load()
{
    stop();
}

void caller_load::stop()
{
    stopped_ = true;
    for (auto& it : threads_) {
        if (it.joinable()) {
            it.join();
        }
    }
}

bool caller_load::wait_completed(std::size_t n)
{
    const auto target = completed_ + n;
    return wait_until([&] { return completed_ >= target; });
}

void caller_load::add_logs(execution_judge& judge) const
{
    for (const auto& it : callers_) {
        judge.add_log(it->log());
    }
}

void caller_load::run(test_caller& caller, std::uint32_t seed)
{
    std::mt19937 random(seed);
    while (!stopped_) {
        if (caller.call(make_request_(random)).result == attempt_outcome::completed) {
            ++completed_;
        }
        std::this_thread::sleep_for(pause_between_requests);
    }
}

test_request mixed_request(std::mt19937& random)
{
    test_request out;
    const auto kind = random() % 4;
    out.response_bytes = 100 + random() % 4000;
    out.target = fmt::format("/stock/{}", random() % 1000);
    if (kind > 0) {
        out.method = "POST";
        out.target = fmt::format("/orders/{}", random() % 1000);
        out.body = fmt::format("amount={}", random() % 100);
        out.idempotent = false;
    }
    if (kind == 3) {
        out.operation_key = caller_chosen_key(fmt::format("{:08x}{:08x}", random(), random()));
    }
    return out;
}

std::string caller_chosen_key(const std::string& unique_text)
{
    using std::chrono::milliseconds;
    using std::chrono::system_clock;
    const auto now = system_clock::now().time_since_epoch();
    return fmt::format("c1-{}-{}", std::chrono::duration_cast<milliseconds>(now).count(),
                       unique_text);
}

} // namespace toucan::test
