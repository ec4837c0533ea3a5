#include "judge.h"

#include "fault_windows.h"
#include "regions_judge.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <utility>

namespace toucan::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

bool means_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

class judge {
public:
    judge(const history& it, const promised_bounds& bounds) : history_(it), bounds_(bounds)
    {
        for (const auto& request : it.requests) {
            requests_[request.id] = &request;
        }
        for (const auto& run : it.executions) {
            executions_[run.id].push_back(&run);
        }
    }

    std::vector<std::string> verdict()
    {
        check_answers();
        check_executions();
        check_regions();
        check_changes();
        check_moved_route();
        check_cold_rate();
        check_retry_budget();
        check_stops();
        check_unanswered();
        check_crashes_and_recovery();
        return std::move(violations_);
    }

private:
    void report(const std::string& promise, const std::string& text)
    {
        if (reported_.insert(promise).second) {
            violations_.push_back(promise + ": " + text);
        }
    }

    /// @return true if no injected fault affected the daemon or the store within `fault_free_time`
    /// before `at`.
    bool unaffected(std::size_t daemon, steady_time at) const
    {
        return last_unaffected(history_, bounds_, daemon, at) == at;
    }

    void check_answers()
    {
        for (const auto& it : history_.requests) {
            const auto executions = executions_.find(it.id);
            const bool ran = executions != executions_.end();
            if (it.mismatched) {
                report("whole answer",
                       it.id + " received a response without a seal or with a wrong body");
            }
            if (!it.idempotent && ran && executions->second.size() > 1) {
                report("at most once", it.id + " ran at " + executions->second[0]->backend +
                                           " and " + executions->second[1]->backend);
            }
            if (!it.idempotent && ran && it.status && means_not_run(*it.status)) {
                report("true refusal", fmt::format("{} received status {} but ran at {}", it.id,
                                                   *it.status, executions->second[0]->backend));
            }
        }
    }

    void check_executions()
    {
        for (const auto& run : history_.executions) {
            const auto it = requests_.find(run.id);
            if (it == requests_.end() || it->second->path != run.path) {
                report("nothing unasked",
                       run.id + " ran, but no caller sent it with path " + run.path);
            }
        }
    }

    /// Each kind of violation is reported, because each may have another cause.
    void check_regions()
    {
        for (const auto& it : check_allowed_regions(history_, bounds_)) {
            violations_.push_back("allowed regions: " + it);
        }
    }

    /// @return the daemon that received the request, if no injected fault affected it at the time
    /// of the execution.
    std::optional<std::size_t> unaffected_daemon(const execution_record& run) const
    {
        const auto it = requests_.find(run.id);
        if (it == requests_.end() || !unaffected(it->second->daemon, run.at)) {
            return std::nullopt;
        }
        return it->second->daemon;
    }

    void check_changes()
    {
        for (const auto& change : history_.changes) {
            if (change.type == acknowledged_change::kind::leaving) {
                check_no_executions_after(
                    change, bounds_.drain, steady_time::max(), "leaving server",
                    [&](const execution_record& it) { return it.backend == change.subject; });
            }
            else if (change.type == acknowledged_change::kind::evacuated) {
                check_no_executions_after(change, bounds_.evacuate, end_of_evacuation(change),
                                          "evacuation", [&](const execution_record& it) {
                                              return it.failure_domain == change.subject;
                                          });
            }
        }
    }

    steady_time end_of_evacuation(const acknowledged_change& start) const
    {
        for (const auto& it : history_.changes) {
            if (it.type == acknowledged_change::kind::evacuation_ended &&
                it.subject == start.subject && it.at > start.at) {
                return it.at;
            }
        }
        return steady_time::max();
    }

    void check_no_executions_after(const acknowledged_change& change, milliseconds bound,
                                   steady_time until, const std::string& promise,
                                   const std::function<bool(const execution_record&)>& is_affected)
    {
        for (const auto& run : history_.executions) {
            if (is_affected(run) && run.at > change.at + bound && run.at < until &&
                unaffected_daemon(run)) {
                report(promise, fmt::format("{} ran at {} {} ms after the change", run.id,
                                            run.backend, count_ms(run.at - change.at)));
            }
        }
    }

    static long count_ms(std::chrono::nanoseconds it)
    {
        return std::chrono::duration_cast<milliseconds>(it).count();
    }

    /// The moved route uses the service of the newest configuration and never reverts to an older
    /// one.
    void check_moved_route()
    {
        std::vector<const acknowledged_change*> moves;
        for (const auto& it : history_.changes) {
            if (it.type == acknowledged_change::kind::moved) {
                moves.push_back(&it);
            }
        }
        for (const auto& run : history_.executions) {
            const auto it = requests_.find(run.id);
            if (run.path.rfind(moved_prefix, 0) != 0 || it == requests_.end()) {
                continue;
            }
            const auto allowed = [&](const acknowledged_change& move, steady_time next) {
                // The previous service is allowed until the next configuration has to be in force.
                return it->second->sent < next + bounds_.apply && run.service == move.subject;
            };
            bool allowed_by_any = moves.empty();
            for (std::size_t n = 0; n < moves.size(); ++n) {
                const auto next =
                    n + 1 < moves.size() ? moves[n + 1]->at : steady_time::max() - bounds_.apply;
                allowed_by_any = allowed_by_any || allowed(*moves[n], next);
            }
            if (!allowed_by_any && unaffected_daemon(run)) {
                report("configuration",
                       run.id + " ran at a service of a replaced configuration: " + run.service);
            }
        }
    }

    void check_cold_rate()
    {
        std::map<std::pair<std::string, int>, std::deque<steady_time>> recent;
        for (const auto& run : history_.executions) {
            if (!run.cold) {
                continue;
            }
            auto& times = recent[{run.backend, run.backend_run}];
            times.push_back(run.at);
            while (run.at - times.front() > seconds(1)) {
                times.pop_front();
            }
            if (static_cast<double>(times.size()) > bounds_.cold_requests_per_s) {
                report("cold rate", fmt::format("{} received {} requests within 1 s", run.backend,
                                                times.size()));
            }
        }
    }

    void check_retry_budget()
    {
        constexpr seconds window{10};
        std::map<std::string, std::deque<steady_time>> resends;
        std::set<std::string> seen_ids;
        std::map<std::string, std::vector<steady_time>> requests;
        for (const auto& run : history_.executions) {
            if (seen_ids.insert(run.id).second) {
                requests[run.service].push_back(run.at);
                continue;
            }
            auto& times = resends[run.service];
            times.push_back(run.at);
            while (run.at - times.front() > window) {
                times.pop_front();
            }
            const auto& all = requests[run.service];
            const auto in_window = std::count_if(
                all.begin(), all.end(), [&](steady_time it) { return it > run.at - window; });
            if (static_cast<double>(times.size()) >
                bounds_.retry_ratio * static_cast<double>(in_window) + bounds_.retry_extra) {
                report("retry budget",
                       fmt::format("{} resends to {} within 10 s", times.size(), run.service));
            }
        }
    }

    /// A daemon that received SIGTERM answers each request that it has read, and until its end each
    /// one that it has passed on. Stops during other faults are not checked.
    void check_stops()
    {
        for (const auto& [daemon, at] : history_.stops) {
            for (const auto& it : history_.requests) {
                const bool during =
                    it.daemon == daemon && it.sent > at && it.sent < at + bounds_.stop_grace;
                if (!during || it.status != 0 || !unaffected(daemon, *it.ended)) {
                    continue;
                }
                // A pipelined request that has not run counts as not received.
                const bool late = it.sent < at + seconds(3) && !it.pipelined &&
                                  *it.ended - it.sent > bounds_.loss_slack;
                if (late || executions_.count(it.id) > 0) {
                    report("graceful stop",
                           fmt::format("{} sent {} ms after SIGTERM got no response", it.id,
                                       count_ms(it.sent - at)));
                }
            }
        }
    }

    /// A daemon that ends a connection by itself, at a stop or behind an announcement, has answered
    /// all that it received on it. Each violation is reported, because each may have another cause.
    void check_unanswered()
    {
        for (const auto& it : history_.unanswered) {
            if (it.reason == "stop" || it.reason == "response") {
                violations_.push_back("unanswered request: " + it.line);
            }
        }
    }

    void check_crashes_and_recovery()
    {
        for (const auto& it : history_.crashes) {
            report("no crash", it);
        }
        if (history_.peak_memory_mb > bounds_.memory_mb) {
            report("memory", fmt::format("a daemon held {} MiB", history_.peak_memory_mb));
        }
        double all = 0;
        double served = 0;
        for (const auto& it : history_.requests) {
            if (it.sent >= history_.recovery_check_start && it.status && it.expects_service) {
                ++all;
                served += *it.status == 200 ? 1 : 0;
            }
        }
        if (all == 0 || served < bounds_.min_served_share * all) {
            report("recovery",
                   fmt::format("{} of {} requests served after all faults ended", served, all));
        }
    }

    const history& history_;
    const promised_bounds& bounds_;
    std::map<std::string, const sent_request*> requests_;
    std::map<std::string, std::vector<const execution_record*>> executions_;
    std::set<std::string> reported_;
    std::vector<std::string> violations_;
};

} // namespace

std::vector<std::string> broken_promises(const history& it, const promised_bounds& bounds)
{
    return judge(it, bounds).verdict();
}

} // namespace toucan::soak
