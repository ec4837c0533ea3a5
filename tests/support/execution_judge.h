#pragma once

#include "support/attempt_record.h"
#include "toucan/base/vm_address.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace toucan::test {

/// Compares the outcomes that callers received with the executions that backend servers recorded.
class execution_judge {
public:
    /// Adds the executions recorded by a backend stand-in. Throws `std::runtime_error` if the
    /// stand-in does not answer.
    /// @param backend address of the stand-in.
    void fetch_executions(const vm_address& backend);
    /// Calls `fetch_executions` for each address.
    void fetch_all_executions(const std::vector<vm_address>& backends);
    /// @param list JSON array as returned by `/control/executions`.
    void add_executions(const nlohmann::json& list);
    /// @param log all attempts of one caller.
    void add_log(const std::vector<attempt_record>& log);

    /// Checks that non-idempotent requests and operation keys ran at most once, that requests
    /// reported as not run did not run, that responses follow the protocol, and that each completed
    /// response belongs to a request that ran and has the expected body. A request without a
    /// response may have run or not.
    /// @return one message for each violation.
    [[nodiscard]] std::vector<std::string> violations() const;
    /// @return all violations, one per line; empty if there are none.
    [[nodiscard]] std::string violations_text() const;
    /// @return number of executions of a request.
    /// @param test_id identity of the request.
    [[nodiscard]] std::size_t executions_of(const std::string& test_id) const;
    /// @return number of attempts with this outcome.
    [[nodiscard]] std::size_t count_outcomes(attempt_outcome result) const;

private:
    struct execution {
        std::string operation_key;
        std::string test_id;
        std::string backend;
        std::int64_t executed_at_us = 0;
    };

    /// @return true if the execution has the operation key of the attempt, or has its test id and
    /// no operation key of another attempt.
    [[nodiscard]] bool is_execution_of(const execution& it, const attempt_record& record) const;
    /// @return true if the execution shows that the not-run outcome of `refusal` was false.
    [[nodiscard]] bool contradicts(const execution& it, const attempt_record& refusal) const;
    void check_duplicates(std::vector<std::string>& out) const;
    void check_refusals(std::vector<std::string>& out) const;
    void check_answers(std::vector<std::string>& out) const;

    std::vector<execution> executions_;
    std::vector<attempt_record> records_;
};

} // namespace toucan::test
