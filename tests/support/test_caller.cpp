#include "support/test_caller.h"

#include "common/answer_rule.h"
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

told read_outcome(const http_answer& it)
{
    const auto text = it.header("Toucan-Outcome");
    if (text == "completed") {
        return told::completed;
    }
    if (text == "not-run" && it.status == 503) {
        return told::not_run;
    }
    if (text == "unknown" && it.status == 504) {
        return told::unknown;
    }
    return told::bad_answer;
}

} // namespace

test_caller::test_caller(std::string name, std::vector<vm_address> known, std::string service,
                         std::string client_block, std::uint32_t seed)
    : name_(std::move(name)), known_(std::move(known)), service_(std::move(service)),
      client_block_(std::move(client_block)), random_(seed)
{
}

call_record test_caller::call(const test_request& request)
{
    const auto test_id = next_test_id();
    auto key = request.operation_key;
    call_record last;
    last.test_id = test_id;
    last.idempotent = request.idempotent;
    last.reason = "no entry VM is known";
    for (int it = 0; it < request.max_attempts; ++it) {
        const auto found = lookup();
        if (key.empty() && !request.idempotent) {
            key = next_key();
        }
        if (key.empty() && !request.idempotent) {
            // No entry VM issues a prefix now, and without a key the request is a bad one.
            std::this_thread::sleep_for(std::chrono::milliseconds(50 << it));
            continue;
        }
        const auto& choice = found && !found->entry_vms.empty() ? found->entry_vms : known_;
        const auto n = static_cast<std::size_t>(it) % choice.size();
        last = attempt(choice[n], request, test_id, key);
        if (last.result == told::completed || last.result == told::unknown) {
            return last;
        }
        if (last.result == told::not_run && !request.idempotent && request.operation_key.empty()) {
            // A refused issued key stays refused, so a caller that wants to go on needs a new one.
            // The request keeps its identity for the judge.
            forget_lookup();
            key = next_key();
        }
        // Short, but long enough for a home role to move during the attempts of one request.
        std::this_thread::sleep_for(std::chrono::milliseconds(50 << it));
    }
    return last;
}

call_record test_caller::attempt(const vm_address& entry_vm, const test_request& request,
                                 const std::string& test_id, const std::string& operation_key)
{
    call_record out;
    out.test_id = test_id;
    out.operation_key = operation_key;
    out.idempotent = request.idempotent;
    out.entry_vm = entry_vm.to_string();

    httplib::Headers headers = {{"Toucan-Deadline-Ms", std::to_string(request.deadline.count())},
                                {"Toucan-Client-Block", client_block_},
                                {"Toucan-Test-Id", test_id},
                                {"Toucan-Test-Size", std::to_string(request.answer_bytes)}};
    if (!operation_key.empty()) {
        headers.emplace("Toucan-Operation-Key", operation_key);
    }
    out.sent_us = monotonic_us();
    const auto answer = http_send(entry_vm, request.method, "/v1/call/" + service_ + request.target,
                                  headers, request.body, request.deadline + request.answer_slack);
    out.answered_us = monotonic_us();
    if (!answer) {
        out.result = told::connection_error;
        log_.push_back(out);
        return out;
    }
    out.status = answer->status;
    out.result = read_outcome(*answer);
    out.reason = answer->header("Toucan-Reason");
    out.other_entry_vms = answer->header("Toucan-Entry-Vms");
    out.retry_after = answer->header("Retry-After");
    if (out.result == told::completed) {
        // Without a length, a cut answer looks like a short one.
        out.whole =
            !answer->header("Content-Length").empty() &&
            answer->body == standins::answer_body({request.method, request.target, request.body,
                                                   test_id, request.answer_bytes});
    }
    log_.push_back(out);
    return out;
}

std::optional<lookup_answer> test_caller::lookup()
{
    const auto now = std::chrono::steady_clock::now();
    if (cached_ && now < cached_until_) {
        return cached_;
    }
    auto order = known_;
    std::shuffle(order.begin(), order.end(), random_);
    for (const auto& it : order) {
        if (auto found = ask_lookup(it, service_, client_block_)) {
            cached_ = std::move(found);
            cached_until_ = now + cached_->lifetime;
            if (cached_->key_prefix != key_prefix_) {
                key_prefix_ = cached_->key_prefix;
                next_key_ = 0;
            }
            return cached_;
        }
    }
    // An expired answer is better than none: its entry VMs may still serve.
    return cached_;
}

std::string test_caller::next_key()
{
    lookup();
    return key_prefix_.empty() ? std::string() : fmt::format("{}.{}", key_prefix_, ++next_key_);
}

std::string test_caller::next_test_id()
{
    return fmt::format("{}-{}", name_, ++next_request_);
}

} // namespace toucan::test
