#include "peer_exchange.h"

#include "event_log.h"

#include "toucan/base/last_reason.h"
#include "toucan/base/stable_hash.h"

#include <algorithm>
#include <utility>

namespace toucan::edge {

namespace {

constexpr milliseconds report_interval{50};
/// Relays of other regions hear one report in this many, fewer while there is room: traffic
/// between regions is dear.
constexpr std::uint64_t far_report_ticks = 2;
constexpr std::uint64_t far_report_ticks_with_room = 8;
/// One report in this many says which daemons were heard.
constexpr std::uint64_t member_ticks = 6;
/// Loads that were not confirmed for this long no longer count.
constexpr milliseconds load_lifetime{900};
/// Load that is left over from rounding.
constexpr double least_reported_load = 1e-3;
/// Own reports of which the relay's answer may speak.
constexpr std::size_t remembered_reports = 20;
constexpr std::size_t largest_datagram = 65536;
/// Place of the operator's table among the table versions.
constexpr std::size_t operator_table = 0;

} // namespace

peer_exchange::peer_exchange(asio::io_context& loop, const clock& time, const settings& own,
                             fleet& fleet, std::int64_t run, events hooks)
    : time_(time), own_(own), own_id_(stable_hash(own.name)), fleet_(fleet), run_(run),
      hooks_(std::move(hooks)), socket_(loop), timer_(loop), buf_(largest_datagram, '\0'),
      peers_(time), relays_({own_id_, own.capacity})
{
}

bool peer_exchange::start()
{
    error_code ec;
    socket_.open(udp::v4(), ec);
    if (!ec) {
        socket_.bind(udp_endpoint(own_.peers), ec);
    }
    if (ec) {
        fail("cannot bind " + own_.peers.to_string() + ": " + ec.message());
        return false;
    }
    socket_.non_blocking(true, ec);
    receive();
    tick();
    return true;
}

void peer_exchange::add(const member_record& it)
{
    if (it.name == own_.name || !peers_.add(it)) {
        return;
    }
    const auto id = stable_hash(it.name);
    reporters_.erase(id);
    other_domains_.erase(id);
    if (it.failure_domain == own_.failure_domain) {
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
            take(std::string_view(buf_).substr(0, n));
        }
        receive();
    });
}

void peer_exchange::take(std::string_view bytes)
{
    const auto it = decode_peer_report(bytes);
    if (!it) {
        log_request_event("bad_datagram", "from={} reason=\"{}\"", sender_.address().to_string(),
                          last_reason());
        return;
    }
    auto* from = peers_.find(it->sender);
    if (from == nullptr || it->run < from->run ||
        (it->run == from->run && it->number <= from->number)) {
        return;
    }
    from->run = it->run;
    from->number = it->number;
    const bool changed = peers_.heard(*from, it->ready);
    relays_.heard(it->sender, time_.now());
    for (const auto& sign : it->members) {
        peers_.sign(sign);
    }
    learn_store_view(it->store);
    switch (it->kind) {
    case report_kind::up:
        take_up(*it);
        break;
    case report_kind::down:
        take_down(*it);
        break;
    case report_kind::across:
        take_across(*it, bytes);
        break;
    case report_kind::probe:
        send(it->sender, encode(new_report(report_kind::down)));
        break;
    }
    if (changed && !reporters_.empty()) {
        report_now();
    }
}

void peer_exchange::take_up(const peer_report& it)
{
    reporters_[it.sender] = {it.load, time_.now(), it.number};
}

void peer_exchange::take_down(const peer_report& it)
{
    if (it.sender != relay_) {
        return;
    }
    const auto own = std::find_if(it.contained.begin(), it.contained.end(),
                                  [&](const report_mark& mark) { return mark.member == own_id_; });
    auto load = it.load;
    if (own != it.contained.end()) {
        const auto reported =
            std::find_if(reported_.begin(), reported_.end(),
                         [&](const auto& each) { return each.first == own->number; });
        if (reported != reported_.end()) {
            load -= reported->second;
        }
    }
    from_relay_ = contribution{std::move(load), time_.now(), it.number};
    recount_loads();
}

void peer_exchange::take_across(const peer_report& it, std::string_view bytes)
{
    if (relay_) {
        // The sender does not know the relay of this failure domain; it will hear from it.
        send(*relay_, std::string(bytes));
        return;
    }
    other_domains_[it.sender] = {it.load, time_.now(), it.number};
}

void peer_exchange::learn_store_view(const store_view& it)
{
    auto& newest = known_.table_versions;
    newest.resize(std::max(newest.size(), it.table_versions.size()));
    for (std::size_t n = 0; n < it.table_versions.size(); ++n) {
        newest[n] = std::max(newest[n], it.table_versions[n]);
    }
    if (it.evacuated_at > known_.evacuated_at) {
        known_.evacuated_at = it.evacuated_at;
        known_.evacuated = it.evacuated;
    }
}

store_view peer_exchange::own_store_view() const
{
    store_view it;
    it.table_versions = hooks_.table_versions();
    it.evacuated_at = it.table_versions.empty() ? 0 : it.table_versions[operator_table];
    it.evacuated = fleet_.evacuated_ids();
    return it;
}

void peer_exchange::tick()
{
    ++ticks_;
    forget_old();
    choose_relay();
    if (!from_relay_) {
        recount_loads();
    }
    const auto far_ticks = hooks_.full() ? far_report_ticks : far_report_ticks_with_room;
    send_reports(ticks_ % far_ticks == 0);
    send_probes();
    timer_.expires_after(report_interval);
    timer_.async_wait([this](error_code ec) {
        if (!ec) {
            tick();
        }
    });
}

void peer_exchange::forget_old()
{
    const auto now = time_.now();
    for (auto* all : {&reporters_, &other_domains_}) {
        absl::erase_if(*all, [&](const auto& it) {
            const bool old = now - it.second.heard > load_lifetime;
            if (const auto* from = old ? peers_.find(it.first) : nullptr) {
                log_event("peer_silent", "name={}", from->member.name);
            }
            return old;
        });
    }
    if (from_relay_ && now - from_relay_->heard > load_lifetime) {
        from_relay_.reset();
    }
}

void peer_exchange::choose_relay()
{
    const auto chosen = relays_.relay(time_.now());
    if (chosen == relay_) {
        return;
    }
    // What this daemon told so far would be counted twice as soon as others tell it too.
    if (relay_) {
        send(*relay_, encode(new_report(report_kind::up)));
    }
    else {
        for (const auto& [id, it] : other_domains_) {
            send(id, encode(new_report(report_kind::across)));
        }
    }
    const auto* to = chosen ? peers_.find(*chosen) : nullptr;
    log_event("relay", "name={} reporters={}", to == nullptr ? own_.name : to->member.name,
              reporters_.size());
    relay_ = chosen;
    from_relay_.reset();
    reported_.clear();
    other_domains_.clear();
}

peer_report peer_exchange::new_report(report_kind kind)
{
    peer_report it;
    it.kind = kind;
    it.sender = own_id_;
    it.run = run_;
    it.number = ++number_;
    it.ready = hooks_.ready();
    learn_store_view(own_store_view());
    it.store = known_;
    return it;
}

policy::load_summary peer_exchange::own_load() const
{
    policy::load_summary sum;
    for (const auto& [id, it] : fleet_.all()) {
        if (it->own_load > least_reported_load) {
            sum.add_backend(id, {it->own_load, 1});
        }
    }
    const auto region = short_hash(own_.region.text());
    for (const auto& it : hooks_.demands()) {
        sum.add_demand({region, it.service}, it.slots);
    }
    return sum;
}

void peer_exchange::send_reports(bool far_too)
{
    auto sum = own_load();
    sum += sum_of(reporters_);
    if (relay_) {
        auto report = new_report(report_kind::up);
        report.load = sum;
        report.members = reporter_signs();
        send(*relay_, encode(report));
        relays_.asked(*relay_, time_.now());
        reported_.emplace_back(report.number, sum);
        if (reported_.size() > remembered_reports) {
            reported_.pop_front();
        }
    }
    else {
        send_across(sum, far_too);
    }
    if (!reporters_.empty()) {
        sum += load_of_others();
        send_down(sum);
    }
}

std::vector<member_sign> peer_exchange::reporter_signs()
{
    std::vector<member_sign> signs;
    if (ticks_ % member_ticks == 0) {
        for (const auto& [id, it] : reporters_) {
            if (const auto* from = peers_.find(id)) {
                signs.push_back(peers_.sign_of(id, *from));
            }
        }
    }
    return signs;
}

void peer_exchange::send_down(const policy::load_summary& all)
{
    auto report = new_report(report_kind::down);
    report.load = all;
    if (ticks_ % member_ticks == 0) {
        report.members = peers_.signs();
    }
    for (const auto& [id, it] : reporters_) {
        report.contained.push_back({id, it.number});
    }
    const auto bytes = encode(report);
    for (const auto& [id, it] : reporters_) {
        send(id, bytes);
    }
}

void peer_exchange::send_across(const policy::load_summary& sum, bool far_too)
{
    auto report = new_report(report_kind::across);
    report.load = sum;
    report.members = reporter_signs();
    const auto bytes = encode(report);
    for (const auto& [domain, candidates] : peers_.domains()) {
        const auto region = own_.regions.find(domain);
        const bool near = region != own_.regions.end() && region->second == own_.region;
        if (domain == own_.failure_domain || !(near || far_too)) {
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
        // One after the other, so that some daemon that runs is found and passes the report on.
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
            relays_.asked(id, time_.now());
        }
    }
}

void peer_exchange::send(member_id to, const std::string& bytes)
{
    if (const auto* it = peers_.find(to)) {
        ++datagrams_sent_;
        // A datagram that cannot be sent is as good as lost; the next one follows soon.
        error_code ec;
        socket_.send_to(asio::buffer(bytes), udp_endpoint(it->member.peers), 0, ec);
    }
}

policy::load_summary peer_exchange::load_of_others() const
{
    auto sum = sum_of(other_domains_);
    if (from_relay_) {
        sum += from_relay_->load;
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

void peer_exchange::recount_loads()
{
    others_ = load_of_others();
    others_ += sum_of(reporters_);
    bool less = false;
    for (const auto& [id, it] : fleet_.all()) {
        const auto use = others_.backend(id);
        less = less || use.slots < it->peer_load;
        it->peer_load = use.slots;
        it->sharers = use.daemons + 1;
    }
    fleet_.divide_slots();
    if (less) {
        hooks_.loads_changed();
    }
}

std::uint64_t peer_exchange::newest_row(std::size_t table) const
{
    return table < known_.table_versions.size() ? known_.table_versions[table] : 0;
}

std::vector<std::uint32_t> peer_exchange::missed_evacuations() const
{
    const auto own = hooks_.table_versions();
    const bool behind = !own.empty() && known_.evacuated_at > own[operator_table];
    return behind ? known_.evacuated : std::vector<std::uint32_t>{};
}

std::optional<vm_address> peer_exchange::relay_address() const
{
    const auto* relay = relay_ && from_relay_ ? peers_.find(*relay_) : nullptr;
    return relay == nullptr ? std::nullopt : std::optional(relay->member.peers);
}

bool peer_exchange::first_in_region() const
{
    return !relay_ &&
           std::none_of(other_domains_.begin(), other_domains_.end(), [&](const auto& it) {
               const auto* from = peers_.find(it.first);
               return it.first < own_id_ && from != nullptr && from->member.region == own_.region;
           });
}

bool peer_exchange::first_of_all() const
{
    return !relay_ && !other_domains_.empty() &&
           std::none_of(other_domains_.begin(), other_domains_.end(),
                        [&](const auto& it) { return it.first < own_id_; });
}

double peer_exchange::demand(const region_name& region, std::uint32_t service) const
{
    return others_.demand({short_hash(region.text()), service});
}

} // namespace toucan::edge
