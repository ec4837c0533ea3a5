#include "fleet.h"

#include "event_log.h"
#include "tunables.h"

#include "toucan/base/stable_hash.h"
#include "toucan/policy/load_share.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace toucan::edge {

namespace {

/// Lower local loads are rounding residues.
constexpr double min_load_slots = 1e-3;
/// Time for which a limit that rests on a stated load is kept.
constexpr milliseconds stated_limit_lifetime{100};
/// Value of `backend_server::limit_round` that no round has.
constexpr auto no_round = std::numeric_limits<std::uint64_t>::max();
/// Time that a report may take, with the rounding of its ages. A reported age that is too high only
/// delays news; one that is too low lets an ended limit pass for a newer one.
constexpr milliseconds max_report_delay{150};
/// Age at which a limit that other daemons have reported no longer counts. A server in use answers
/// far more often, so a limit of this age is one that nobody has heard of since.
constexpr milliseconds rate_limit_lifetime{20000};
/// Age of the last reports from which on servers get their objects back.
constexpr milliseconds load_report_lifetime{1000};
/// Shortest time between two events of a server that gives objects away, and the share from which
/// on it counts as one that does.
constexpr milliseconds giving_log_interval{10000};
constexpr double giving_share = 0.95;

/// Load and slots of the servers of a region.
struct region_use {
    double load = 0;
    double slots = 0;
};

} // namespace

fleet::fleet(asio::io_context& loop, const clock& time, const settings& daemon_settings,
             std::shared_ptr<byte_budget> memory)
    : loop_(loop), time_(time), settings_(daemon_settings), memory_(std::move(memory))
{
}

void fleet::apply(const backend_record& record)
{
    auto& entry = servers_[record.name];
    const bool restarted = entry && (entry->record.started_ms != record.started_ms ||
                                     entry->record.address != record.address ||
                                     entry->record.service != record.service ||
                                     entry->record.failure_domain != record.failure_domain);
    const bool created = !entry || restarted;
    if (created) {
        if (entry) {
            entry->removed = true;
            close_connections(*entry);
            remove_from_indexes(entry);
        }
        entry = std::make_shared<backend_server>();
        entry->key = stable_hash(record.name.text());
        entry->id = short_hash(record.name.text());
        entry->local_load_limit = record.slots;
        entry->limit_round = limit_round_;
    }
    auto& it = *entry;
    const bool changed = it.record != record || it.removed;
    it.record = record;
    it.domain_id = short_hash(record.failure_domain.text());
    it.removed = false;
    it.lapsed = false;
    const auto region = settings_.regions.find(record.failure_domain);
    it.region = region == settings_.regions.end() ? region_name() : region->second;
    it.in_local_region = it.region == settings_.region;
    if (record.cold_remaining > milliseconds(0)) {
        it.cold_until = std::max(it.cold_until, time_.now() + record.cold_remaining);
    }
    if (it.leaving()) {
        close_connections(it);
    }
    if (created) {
        add_to_indexes(entry);
        update_address_holder(entry);
    }
    if (changed) {
        log_event("backend",
                  "name={} service={} address={} domain={} slots={} leaving={} "
                  "cold_ms={} restarted={}",
                  record.name.text(), record.service.text(), record.address.to_string(),
                  record.failure_domain.text(), record.slots, record.leaving,
                  record.cold_remaining.count(), restarted);
    }
}

void fleet::set_lapsed(const backend_server_name& name)
{
    if (const auto it = servers_.find(name); it != servers_.end()) {
        it->second->lapsed = true;
    }
}

void fleet::remove(const backend_server_name& name)
{
    const auto it = servers_.find(name);
    if (it == servers_.end()) {
        return;
    }
    it->second->removed = true;
    close_connections(*it->second);
    remove_from_indexes(it->second);
    servers_.erase(it);
    log_event("backend_removed", "name={}", name.text());
}

void fleet::add_to_indexes(const server& it)
{
    auto& service = by_service_[it->record.service];
    service.all.push_back(it);
    service.by_region[it->region].add(it->key);
    by_key_[it->key] = it;
    by_id_[it->id] = it;
}

void fleet::update_address_holder(const server& it)
{
    auto& holder = by_address_[it->record.address.to_string()];
    const auto other = holder.lock();
    if (other == nullptr || other->removed) {
        holder = it;
        return;
    }
    if (it->record.started_ms == 0 || other->record.started_ms == 0) {
        return; // Not known which one has started last.
    }
    const bool later = it->record.started_ms > other->record.started_ms;
    const auto& ended = later ? other : it;
    const auto& present = later ? it : other;
    ended->successor = present;
    holder = present;
    log_event("address_reused", "address={} name={} domain={} ended={} ended_domain={}",
              it->record.address.to_string(), present->record.name.text(),
              present->record.failure_domain.text(), ended->record.name.text(),
              ended->record.failure_domain.text());
}

void fleet::remove_from_indexes(const server& it)
{
    auto& service = by_service_[it->record.service];
    std::erase(service.all, it);
    service.by_region[it->region].remove(it->key);
    by_key_.erase(it->key);
    rate_limited_.erase(it);
    backing_off_.erase(it);
    if (const auto held = by_address_.find(it->record.address.to_string());
        held != by_address_.end() && held->second.lock() == it) {
        by_address_.erase(held);
    }
    // Another server whose name has the same short hash may have replaced the entry.
    if (const auto found = by_id_.find(it->id); found != by_id_.end() && found->second == it) {
        by_id_.erase(found);
    }
}

void fleet::set_config(std::shared_ptr<const routing_config> config)
{
    config_ = std::move(config);
    ++cold_round_;
}

void fleet::update_cold_limit(backend_server& it) const
{
    if (it.cold_round == cold_round_) {
        return;
    }
    it.cold_round = cold_round_;
    const auto* service = config_ ? config_->service(it.record.service) : nullptr;
    const double rate = service == nullptr ? 0 : service->cold_rate_per_s;
    it.cold.configure({rate, settings_.limits.cold_factor, settings_.limits.cold_slack},
                      std::max<std::size_t>(daemons_.size(), 1), cold_limit_rank(it));
}

std::size_t fleet::cold_limit_rank(const backend_server& it) const
{
    const auto& region = it.region;
    // Daemons of the server's region rank first because they send most of its requests.
    const auto key = [&](const std::string& name, const region_name& daemon_region) {
        return std::make_pair(daemon_region != region, stable_hash(name, it.id));
    };
    const auto own = key(settings_.name, settings_.region);
    return static_cast<std::size_t>(
        std::count_if(daemons_.begin(), daemons_.end(), [&](const daemon_location& other) {
            return other.name != settings_.name && key(other.name, other.region) < own;
        }));
}

void fleet::set_evacuated(const failure_domain_name& domain, bool evacuated)
{
    if (evacuated) {
        operator_evacuated_.insert(short_hash(domain.text()));
    }
    else {
        operator_evacuated_.erase(short_hash(domain.text()));
    }
    update_evacuated();
}

void fleet::set_reported_evacuations(const std::vector<std::uint32_t>& domains)
{
    absl::flat_hash_set<std::uint32_t> reported(domains.begin(), domains.end());
    if (reported == reported_evacuated_) {
        return;
    }
    log_event("evacuations_reported", "count={} before={}", reported.size(),
              reported_evacuated_.size());
    reported_evacuated_ = std::move(reported);
    update_evacuated();
}

void fleet::update_evacuated()
{
    auto now_evacuated = operator_evacuated_;
    now_evacuated.insert(reported_evacuated_.begin(), reported_evacuated_.end());
    for (const auto& [name, it] : servers_) {
        // The caches of an evacuated server are cold when it receives requests again.
        if (evacuated_.contains(it->domain_id) && !now_evacuated.contains(it->domain_id)) {
            mark_cold(*it);
        }
    }
    evacuated_ = std::move(now_evacuated);
}

void fleet::mark_cold(backend_server& it) const
{
    const auto* service = config_ ? config_->service(it.record.service) : nullptr;
    const auto cold = service == nullptr ? tunables::default_cold_duration : service->cold_start;
    it.cold_until = std::max(it.cold_until, time_.now() + cold);
}

std::vector<std::uint32_t> fleet::operator_evacuated_ids() const
{
    return {operator_evacuated_.begin(), operator_evacuated_.end()};
}

void fleet::set_daemons(std::vector<daemon_location> daemons)
{
    if (daemons == daemons_) {
        return;
    }
    daemons_ = std::move(daemons);
    ++cold_round_;
}

const std::vector<fleet::server>& fleet::of(const service_name& service) const
{
    static const std::vector<server> no_servers;
    const auto it = by_service_.find(service);
    return it == by_service_.end() ? no_servers : it->second.all;
}

policy::server_ranking* fleet::ranking(const service_name& service, const region_name& region)
{
    const auto it = by_service_.find(service);
    if (it == by_service_.end()) {
        return nullptr;
    }
    const auto found = it->second.by_region.find(region);
    return found == it->second.by_region.end() || found->second.size() == 0 ? nullptr
                                                                            : &found->second;
}

fleet::server fleet::find(std::uint32_t id) const
{
    const auto it = by_id_.find(id);
    return it == by_id_.end() ? nullptr : it->second;
}

fleet::server fleet::find_key(std::uint64_t key) const
{
    const auto it = by_key_.find(key);
    return it == by_key_.end() ? nullptr : it->second;
}

bool fleet::within_rate(backend_server& it, steady_time now)
{
    return !it.rate.limit() || it.rate.allows(now, absl::Uniform(random_, 0.0, 1.0));
}

double fleet::return_share(const backend_server& it) const
{
    const auto since = time_.now() - it.back_off_until;
    return std::clamp(since / std::chrono::duration<double>(tunables::return_time),
                      tunables::min_return_share, 1.0);
}

bool fleet::full(backend_server& it)
{
    if (open_connections_ >= max_connections_ && it.idle.empty()) {
        return true;
    }
    const auto now = time_.now();
    if (it.limit_round != limit_round_ || now >= it.limit_expires) {
        it.limit_round = limit_round_;
        // The weight of a stated load falls with time, also without new reports.
        it.limit_expires =
            it.estimate.stated(now) ? now + stated_limit_lifetime : steady_time::max();
        policy::server_load load;
        load.local = it.local_load;
        load.total = this->load(it);
        load.bound = tunables::max_utilization * it.record.slots * return_share(it);
        load.sharers = std::max(it.sharers, tunables::min_assumed_sharers);
        it.local_load_limit = policy::local_load_limit(load, absl::Uniform(random_, 0.0, 1.0));
    }
    return it.local_load >= it.local_load_limit;
}

double fleet::load(const backend_server& it) const
{
    return it.local_load + it.estimate.others(peers_of(it), time_.now());
}

std::optional<std::chrono::nanoseconds> fleet::load_age(const backend_server& it) const
{
    return it.estimate.age(peers_of(it), time_.now());
}

std::optional<double> fleet::record_load(const server& from, const policy::reported_load& it,
                                         steady_time sent, bool ran)
{
    const auto now = time_.now();
    const double expected = from->estimate.others(peers_of(*from), now);
    const auto stated = from->estimate.record(it, sent, ran, from->round_trip, now);
    if (!stated) {
        return std::nullopt;
    }
    from->limit_round = no_round;
    return std::abs(expected - *stated);
}

void fleet::add_load(const server& to, double slots, steady_time sent)
{
    to->estimate.add_request(sent);
    to->local_load += slots;
    loaded_.insert(to);
}

void fleet::remove_load(const server& to, double slots, steady_time sent)
{
    to->estimate.remove_request(sent);
    to->local_load -= slots;
    // A sum of fractions does not return to zero exactly.
    if (to->local_load < min_load_slots) {
        to->local_load = 0;
        loaded_.erase(to);
    }
}

bool fleet::set_peer_loads(const policy::load_summary& load, steady_time received)
{
    ++limit_round_;
    peer_loads_received_ = received;
    bool decreased = false;
    for (const auto& it : std::exchange(peer_loaded_, {})) {
        const auto use = load.backend(it->id);
        decreased = decreased || use.slots < it->peer_load;
        it->peer_load = use.slots;
        it->sharers = use.daemons + 1;
    }
    for (const auto& [id, use] : load.backends()) {
        if (const auto it = find(id)) {
            it->peer_load = use.slots;
            it->sharers = use.daemons + 1;
            peer_loaded_.push_back(it);
        }
    }
    return decreased;
}

void fleet::record_notice(const server& from, const server_notice& it, const std::string& request)
{
    for (const auto& name : it.unreadable) {
        log_request_event("notice_unreadable", "name={} id={} header={}", from->record.name.text(),
                          request, name);
    }
    if (it.leaving && !from->leaving()) {
        log_event("backend_leaving", "name={} id={}", from->record.name.text(), request);
        from->announced_leaving = true;
        close_connections(*from);
    }
    if (it.back_off) {
        log_event("back_off", "name={} id={} for_ms={}", from->record.name.text(), request,
                  it.back_off->count());
        from->back_off_until = std::max(from->back_off_until, time_.now() + *it.back_off);
        backing_off_.insert(from);
    }
}

std::chrono::nanoseconds fleet::back_off_left(const backend_server& it) const
{
    return std::max<std::chrono::nanoseconds>(it.back_off_until - time_.now(),
                                              std::chrono::nanoseconds(0));
}

bool fleet::end_back_offs()
{
    const auto now = time_.now();
    return absl::erase_if(backing_off_, [&](const server& it) {
               const bool over = now >= it->back_off_until;
               if (over) {
                   log_event("back_off_over", "name={}", it->record.name.text());
               }
               return over;
           }) > 0;
}

void fleet::record_rate_limit(const server& from, std::optional<double> requests_per_s)
{
    from->rate_limit_known_at = time_.now();
    from->rate_limit_reported = false;
    if (requests_per_s) {
        set_rate_limit(from, *requests_per_s, false);
        return;
    }
    if (rate_limited_.erase(from) > 0) {
        from->rate.clear();
        log_event("rate_limit_ended", "name={}", from->record.name.text());
    }
}

void fleet::apply_reported_rate_limit(const reported_rate_limit& it)
{
    const auto to = find(it.backend);
    const auto age = it.age + max_report_delay;
    const auto known_at = time_.now() - age;
    if (to && age < rate_limit_lifetime && known_at > to->rate_limit_known_at) {
        to->rate_limit_known_at = known_at;
        to->rate_limit_reported = true;
        set_rate_limit(to, it.requests_per_s, true);
    }
}

void fleet::end_old_rate_limits()
{
    const auto now = time_.now();
    absl::erase_if(rate_limited_, [&](const server& it) {
        const bool old =
            it->rate_limit_reported && now - it->rate_limit_known_at >= rate_limit_lifetime;
        if (old) {
            it->rate.clear();
            log_event("rate_limit_expired", "name={}", it->record.name.text());
        }
        return old;
    });
}

void fleet::set_rate_limit(const server& to, double requests_per_s, bool reported)
{
    if (to->rate.limit() != requests_per_s) {
        log_event("rate_limit", "name={} requests_per_s={:.3f} reported={}", to->record.name.text(),
                  requests_per_s, reported);
    }
    to->rate.set_daemons(std::max<std::size_t>(daemons_.size(), 1));
    to->rate.set_limit(requests_per_s, time_.now());
    rate_limited_.insert(to);
}

std::vector<reported_rate_limit> fleet::rate_limits() const
{
    const auto now = time_.now();
    std::vector<reported_rate_limit> all;
    for (const auto& it : rate_limited_) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - it->rate_limit_known_at);
        all.push_back({it->id, *it->rate.limit(), age});
    }
    return all;
}

void fleet::set_peer_requests(const policy::load_summary& load)
{
    const auto now = time_.now();
    informed_at_ = now;
    for (const auto& it : rate_limited_) {
        it->rate.record_peers(load.requests(it->id), now);
    }
}

void fleet::update_kept_shares()
{
    const auto now = time_.now();
    const bool informed = informed_at_ && now - *informed_at_ < load_report_lifetime;
    for (const auto& [service, servers] : by_service_) {
        absl::flat_hash_map<region_name, region_use> regions;
        for (const auto& it : servers.all) {
            if (in_use(*it, now)) {
                auto& region = regions[it->region];
                region.load += it->local_load + it->peer_load;
                region.slots += std::max<std::uint32_t>(it->record.slots, 1);
            }
        }
        for (const auto& it : servers.all) {
            const auto& region = regions[it->region];
            if (informed && region.slots > 0) {
                const auto slots = std::max<std::uint32_t>(it->record.slots, 1);
                it->kept.record(
                    {(it->local_load + it->peer_load) / slots, region.load / region.slots}, now);
            }
            else {
                it->kept.record_absence(now);
            }
            log_giving(*it);
        }
    }
}

void fleet::log_giving(backend_server& it) const
{
    const double share = it.kept.share();
    const bool giving = it.logged_giving ? share < 1 : share < giving_share;
    const auto now = time_.now();
    if (giving == it.logged_giving || now - it.giving_logged_at < giving_log_interval) {
        return;
    }
    it.logged_giving = giving;
    it.giving_logged_at = now;
    log_event(giving ? "objects_given_away" : "objects_kept",
              "name={} kept_share={:.2f} load={:.2f}", it.record.name.text(), share,
              it.local_load + it.peer_load);
}

bool fleet::cold(const backend_server& it) const
{
    return time_.now() < it.cold_until;
}

bool fleet::may_receive(const backend_server& it) const
{
    return !it.removed && !it.replaced() && !it.leaving() && !evacuated_.contains(it.domain_id);
}

bool fleet::in_use(const backend_server& it, steady_time now) const
{
    return may_receive(it) && now >= it.back_off_until &&
           it.health.state(now) != policy::health_state::avoided;
}

bool fleet::available(backend_server& it, steady_time now)
{
    if (!in_use(it, now)) {
        return false;
    }
    if (now >= it.cold_until) {
        return true;
    }
    update_cold_limit(it);
    return it.cold.allows(now);
}

std::shared_ptr<http_connection> fleet::take_connection(const server& to)
{
    to->last_used = time_.now();
    std::shared_ptr<http_connection> taken;
    while (!to->idle.empty() && !taken) {
        auto it = std::move(to->idle.back());
        to->idle.pop_back();
        it->on_idle_close({});
        if (it->reusable()) {
            taken = std::move(it);
            continue;
        }
        count_connections(*to, -1);
        it->abort();
    }
    if (!taken) {
        count_connections(*to, 1);
        ++connections_opened_;
        taken = std::make_shared<http_connection>(loop_, to->record.address, time_, memory_);
    }
    open_spare(to);
    return taken;
}

void fleet::count_connections(backend_server& to, int change)
{
    to.connections += static_cast<std::uint32_t>(change);
    open_connections_ += static_cast<std::size_t>(change);
}

void fleet::open_spare(const server& to)
{
    const bool recent = time_.now() - to->last_used < tunables::spare_connection_window;
    if (!recent || to->removed || to->leaving() || to->opening || !to->idle.empty() ||
        to->round_trip < tunables::min_spare_round_trip || open_connections_ >= max_connections_) {
        return;
    }
    count_connections(*to, 1);
    ++connections_opened_;
    to->opening = std::make_shared<http_connection>(loop_, to->record.address, time_, memory_);
    to->opening->open({tunables::connect_timeout}, to->max_idle,
                      [this, weak = std::weak_ptr(to)](bool connected) {
                          if (const auto it = weak.lock()) {
                              on_spare_opened(it, connected);
                          }
                      });
}

void fleet::on_spare_opened(const server& to, bool connected)
{
    const auto it = std::exchange(to->opening, nullptr);
    if (!connected || to->removed || to->leaving()) {
        count_connections(*to, -1);
        it->abort();
        return;
    }
    keep_idle(to, it);
}

void fleet::return_connection(const server& to, const std::shared_ptr<http_connection>& it)
{
    if (const auto open = it->connect_duration();
        open && (to->round_trip.count() == 0 || *open < to->round_trip)) {
        to->round_trip = *open;
    }
    if (!it->reusable() || to->removed || to->leaving()) {
        count_connections(*to, -1);
        it->abort();
        open_spare(to);
        return;
    }
    to->max_idle = it->max_idle();
    keep_idle(to, it);
}

void fleet::keep_idle(const server& to, const std::shared_ptr<http_connection>& it)
{
    it->on_idle_close([this, weak = std::weak_ptr(to), raw = it.get()] {
        if (const auto owner = weak.lock()) {
            const auto n =
                std::erase_if(owner->idle, [&](const auto& other) { return other.get() == raw; });
            count_connections(*owner, -static_cast<int>(n));
            open_spare(owner);
        }
    });
    to->idle.push_back(it);
}

void fleet::close_connections(backend_server& it)
{
    const auto idle = std::move(it.idle);
    it.idle.clear();
    count_connections(it, -static_cast<int>(idle.size()));
    for (const auto& connection : idle) {
        connection->abort();
    }
    if (const auto opening = std::exchange(it.opening, nullptr)) {
        count_connections(it, -1);
        opening->abort();
    }
}

} // namespace toucan::edge
