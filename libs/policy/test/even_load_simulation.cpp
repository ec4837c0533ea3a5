#include "even_load_simulation.h"

#include "toucan/policy/load_share.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace toucan::policy {

namespace {

constexpr int report_interval_ms = 50;
constexpr int share_interval_ms = 250;
constexpr double max_utilization = 1.2;
constexpr double second_choice_utilization = 0.5;
constexpr double skew = 0.3;
constexpr std::size_t max_passed_over = 3;

} // namespace

even_load_simulation::even_load_simulation(const even_load_setup& setup)
    : setup_(setup), random_(setup.seed), daemons_(setup.daemons)
{
    for (std::size_t n = 0; n < servers; ++n) {
        servers_[n].key = random_();
        index_[servers_[n].key] = n;
        ranking_.add(servers_[n].key);
    }
    std::vector<double> weights;
    for (std::size_t n = 0; n < setup.objects; ++n) {
        objects_.push_back(random_());
        weights.push_back(std::pow(static_cast<double>(n + 1), -skew));
    }
    popularity_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    for (auto& it : daemons_) {
        it.report_age = 50 + static_cast<int>(random_() % 46) * step_ms;
        it.phase = static_cast<int>(random_() % 25) * step_ms;
        it.history.resize(kept_steps);
        it.limit.fill(1);
    }
}

void even_load_simulation::remove(std::size_t server)
{
    servers_[server].present = false;
    ranking_.remove(servers_[server].key);
}

void even_load_simulation::add(std::size_t server)
{
    servers_[server].present = true;
    servers_[server].cache.clear();
    ranking_.add(servers_[server].key);
    for (auto& it : daemons_) {
        it.shares[server] = {};
    }
}

void even_load_simulation::restart(std::size_t daemon)
{
    daemons_[daemon].shares = std::vector<kept_share>(servers);
}

void even_load_simulation::run(int ms)
{
    for (const int end = now_ + ms; now_ < end; now_ += step_ms) {
        ++steps_;
        for (std::size_t n = 0; n < servers; ++n) {
            finish(servers_[n], n);
        }
        keep_history();
        for (auto& it : daemons_) {
            if ((now_ + it.phase) % report_interval_ms == 0) {
                record_reports(it);
                dispatch_waiting(it);
            }
            if ((now_ + it.phase) % share_interval_ms == 0) {
                update_shares(it);
            }
        }
        arrive();
        for (auto& it : servers_) {
            it.load_sum += static_cast<double>(it.running.size() + it.waiting.size());
        }
    }
}

void even_load_simulation::keep_history()
{
    const auto slot = static_cast<std::size_t>(now_ / step_ms) % kept_steps;
    auto& sum = reports_[slot];
    sum = {};
    for (auto& it : daemons_) {
        it.history[slot] = it.own;
        for (std::size_t n = 0; n < servers; ++n) {
            sum.load[n] += it.own[n];
            sum.users[n] += it.own[n] > 0 ? 1 : 0;
        }
    }
}

void even_load_simulation::arrive()
{
    const double per_step = setup_.load * servers * slots * step_ms / warm_ms;
    auto n = std::poisson_distribution<int>(per_step)(random_);
    for (; n > 0; --n) {
        const auto object = uniform_(random_) < popular_share_ ? 0 : popularity_(random_);
        auto& to = daemons_[random_() % daemons_.size()];
        const pending_request it{now_, object, static_cast<std::size_t>(&to - daemons_.data()),
                                 uniform_(random_)};
        ++requests_;
        if (!dispatch(to, it)) {
            to.waiting.push_back(it);
        }
    }
}

void even_load_simulation::finish(server_model& it, std::size_t index)
{
    std::erase_if(it.running, [&](const running_request& run) {
        const bool ended = run.until <= now_;
        daemons_[run.daemon].own[index] -= ended ? 1 : 0;
        return ended;
    });
    while (!it.waiting.empty() && it.running.size() < slots) {
        start(it, it.waiting.front());
        it.waiting.pop_front();
    }
}

void even_load_simulation::start(server_model& it, const pending_request& request)
{
    const auto cached = std::find(it.cache.begin(), it.cache.end(), request.object);
    const bool warm = cached != it.cache.end();
    if (warm) {
        it.cache.erase(cached);
    }
    else {
        ++cold_;
    }
    it.cache.push_back(request.object);
    if (it.cache.size() > cache_capacity) {
        it.cache.pop_front();
    }
    const double time = it.factor * (warm ? warm_ms : cold_ms);
    it.running.push_back({now_ + static_cast<int>(time), request.daemon});
}

void even_load_simulation::record_reports(daemon_model& it)
{
    if (!reports_delivered_) {
        return;
    }
    const int at = std::max(0, now_ - it.report_age);
    const auto slot = static_cast<std::size_t>(at / step_ms) % kept_steps;
    for (std::size_t n = 0; n < servers; ++n) {
        const auto own = it.history[slot][n];
        it.peer_load[n] = reports_[slot].load[n] - own;
        const auto users = static_cast<std::size_t>(reports_[slot].users[n]) - (own > 0 ? 1 : 0);
        const server_load load{static_cast<double>(it.own[n]), load_of(it, n),
                               max_utilization * slots, std::max<std::size_t>(users + 1, 2)};
        it.limit[n] = local_load_limit(load, uniform_(random_));
    }
}

double even_load_simulation::mean_utilization(const daemon_model& it) const
{
    double load = 0;
    std::size_t present = 0;
    for (std::size_t n = 0; n < servers; ++n) {
        load += servers_[n].present ? load_of(it, n) : 0;
        present += servers_[n].present ? 1 : 0;
    }
    return load / static_cast<double>(slots * present);
}

void even_load_simulation::update_shares(daemon_model& it)
{
    const steady_time now{milliseconds(now_)};
    const double mean = mean_utilization(it);
    for (std::size_t n = 0; n < servers; ++n) {
        if (reports_delivered_) {
            it.shares[n].record({load_of(it, n) / slots, mean}, now);
        }
        else {
            it.shares[n].record_absence(now);
        }
    }
}

void even_load_simulation::dispatch_waiting(daemon_model& it)
{
    std::erase_if(it.waiting, [&](const pending_request& waiting) {
        const bool sent = dispatch(it, waiting);
        const bool ended = sent || now_ - waiting.arrived >= max_wait_ms;
        late_ += ended && now_ - waiting.arrived > late_ms ? 1 : 0;
        return ended;
    });
}

void even_load_simulation::place(daemon_model& it, const pending_request& request,
                                 std::vector<backend_option>& options)
{
    const auto utilization = [&](const backend_option& option) {
        return option.load / option.slots;
    };
    if (setup_.how == placement::two_choices && utilization(options[1]) < utilization(options[0])) {
        std::swap(options[0], options[1]);
    }
    if (setup_.how == placement::shedding) {
        const double threshold = std::max(1.05 * mean_utilization(it), 0.4);
        options[0].excluded = uniform_(random_) * utilization(options[0]) > threshold;
    }
    if (setup_.how == placement::kept) {
        std::size_t n = 0;
        double position = request.position;
        for (; n < max_passed_over; ++n) {
            const auto& share = it.shares[index_[options[n].id]];
            const double object = unit_position(options[n].id, objects_[request.object]);
            if (share.keeps(object, position)) {
                break;
            }
            position = share.divides(object) ? 0.5 : position;
        }
        for (std::size_t passed = 0; n < max_passed_over && passed < n; ++passed) {
            options[passed].excluded = true;
        }
    }
}

bool even_load_simulation::dispatch(daemon_model& it, const pending_request& request)
{
    std::vector<ranked_tier> tiers(1);
    tiers[0].spread = 2;
    for (const auto key : ranking_.first(objects_[request.object])) {
        const auto n = index_[key];
        backend_option option;
        option.id = key;
        option.slots = slots;
        option.load = load_of(it, n);
        option.full = it.own[n] >= it.limit[n];
        tiers[0].options.push_back(option);
    }
    place(it, request, tiers[0].options);
    const double first = it.waiting.empty() ? 1.0 : max_utilization;
    const auto* chosen = choose_ranked(tiers, {first, second_choice_utilization, 0.25});
    if (chosen == nullptr) {
        return false;
    }
    const auto n = index_[chosen->id];
    auto& to = servers_[n];
    ++it.own[n];
    to.popular_requests += request.object == 0 ? 1 : 0;
    if (to.running.size() < slots) {
        start(to, request);
    }
    else {
        ++above_slots_;
        to.waiting.push_back(request);
    }
    return true;
}

std::size_t even_load_simulation::busiest() const
{
    const auto it =
        std::max_element(servers_.begin(), servers_.end(), [](const auto& lhs, const auto& rhs) {
            return lhs.load_sum < rhs.load_sum;
        });
    return static_cast<std::size_t>(it - servers_.begin());
}

double even_load_simulation::utilization(std::size_t server) const
{
    return servers_[server].load_sum / static_cast<double>(steps_) / slots;
}

even_load_result even_load_simulation::measure(int ms)
{
    for (auto& it : servers_) {
        it.load_sum = 0;
        it.popular_requests = 0;
    }
    steps_ = 0;
    requests_ = cold_ = above_slots_ = late_ = 0;
    std::vector<double> low(servers, 1);
    std::vector<double> high(servers, 0);
    for (int end = now_ + ms; now_ < end;) {
        run(share_interval_ms);
        for (std::size_t n = 0; n < servers; ++n) {
            low[n] = std::min(low[n], share(0, n));
            high[n] = std::max(high[n], share(0, n));
        }
    }
    even_load_result it;
    const auto popular =
        std::accumulate(servers_.begin(), servers_.end(), std::size_t{0},
                        [](auto sum, const auto& to) { return sum + to.popular_requests; });
    double present = 0;
    double squares = 0;
    for (std::size_t n = 0; n < servers; ++n) {
        it.share_range += (high[n] - low[n]) / servers;
        it.disagreement += std::abs(share(0, n) - share(daemons_.size() - 1, n)) / servers;
        it.popular_holders += 10 * servers_[n].popular_requests > popular ? 1 : 0;
        if (servers_[n].present) {
            ++present;
            it.busiest = std::max(it.busiest, utilization(n));
            it.utilization += utilization(n);
            squares += utilization(n) * utilization(n);
        }
    }
    it.utilization /= present;
    it.busiest /= it.utilization;
    it.variation =
        std::sqrt(std::max(0.0, squares / present / (it.utilization * it.utilization) - 1));
    const auto share_of = [&](std::size_t count) {
        return static_cast<double>(count) /
               static_cast<double>(std::max<std::size_t>(requests_, 1));
    };
    it.cold = share_of(cold_);
    it.above_slots = share_of(above_slots_);
    it.late = share_of(late_);
    return it;
}

} // namespace toucan::policy
