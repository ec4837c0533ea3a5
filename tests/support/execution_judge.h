#pragma once

#include "support/call_record.h"
#include "toucan/base/vm_address.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace toucan::test {

/// Compares what callers were told with what backend servers ran.
class execution_judge {
public:
    /// Adds the executions that a backend stand-in recorded.
    /// @param backend address of the stand-in. Throws if it does not answer.
    void collect(const vm_address& backend);
    /// @param backends addresses of stand-ins.
    void collect_all(const std::vector<vm_address>& backends);
    /// @param list answer of `/control/executions`.
    void add_executions(const nlohmann::json& list);
    /// @param log of a caller.
    void add_log(const std::vector<call_record>& log);

    /// Checks the invariants. A request whose callers got no answer may have run or not.
    /// @return one text for each violation.
    [[nodiscard]] std::vector<std::string> violations() const;
    /// The violations in one text, empty without any.
    [[nodiscard]] std::string verdict() const;
    /// @param test_id request to look for.
    [[nodiscard]] std::size_t executions_of(const std::string& test_id) const;
    /// Number of attempts that were told this.
    [[nodiscard]] std::size_t count(told result) const;

private:
    struct execution {
        std::string operation_key;
        std::string test_id;
        std::string backend;
        std::int64_t at_us = 0;
    };

    [[nodiscard]] bool belongs(const execution& it, const call_record& record) const;
    [[nodiscard]] bool refutes(const execution& it, const call_record& refusal) const;
    void check_repeats(std::vector<std::string>& out) const;
    void check_refusals(std::vector<std::string>& out) const;
    void check_answers(std::vector<std::string>& out) const;

    std::vector<execution> executions_;
    std::vector<call_record> records_;
};

} // namespace toucan::test
