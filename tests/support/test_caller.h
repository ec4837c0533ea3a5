#pragma once

#include "support/call_record.h"
#include "support/lookup.h"
#include "support/test_request.h"
#include "toucan/base/vm_address.h"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace toucan::test {

/// A caller as the platform has them: it asks for entry VMs, caches the answer for its lifetime,
/// sends requests, retries at other entry VMs and checks every answer. May be used by one thread.
class test_caller {
public:
    /// @param name distinguishes callers; part of every `Toucan-Test-Id`.
    /// @param known entry VMs to ask for a lookup.
    /// @param service service to call.
    /// @param client_block value of `Toucan-Client-Block` and of the lookup.
    /// @param seed of the choice among entry VMs.
    test_caller(std::string name, std::vector<vm_address> known, std::string service,
                std::string client_block, std::uint32_t seed);

    /// Sends a request and retries it at other entry VMs, with the same key, until it is completed
    /// or unknown, or the attempts are used up.
    /// @param request what to send.
    /// @return what the last attempt was told.
    call_record call(const test_request& request);
    /// One attempt at one entry VM.
    /// @param entry_vm HTTP address.
    /// @param request what to send.
    /// @param test_id identity of the request.
    /// @param operation_key key to send; none if empty.
    call_record attempt(const vm_address& entry_vm, const test_request& request,
                        const std::string& test_id, const std::string& operation_key);

    /// The cached lookup, asked again after its lifetime.
    std::optional<lookup_answer> lookup();
    /// The next key of the present prefix, or an empty text without a prefix.
    std::string next_key();
    std::string next_test_id();
    void forget_lookup() { cached_.reset(); }

    [[nodiscard]] const std::vector<call_record>& log() const { return log_; }

private:
    std::string name_;
    std::vector<vm_address> known_;
    std::string service_;
    std::string client_block_;
    std::mt19937 random_;
    std::optional<lookup_answer> cached_;
    std::chrono::steady_clock::time_point cached_until_;
    std::string key_prefix_;
    std::uint64_t next_key_ = 0;
    std::uint64_t next_request_ = 0;
    std::vector<call_record> log_;
};

} // namespace toucan::test
