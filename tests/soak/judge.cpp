#include "judge.h"

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

bool promises_not_run(int status)
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
        for (const auto& run : it.runs) {
            runs_[run.id].push_back(&run);
        }
    }

    std::vector<std::string> verdict()
    {
        check_answers();
        check_runs();
        check_changes();
        check_moved_route();
        check_cold_rate();
        check_retry_budget();
        check_stops();
        check_end();
        return std::move(found_);
    }

private:
    void report(const std::string& promise, const std::string& text)
    {
        if (seen_.insert(promise).second) {
            found_.push_back(promise + ": " + text);
        }
    }

    /// The daemon had its path to the store, and nothing unplanned happened to it.
    bool in_touch(std::size_t daemon, steady_time at) const
    {
        const auto from = at - bounds_.contact;
        const auto touches = [&](const span& it) {
            return it.touches(from, at);
        };
        const auto own = history_.daemon_disturbances.find(daemon);
        return std::none_of(history_.disturbances.begin(), history_.disturbances.end(), touches) &&
               (own == history_.daemon_disturbances.end() ||
                std::none_of(own->second.begin(), own->second.end(), touches));
    }

    void check_answers()
    {
        for (const auto& it : history_.requests) {
            const auto runs = runs_.find(it.id);
            const bool ran = runs != runs_.end();
            if (it.mixed) {
                report("whole answer", it.id + " got a response that is not its own");
            }
            if (!it.idempotent && ran && runs->second.size() > 1) {
                report("at most once", it.id + " ran at " + runs->second[0]->backend + " and " +
                                           runs->second[1]->backend);
            }
            if (!it.idempotent && ran && it.status && promises_not_run(*it.status)) {
                report("true refusal", fmt::format("{} was answered {} and ran at {}", it.id,
                                                   *it.status, runs->second[0]->backend));
            }
        }
    }

    void check_runs()
    {
        for (const auto& run : history_.runs) {
            const auto it = requests_.find(run.id);
            if (it == requests_.end() || it->second->path != run.path) {
                report("nothing unasked", run.id + " ran with path " + run.path);
            }
            if (run.path.rfind(home_prefix, 0) == 0 && run.region != home_region) {
                report("allowed regions", run.id + " ran in region " + run.region);
            }
        }
    }

    /// @return the daemon that passed a run's request on and was in touch then.
    std::optional<std::size_t> daemon_in_touch(const run_record& run) const
    {
        const auto it = requests_.find(run.id);
        if (it == requests_.end() || !in_touch(it->second->daemon, run.at)) {
            return std::nullopt;
        }
        return it->second->daemon;
    }

    void check_changes()
    {
        for (const auto& change : history_.changes) {
            if (change.what == acknowledged_change::kind::leaving) {
                check_emptied(change, bounds_.drain, steady_time::max(), "leaving server",
                              [&](const run_record& it) { return it.backend == change.subject; });
            }
            else if (change.what == acknowledged_change::kind::evacuated) {
                check_emptied(
                    change, bounds_.evacuate, end_of_evacuation(change), "evacuation",
                    [&](const run_record& it) { return it.failure_domain == change.subject; });
            }
        }
    }

    steady_time end_of_evacuation(const acknowledged_change& began) const
    {
        for (const auto& it : history_.changes) {
            if (it.what == acknowledged_change::kind::evacuation_ended &&
                it.subject == began.subject && it.at > began.at) {
                return it.at;
            }
        }
        return steady_time::max();
    }

    void check_emptied(const acknowledged_change& change, milliseconds bound, steady_time until,
                       const std::string& promise,
                       const std::function<bool(const run_record&)>& concerns)
    {
        for (const auto& run : history_.runs) {
            if (concerns(run) && run.at > change.at + bound && run.at < until &&
                daemon_in_touch(run)) {
                report(promise, fmt::format("{} ran at {} {} ms after the change", run.id,
                                            run.backend, count_ms(run.at - change.at)));
            }
        }
    }

    static long count_ms(std::chrono::nanoseconds it)
    {
        return std::chrono::duration_cast<milliseconds>(it).count();
    }

    /// The moved route goes to the service of the newest configuration, and never back.
    void check_moved_route()
    {
        std::vector<const acknowledged_change*> moves;
        for (const auto& it : history_.changes) {
            if (it.what == acknowledged_change::kind::moved) {
                moves.push_back(&it);
            }
        }
        for (const auto& run : history_.runs) {
            const auto it = requests_.find(run.id);
            if (run.path.rfind(moved_prefix, 0) != 0 || it == requests_.end()) {
                continue;
            }
            const auto allowed = [&](const acknowledged_change& move, steady_time next) {
                // The next configuration has been in force for less than its bound.
                return it->second->sent < next + bounds_.apply && run.service == move.subject;
            };
            bool fits = moves.empty();
            for (std::size_t n = 0; n < moves.size(); ++n) {
                const auto next =
                    n + 1 < moves.size() ? moves[n + 1]->at : steady_time::max() - bounds_.apply;
                fits = fits || allowed(*moves[n], next);
            }
            if (!fits && daemon_in_touch(run)) {
                report("configuration", run.id + " ran at service " + run.service);
            }
        }
    }

    void check_cold_rate()
    {
        std::map<std::string, std::deque<steady_time>> recent;
        for (const auto& run : history_.runs) {
            if (!run.cold) {
                continue;
            }
            auto& times = recent[run.backend];
            times.push_back(run.at);
            while (run.at - times.front() > seconds(1)) {
                times.pop_front();
            }
            if (static_cast<double>(times.size()) > bounds_.cold_requests) {
                report("cold rate",
                       fmt::format("{} got {} requests in a second", run.backend, times.size()));
            }
        }
    }

    void check_retry_budget()
    {
        constexpr seconds window{10};
        std::map<std::string, std::deque<steady_time>> resends;
        std::set<std::string> first;
        std::map<std::string, std::vector<steady_time>> requests;
        for (const auto& run : history_.runs) {
            if (first.insert(run.id).second) {
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
                report("retry budget", fmt::format("{} resends to {}", times.size(), run.service));
            }
        }
    }

    /// Around a stop without other disturbance, what was read is answered.
    void check_stops()
    {
        for (const auto& [daemon, at] : history_.stops) {
            for (const auto& it : history_.requests) {
                const bool during =
                    it.daemon == daemon && it.sent > at && it.sent < at + seconds(3);
                if (!during || it.status != 0 || !in_touch(daemon, *it.ended)) {
                    continue;
                }
                const bool late = *it.ended - it.sent > bounds_.loss_slack;
                if (late || runs_.count(it.id) > 0) {
                    report("graceful stop", fmt::format("{} sent {} ms after the stop was lost",
                                                        it.id, count_ms(it.sent - at)));
                }
            }
        }
    }

    void check_end()
    {
        for (const auto& it : history_.crashes) {
            report("no crash", it);
        }
        double all = 0;
        double served = 0;
        for (const auto& it : history_.requests) {
            if (it.sent >= history_.calm_from && it.status) {
                ++all;
                served += *it.status == 200 ? 1 : 0;
            }
        }
        if (all == 0 || served < bounds_.recovered_share * all) {
            report("recovery", fmt::format("{} of {} requests served at the end", served, all));
        }
    }

    const history& history_;
    const promised_bounds& bounds_;
    std::map<std::string, const sent_request*> requests_;
    std::map<std::string, std::vector<const run_record*>> runs_;
    std::set<std::string> seen_;
    std::vector<std::string> found_;
};

} // namespace

std::vector<std::string> broken_promises(const history& it, const promised_bounds& bounds)
{
    return judge(it, bounds).verdict();
}

} // namespace toucan::soak
