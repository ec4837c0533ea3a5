#include "peer_exchange.h"

#include "event_log.h"

#include "toucan/base/last_reason.h"
#include "toucan/base/stable_hash.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace toucan::edge {

namespace {

constexpr milliseconds report_interval{50};
/// Report intervals per report to other regions, while this region is full and otherwise. Traffic
/// between regions costs more, so less is sent while there is spare capacity.
constexpr std::uint64_t cross_region_report_ticks = 2;
constexpr std::uint64_t cross_region_report_ticks_with_room = 8;
/// Report intervals per report that includes the status of other daemons.
constexpr std::uint64_t member_status_ticks = 6;
/// Report intervals per report that includes the rate limits of servers. They change rarely; every
/// report to other regions in quiet times includes them.
constexpr std::uint64_t rate_limit_ticks = cross_region_report_ticks_with_room;
/// Report intervals per report that includes the requests of workspaces, while a quota is largely
/// used up and otherwise. What the daemons do not know of each other can exceed a quota.
constexpr std::uint64_t workspace_ticks = 2;
constexpr std::uint64_t workspace_ticks_with_room = 4;
/// Silence after which a relay counts as replaced once another daemon reports for its failure
/// domain: longer than its report interval, and shorter than the time to choose a new relay.
constexpr milliseconds replaced_relay_silence{3 * report_interval};
constexpr milliseconds replaced_relay_silence_across_regions{
    (cross_region_report_ticks_with_room + 1) * report_interval};
/// Age at which a reported load expires.
constexpr milliseconds load_lifetime{900};
/// Sent reports kept, to subtract this daemon's load from the total that the relay returns.
constexpr std::size_t max_sent_reports = 20;
constexpr std::size_t max_datagram_bytes = 65536;
/// Index of the operator's table in `peer_exchange::events::tables`.
constexpr std::size_t operator_table_index = 0;

} // namespace

peer_exchange::peer_exchange(asio::io_context& loop, const clock& time,
                             const settings& daemon_settings, fleet& fleet, std::int64_t run,
                             events hooks)
    : time_(time), settings_(daemon_settings), local_id_(stable_hash(daemon_settings.name)),
      fleet_(fleet), run_(run), hooks_(std::move(hooks)), socket_(loop), timer_(loop),
      buf_(max_datagram_bytes, '\0'), peers_(time), relays_({local_id_, daemon_settings.capacity})
{
}

bool peer_exchange::start()
{
    error_code ec;
    socket_.open(udp::v4(), ec);
    if (!ec) {
        socket_.bind(udp_endpoint(settings_.peers), ec);
    }
    if (ec) {
        fail("cannot bind UDP address " + settings_.peers.to_string() + ": " + ec.message());
        return false;
    }
    socket_.non_blocking(true, ec);
    receive();
    tick();
    return true;
}

void peer_exchange::add(const member_record& it, bool assumed_ready)
{
    if (it.name == settings_.name || !peers_.add(it, assumed_ready)) {
        return;
    }
    const auto id = stable_hash(it.name);
    reporters_.erase(id);
    other_domains_.erase(id);
    if (it.failure_domain == settings_.failure_domain) {
        relays_.add({id, it.capacity});
    }
}

void peer_exchange::remove(const std::string& name)
{
    const auto id = stable_hash(name);
    peers_.remove(name);
    relays_.remove(id);
    reporters_.erase(id);
    other_domains_.erase(id);
}

void peer_exchange::receive()
{
    socket_.async_receive_from(asio::buffer(buf_), sender_, [this](error_code ec, std::size_t n) {
        if (ec == asio::error::operation_aborted) {
            return;
        }
        if (!ec) {
            try {
                handle_datagram(std::string_view(buf_).substr(0, n));
            }
            catch (const std::exception& ex) {
                log_event("datagram_failed", "from={} reason=\"{}\"", sender_.address().to_string(),
                          ex.what());
            }
        }
        receive();
    });
}

void peer_exchange::handle_datagram(std::string_view bytes)
{
    const auto it = decode_peer_report(bytes);
    if (!it) {
        log_request_event("bad_datagram", "from={} reason=\"{}\"", sender_.address().to_string(),
                          last_reason());
        return;
    }
    auto* from = peers_.find(it->sender);
    if (from == nullptr || !from->is_newer(it->run, it->number)) {
        return;
    }
    from->run = it->run;
    from->number = it->number;
    const bool changed = peers_.record_report(*from, it->ready);
    relays_.record_reply(it->sender, time_.now());
    for (const auto& status : it->members) {
        peers_.merge_status(status);
    }
    merge_store_view(it->store);
    for (const auto& limit : it->rate_limits) {
        fleet_.apply_reported_rate_limit(limit);
    }
    switch (it->kind) {
    case report_kind::up:
        handle_up(*it);
        break;
    case report_kind::down:
        handle_down(*it);
        break;
    case report_kind::across:
        handle_across(*it, bytes);
        break;
    case report_kind::probe:
        send(it->sender, encode(new_report(report_kind::down)));
        break;
    }
    if (changed && !reporters_.empty()) {
        report_now();
    }
}

peer_exchange::contribution peer_exchange::make_contribution(const peer_report& it,
                                                             const contributions& previous)
{
    contribution made{it.load, time_.now(), it.number};
    if (it.has_workspaces) {
        workspaces_received_ = true;
    }
    else if (const auto last = previous.find(it.sender); last != previous.end()) {
        made.load.set_workspaces(last->second.load);
    }
    return made;
}

void peer_exchange::handle_up(const peer_report& it)
{
    reporters_[it.sender] = make_contribution(it, reporters_);
}

void peer_exchange::handle_down(const peer_report& it)
{
    if (it.sender != relay_) {
        return;
    }
    const auto mark =
        std::find_if(it.contained.begin(), it.contained.end(),
                     [&](const report_mark& each) { return each.member == local_id_; });
    auto load = it.load;
    bool has_workspaces = it.has_workspaces;
    if (mark != it.contained.end()) {
        const auto reported =
            std::find_if(sent_reports_.begin(), sent_reports_.end(),
                         [&](const auto& each) { return each.first == mark->number; });
        if (reported != sent_reports_.end()) {
            load -= reported->second;
        }
        else {
            // This daemon's own requests would count as those of others.
            has_workspaces = false;
        }
    }
    if (has_workspaces) {
        workspaces_received_ = true;
    }
    else {
        load.set_workspaces(relay_load_ ? relay_load_->load : policy::load_summary{});
    }
    relay_load_ = contribution{std::move(load), time_.now(), it.number};
    update_peer_loads();
}

void peer_exchange::handle_across(const peer_report& it, std::string_view bytes)
{
    if (relay_) {
        // The sender does not know which daemon is the relay of this failure domain until it
        // receives the relay's next report.
        send(*relay_, std::string(bytes));
        return;
    }
    other_domains_[it.sender] = make_contribution(it, other_domains_);
    forget_replaced_relay(it.sender);
}

void peer_exchange::forget_replaced_relay(member_id current)
{
    const auto* by = peers_.find(current);
    if (by == nullptr) {
        return;
    }
    const auto longest = by->member.region == settings_.region
                             ? replaced_relay_silence
                             : replaced_relay_silence_across_regions;
    for (auto& [id, it] : other_domains_) {
        const auto* from = peers_.find(id);
        if (id != current && from != nullptr &&
            from->member.failure_domain == by->member.failure_domain &&
            time_.now() - it.received > longest) {
            it.load.set_workspaces({});
        }
    }
}

void peer_exchange::merge_store_view(const store_view& it)
{
    const auto now = time_.now();
    std::vector<table_state> tables;
    for (const auto& reported : it.tables) {
        const bool confirmed = reported.store_time > milliseconds(0);
        tables.push_back({reported.newest_row, reported.store_time,
                          confirmed ? std::optional(now) : std::nullopt, reported.era});
    }
    merge_tables(tables);
    merge_evacuations(it.evacuated_at, it.evacuated);
}

void peer_exchange::merge_tables(const std::vector<table_state>& it)
{
    tables_.resize(std::max(tables_.size(), it.size()));
    for (std::size_t n = 0; n < it.size(); ++n) {
        merge_state(tables_[n], it[n]);
    }
}

void peer_exchange::merge_evacuations(store_position at,
                                      const std::vector<std::uint32_t>& evacuated)
{
    if (at > evacuated_at_) {
        evacuated_at_ = at;
        evacuated_ = evacuated;
    }
}

store_view peer_exchange::newest_store_view()
{
    const auto local = hooks_.tables();
    merge_tables(local);
    if (!local.empty()) {
        merge_evacuations(local[operator_table_index].position(), fleet_.operator_evacuated_ids());
    }
    store_view it;
    for (const auto& table : tables_) {
        it.tables.push_back({table.newest_row, table.store_time, table.era});
    }
    it.evacuated_at = evacuated_at_;
    it.evacuated = evacuated_;
    return it;
}

void peer_exchange::tick()
{
    // Armed first, so that an unexpected error does not end the reports.
    timer_.expires_after(report_interval);
    timer_.async_wait([this](error_code ec) {
        if (!ec) {
            tick();
        }
    });
    ++ticks_;
    remove_expired();
    choose_relay();
    if (!relay_load_) {
        update_peer_loads();
    }
    const bool frequent = hooks_.region_overloaded() || hooks_.quota_pressure();
    const auto report_ticks =
        frequent ? cross_region_report_ticks : cross_region_report_ticks_with_room;
    send_reports(ticks_ % report_ticks == 0);
    send_probes();
}

void peer_exchange::remove_expired()
{
    const auto now = time_.now();
    for (auto* all : {&reporters_, &other_domains_}) {
        absl::erase_if(*all, [&](const auto& it) {
            const bool expired = now - it.second.received > load_lifetime;
            if (const auto* from = expired ? peers_.find(it.first) : nullptr) {
                log_event("peer_silent", "name={}", from->member.name);
            }
            return expired;
        });
    }
    if (relay_load_ && now - relay_load_->received > load_lifetime) {
        relay_load_.reset();
    }
}

void peer_exchange::choose_relay()
{
    const auto chosen = relays_.relay(time_.now());
    if (chosen == relay_) {
        return;
    }
    // Reports with zero load replace the previous ones, whose load would otherwise be counted twice
    // once another daemon reports it too.
    const auto send_empty = [&](member_id to, report_kind kind) {
        auto report = new_report(kind);
        report.has_workspaces = true;
        send(to, encode(report));
    };
    if (relay_) {
        send_empty(*relay_, report_kind::up);
    }
    else {
        for (const auto& [id, it] : other_domains_) {
            send_empty(id, report_kind::across);
        }
    }
    const auto* to = chosen ? peers_.find(*chosen) : nullptr;
    log_event("relay", "name={} reporters={}", to == nullptr ? settings_.name : to->member.name,
              reporters_.size());
    relay_ = chosen;
    relay_load_.reset();
    sent_reports_.clear();
    sent_workspaces_ = {};
    relay_changed_ = true;
    other_domains_.clear();
}

peer_report peer_exchange::new_report(report_kind kind)
{
    peer_report it;
    it.kind = kind;
    it.sender = local_id_;
    it.run = run_;
    it.number = ++last_number_;
    it.ready = hooks_.ready();
    if (ticks_ % rate_limit_ticks == 0) {
        it.rate_limits = fleet_.rate_limits();
    }
    it.store = newest_store_view();
    return it;
}

policy::load_summary peer_exchange::local_load() const
{
    policy::load_summary sum;
    for (const auto& it : fleet_.loaded()) {
        sum.add_backend(it->id, {it->local_load, 1});
    }
    const auto now = time_.now();
    for (const auto& it : fleet_.rate_limited()) {
        if (const auto count = it->rate.local(now); count != policy::request_count{}) {
            sum.add_requests(it->id, count);
        }
    }
    const auto region = short_hash(settings_.region.text());
    for (const auto& it : hooks_.demands()) {
        sum.add_demand({region, it.service}, it.slots);
    }
    return sum;
}

bool peer_exchange::workspaces_due() const
{
    return relay_changed_ ||
           ticks_ % (hooks_.quota_pressure() ? workspace_ticks : workspace_ticks_with_room) == 0;
}

void peer_exchange::send_reports(bool include_other_regions)
{
    if (workspaces_due()) {
        local_workspaces_ = hooks_.workspaces();
    }
    auto sum = local_load();
    sum += local_workspaces_;
    sum += sum_of(reporters_);
    if (relay_) {
        auto report = new_report(report_kind::up);
        report.load = sum;
        report.has_workspaces = workspaces_due();
        if (report.has_workspaces) {
            sent_workspaces_.set_workspaces(sum);
        }
        sum.set_workspaces(sent_workspaces_);
        report.members = reporter_statuses();
        send(*relay_, encode(report));
        relays_.record_sent(*relay_, time_.now());
        sent_reports_.emplace_back(report.number, sum);
        if (sent_reports_.size() > max_sent_reports) {
            sent_reports_.pop_front();
        }
    }
    else {
        send_across(sum, include_other_regions);
    }
    if (!reporters_.empty()) {
        sum += non_reporter_load();
        send_down(sum);
    }
    relay_changed_ = false;
}

std::vector<member_status> peer_exchange::reporter_statuses()
{
    std::vector<member_status> statuses;
    if (ticks_ % member_status_ticks == 0) {
        for (const auto& [id, it] : reporters_) {
            if (const auto* from = peers_.find(id)) {
                statuses.push_back(peers_.status_of(id, *from));
            }
        }
    }
    return statuses;
}

void peer_exchange::send_down(const policy::load_summary& all)
{
    auto report = new_report(report_kind::down);
    report.load = all;
    report.has_workspaces = workspaces_due();
    if (ticks_ % member_status_ticks == 0) {
        report.members = peers_.recent_statuses();
    }
    for (const auto& [id, it] : reporters_) {
        report.contained.push_back({id, it.number});
    }
    const auto bytes = encode(report);
    for (const auto& [id, it] : reporters_) {
        send(id, bytes);
    }
}

void peer_exchange::send_across(const policy::load_summary& sum, bool include_other_regions)
{
    auto report = new_report(report_kind::across);
    report.load = sum;
    report.has_workspaces = workspaces_due();
    report.members = reporter_statuses();
    const auto bytes = encode(report);
    for (const auto& [domain, candidates] : peers_.domains()) {
        const auto region = settings_.regions.find(domain);
        const bool same_region =
            region != settings_.regions.end() && region->second == settings_.region;
        if (domain == settings_.failure_domain || !(same_region || include_other_regions)) {
            continue;
        }
        for (const auto id : receivers_in(domain, candidates)) {
            send(id, bytes);
        }
    }
}

std::vector<member_id>
peer_exchange::receivers_in(const failure_domain_name& domain,
                            const std::vector<policy::relay_candidate>& candidates)
{
    std::vector<member_id> relays;
    for (const auto& [id, it] : other_domains_) {
        const auto* from = peers_.find(id);
        if (from != nullptr && from->member.failure_domain == domain) {
            relays.push_back(id);
        }
    }
    if (relays.empty()) {
        // Tries the candidates in turn, the first one every second time, until a live daemon
        // receives the report and forwards it to its relay.
        const auto turn = ticks_ % (2 * candidates.size());
        relays.push_back(candidates[turn % 2 == 0 ? 0 : turn / 2].id);
    }
    return relays;
}

void peer_exchange::send_probes()
{
    for (const auto id : relays_.due_probes(time_.now())) {
        if (id != relay_) {
            send(id, encode(new_report(report_kind::probe)));
            relays_.record_sent(id, time_.now());
        }
    }
}

void peer_exchange::send(member_id to, const std::string& bytes)
{
    if (const auto* it = peers_.find(to)) {
        ++datagrams_sent_;
        // A send error is treated like a lost datagram: the next report replaces it.
        error_code ec;
        socket_.send_to(asio::buffer(bytes), udp_endpoint(it->member.peers), 0, ec);
    }
}

policy::load_summary peer_exchange::non_reporter_load() const
{
    auto sum = sum_of(other_domains_);
    if (relay_load_) {
        sum += relay_load_->load;
    }
    return sum;
}

policy::load_summary peer_exchange::sum_of(const contributions& all)
{
    policy::load_summary sum;
    for (const auto& [id, it] : all) {
        sum += it.load;
    }
    return sum;
}

void peer_exchange::update_peer_loads()
{
    peer_load_ = non_reporter_load();
    peer_load_ += sum_of(reporters_);
    if (informed_of_peers()) {
        fleet_.set_peer_requests(peer_load_);
        if (std::exchange(workspaces_received_, false)) {
            hooks_.peer_workspaces(peer_load_);
        }
    }
    if (fleet_.set_peer_loads(peer_load_, newest_load_received())) {
        hooks_.peer_load_decreased();
    }
}

steady_time peer_exchange::newest_load_received() const
{
    auto newest = relay_load_ ? relay_load_->received : steady_time();
    for (const auto* all : {&reporters_, &other_domains_}) {
        for (const auto& [id, it] : *all) {
            newest = std::max(newest, it.received);
        }
    }
    return newest;
}

bool peer_exchange::informed_of_peers() const
{
    if (relay_) {
        return relay_load_.has_value();
    }
    return !reporters_.empty() || !other_domains_.empty() || peers_.empty();
}

table_state peer_exchange::table(std::size_t table) const
{
    return table < tables_.size() ? tables_[table] : table_state{};
}

std::vector<std::uint32_t> peer_exchange::newer_evacuations() const
{
    const auto local = hooks_.tables();
    const bool behind = !local.empty() && evacuated_at_ > local[operator_table_index].position();
    return behind ? evacuated_ : std::vector<std::uint32_t>{};
}

std::optional<vm_address> peer_exchange::relay_address() const
{
    const auto* relay = relay_ && relay_load_ ? peers_.find(*relay_) : nullptr;
    return relay == nullptr ? std::nullopt : std::optional(relay->member.peers);
}

std::vector<vm_address> peer_exchange::other_relay_addresses() const
{
    std::vector<vm_address> in_region;
    std::vector<vm_address> elsewhere;
    for (const auto& [id, it] : other_domains_) {
        if (const auto* from = peers_.find(id)) {
            auto& to = from->member.region == settings_.region ? in_region : elsewhere;
            to.push_back(from->member.peers);
        }
    }
    in_region.insert(in_region.end(), elsewhere.begin(), elsewhere.end());
    return in_region;
}

bool peer_exchange::first_relay_in_region() const
{
    return !relay_ &&
           std::none_of(other_domains_.begin(), other_domains_.end(), [&](const auto& it) {
               const auto* from = peers_.find(it.first);
               return it.first < local_id_ && from != nullptr &&
                      from->member.region == settings_.region;
           });
}

bool peer_exchange::first_relay_overall() const
{
    return !relay_ && !other_domains_.empty() &&
           std::none_of(other_domains_.begin(), other_domains_.end(),
                        [&](const auto& it) { return it.first < local_id_; });
}

double peer_exchange::demand(const region_name& region, std::uint32_t service) const
{
    return peer_load_.demand({short_hash(region.text()), service});
}

} // namespace toucan::edge
