#pragma once

#include "support/attempt_record.h"
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

/// Simulates a caller of the platform: looks up entry VMs, caches the response for its lifetime,
/// sends requests, retries at other entry VMs and checks every response. Not thread-safe.
class test_caller {
public:
    /// @param name distinguishes callers; part of every `Toucan-Test-Id`.
    /// @param known_entry_vms entry VMs that lookups are sent to.
    /// @param service service to call.
    /// @param client_block value of `Toucan-Client-Block` and of the lookup.
    /// @param seed seed of the random choice among entry VMs.
    test_caller(std::string name, std::vector<vm_address> known_entry_vms, std::string service,
                std::string client_block, std::uint32_t seed);

    /// Sends a request and retries it at other entry VMs until its outcome is completed or unknown,
    /// or `max_attempts` is reached. Retries keep the operation key, except that a not-run outcome
    /// of an issued key is followed by a new key.
    /// @param request request to send.
    /// @return record of the last attempt.
    attempt_record call(const test_request& request);
    /// Sends a request once to one entry VM and adds the record to the log.
    /// @param entry_vm HTTP address.
    /// @param request request to send.
    /// @param test_id identity of the request.
    /// @param operation_key operation key; no header is sent if empty.
    attempt_record attempt(const vm_address& entry_vm, const test_request& request,
                           const std::string& test_id, const std::string& operation_key);

    /// Returns the cached lookup, refreshed after its lifetime. If no entry VM answers, returns the
    /// expired one.
    std::optional<lookup_response> lookup();
    /// Returns the next operation key of the current prefix, or an empty string without a prefix.
    std::string next_key();
    std::string next_test_id();
    void forget_lookup() { cached_lookup_.reset(); }

    [[nodiscard]] const std::vector<attempt_record>& log() const { return log_; }

private:
    std::string name_;
    std::vector<vm_address> known_entry_vms_;
    std::string service_;
    std::string client_block_;
    std::mt19937 random_;
    std::optional<lookup_response> cached_lookup_;
    std::chrono::steady_clock::time_point lookup_expires_at_;
    std::string key_prefix_;
    std::uint64_t last_key_number_ = 0;
    std::uint64_t last_request_number_ = 0;
    std::vector<attempt_record> log_;
};

} // namespace toucan::test
