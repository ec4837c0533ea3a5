#include "support/test_caller.h"

#include "common/response_rule.h"
#include "support/http.h"

#include <fmt/format.h>

#include <algorithm>
#include <thread>
#include <utility>

namespace toucan::test {
namespace {

std::int64_t monotonic_us()
{
    using std::chrono::microseconds;
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<microseconds>(now).count();
}

attempt_outcome read_outcome(const http_response& it)
{
    const auto text = it.header("Toucan-Outcome");
    if (text == "completed") {
        return attempt_outcome::completed;
    }
    if (text == "not-run" && it.status == 503) {
        return attempt_outcome::not_run;
    }
    if (text == "unknown" && it.status == 504) {
        return attempt_outcome::unknown;
    }
    return attempt_outcome::bad_answer;
}

} // namespace

test_caller::test_caller(std::string name, std::vector<vm_address> known_entry_vms,
                         std::string service, std::string client_block, std::uint32_t seed)
    : name_(std::move(name)), known_entry_vms_(std::move(known_entry_vms)),
      service_(std::move(service)), client_block_(std::move(client_block)), random_(seed)
{
}

attempt_record test_caller::call(const test_request& request)
{
    const auto test_id = next_test_id();
    auto key = request.operation_key;
    attempt_record last;
    last.test_id = test_id;
    last.idempotent = request.idempotent;
    last.reason = "no entry VM issued a key prefix";
    for (int it = 0; it < request.max_attempts; ++it) {
        const auto found = lookup();
        if (key.empty() && !request.idempotent) {
            key = next_key();
        }
        if (key.empty() && !request.idempotent) {
            // No entry VM issued a key prefix. Without a key, the request would be rejected as bad.
            std::this_thread::sleep_for(std::chrono::milliseconds(50 << it));
            continue;
        }
        const auto& candidates =
            found && !found->entry_vms.empty() ? found->entry_vms : known_entry_vms_;
        const auto n = static_cast<std::size_t>(it) % candidates.size();
        last = attempt(candidates[n], request, test_id, key);
        if (last.result == attempt_outcome::completed || last.result == attempt_outcome::unknown) {
            return last;
        }
        if (last.result == attempt_outcome::not_run && !request.idempotent &&
            request.operation_key.empty()) {
            // A refused issued key stays refused, so a retry needs a new key. The test id stays the
            // same, so the judge can relate the attempts.
            forget_lookup();
            key = next_key();
        }
        // Backoff of 50 ms, doubled per attempt, long enough in total for a home role to move to
        // another daemon.
        std::this_thread::sleep_for(std::chrono::milliseconds(50 << it));
    }
    return last;
}

attempt_record test_caller::attempt(const vm_address& entry_vm, const test_request& request,
                                    const std::string& test_id, const std::string& operation_key)
{
    attempt_record out;
    out.test_id = test_id;
    out.operation_key = operation_key;
    out.idempotent = request.idempotent;
    out.entry_vm = entry_vm.to_string();

    httplib::Headers headers = {{"Toucan-Deadline-Ms", std::to_string(request.deadline.count())},
                                {"Toucan-Client-Block", client_block_},
                                {"Toucan-Test-Id", test_id},
                                {"Toucan-Test-Size", std::to_string(request.response_bytes)}};
    if (!operation_key.empty()) {
        headers.emplace("Toucan-Operation-Key", operation_key);
    }
    out.sent_us = monotonic_us();
    const auto answer = http_send(entry_vm, request.method, "/v1/call/" + service_ + request.target,
                                  headers, request.body, request.deadline + request.timeout_slack);
    out.received_us = monotonic_us();
    if (!answer) {
        out.result = attempt_outcome::connection_error;
        log_.push_back(out);
        return out;
    }
    out.status = answer->status;
    out.result = read_outcome(*answer);
    out.reason = answer->header("Toucan-Reason");
    out.other_entry_vms = answer->header("Toucan-Entry-Vms");
    out.retry_after = answer->header("Retry-After");
    if (out.result == attempt_outcome::completed) {
        // Without `Content-Length`, a truncated body cannot be distinguished from a short one.
        out.body_matches =
            !answer->header("Content-Length").empty() &&
            answer->body == standins::expected_body({request.method, request.target, request.body,
                                                     test_id, request.response_bytes});
    }
    log_.push_back(out);
    return out;
}

std::optional<lookup_response> test_caller::lookup()
{
    const auto now = std::chrono::steady_clock::now();
    if (cached_lookup_ && now < lookup_expires_at_) {
        return cached_lookup_;
    }
    auto shuffled = known_entry_vms_;
    std::shuffle(shuffled.begin(), shuffled.end(), random_);
    for (const auto& it : shuffled) {
        if (auto found = send_lookup(it, service_, client_block_)) {
            cached_lookup_ = std::move(found);
            lookup_expires_at_ = now + cached_lookup_->lifetime;
            if (cached_lookup_->key_prefix != key_prefix_) {
                key_prefix_ = cached_lookup_->key_prefix;
                last_key_number_ = 0;
            }
            return cached_lookup_;
        }
    }
    // No entry VM answered. The entry VMs of the expired lookup may still serve.
    return cached_lookup_;
}

std::string test_caller::next_key()
{
    lookup();
    return key_prefix_.empty() ? std::string()
                               : fmt::format("{}.{}", key_prefix_, ++last_key_number_);
}

std::string test_caller::next_test_id()
{
    return fmt::format("{}-{}", name_, ++last_request_number_);
}

} // namespace toucan::test
