#include "support/execution_judge.h"

#include "support/http.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <stdexcept>

namespace toucan::test {

void execution_judge::fetch_executions(const vm_address& backend)
{
    const auto list = get_json(backend, "/control/executions");
    if (!list) {
        // Skipping a stand-in would hide the violations in its record.
        throw std::runtime_error("no execution record received from " + backend.to_string());
    }
    add_executions(*list);
}

void execution_judge::fetch_all_executions(const std::vector<vm_address>& backends)
{
    for (const auto& it : backends) {
        fetch_executions(it);
    }
}

void execution_judge::add_executions(const nlohmann::json& list)
{
    for (const auto& it : list) {
        executions_.push_back(
            {it.value("operation_key", std::string()), it.value("test_id", std::string()),
             it.value("backend", std::string()), it.value("monotonic_us", std::int64_t{0})});
    }
}

void execution_judge::add_log(const std::vector<attempt_record>& log)
{
    records_.insert(records_.end(), log.begin(), log.end());
}

std::vector<std::string> execution_judge::violations() const
{
    std::vector<std::string> out;
    check_duplicates(out);
    check_refusals(out);
    check_answers(out);
    return out;
}

std::string execution_judge::violations_text() const
{
    std::string out;
    for (const auto& it : violations()) {
        out += it + "\n";
    }
    return out;
}

std::size_t execution_judge::executions_of(const std::string& test_id) const
{
    return static_cast<std::size_t>(
        std::count_if(executions_.begin(), executions_.end(),
                      [&](const execution& it) { return it.test_id == test_id; }));
}

std::size_t execution_judge::count_outcomes(attempt_outcome result) const
{
    return static_cast<std::size_t>(
        std::count_if(records_.begin(), records_.end(),
                      [result](const attempt_record& it) { return it.result == result; }));
}

void execution_judge::check_duplicates(std::vector<std::string>& out) const
{
    std::set<std::string> non_idempotent_ids;
    for (const auto& it : records_) {
        if (!it.idempotent) {
            non_idempotent_ids.insert(it.test_id);
        }
    }
    std::map<std::string, int> by_request;
    std::map<std::string, int> by_key;
    for (const auto& it : executions_) {
        ++by_request[it.test_id];
        if (!it.operation_key.empty()) {
            ++by_key[it.operation_key];
        }
    }
    for (const auto& [test_id, n] : by_request) {
        if (n > 1 && non_idempotent_ids.contains(test_id)) {
            out.push_back(fmt::format("request {} ran {} times", test_id, n));
        }
    }
    for (const auto& [key, n] : by_key) {
        if (n > 1) {
            out.push_back(fmt::format("operation key {} ran {} times", key, n));
        }
    }
}

bool execution_judge::is_execution_of(const execution& it, const attempt_record& record) const
{
    if (!record.operation_key.empty() && it.operation_key == record.operation_key) {
        return true;
    }
    if (it.test_id != record.test_id) {
        return false;
    }
    // A caller may retry a refused request with a new key. An execution under the key of another
    // attempt does not belong to this attempt.
    return std::none_of(records_.begin(), records_.end(), [&](const attempt_record& other) {
        return !it.operation_key.empty() && other.test_id == it.test_id &&
               other.operation_key == it.operation_key;
    });
}

bool execution_judge::contradicts(const execution& it, const attempt_record& refusal) const
{
    if (!is_execution_of(it, refusal)) {
        return false;
    }
    if (it.executed_at_us < refusal.sent_us) {
        // The request ran before this attempt. Only an idempotent request, which may run again, can
        // then be answered not run.
        return !refusal.idempotent;
    }
    // The execution may come from another attempt that was sent before it. Unless both attempts are
    // idempotent, the other one must have been waiting for its response at the time of the
    // execution and when the refusal arrived: a caller without another attempt in progress relies
    // on the refusal.
    const auto is_source = [&](const attempt_record& other) {
        if (&other == &refusal || other.result == attempt_outcome::not_run ||
            !is_execution_of(it, other) || other.sent_us > it.executed_at_us) {
            return false;
        }
        if (other.idempotent && refusal.idempotent) {
            return true;
        }
        return it.executed_at_us <= other.received_us && other.received_us >= refusal.received_us;
    };
    const bool has_other_source = std::any_of(records_.begin(), records_.end(), is_source);
    return !has_other_source;
}

void execution_judge::check_refusals(std::vector<std::string>& out) const
{
    for (const auto& record : records_) {
        if (record.result != attempt_outcome::not_run) {
            continue;
        }
        for (const auto& it : executions_) {
            if (contradicts(it, record)) {
                out.push_back(fmt::format("request {} key '{}': {} reported not run ({}), but "
                                          "{} executed it",
                                          record.test_id, record.operation_key, record.entry_vm,
                                          record.reason, it.backend));
                break;
            }
        }
    }
}

void execution_judge::check_answers(std::vector<std::string>& out) const
{
    std::set<std::string> executed_ids;
    for (const auto& it : executions_) {
        executed_ids.insert(it.test_id);
    }
    for (const auto& it : records_) {
        const auto attempt_text =
            fmt::format("request {} key '{}' at {}", it.test_id, it.operation_key, it.entry_vm);
        if (it.result == attempt_outcome::bad_answer) {
            out.push_back(fmt::format("{}: response violates the protocol: status {}, reason '{}'",
                                      attempt_text, it.status, it.reason));
        }
        if (it.result != attempt_outcome::completed) {
            continue;
        }
        if (!it.body_matches) {
            out.push_back(fmt::format(
                "{}: completed response lacks Content-Length or the expected body", attempt_text));
        }
        if (!executed_ids.contains(it.test_id)) {
            out.push_back(fmt::format("{}: reported completed, but no backend server executed it",
                                      attempt_text));
        }
    }
}

} // namespace toucan::test
