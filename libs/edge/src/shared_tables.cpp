#include "shared_tables.h"

#include "broken_responses.h"
#include "event_log.h"

#include "toucan/base/stable_hash.h"
#include "toucan/edge/member_row.h"
#include "toucan/policy/relay_choice.h"
#include "toucan/policy/store_pacing.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace toucan::edge {

namespace {

/// Delay before a failed write of this daemon's row is repeated.
constexpr milliseconds member_write_pause{300};
/// Long-poll waits of the first relay of a region, and of all other daemons.
constexpr milliseconds short_watch_wait{2000};
constexpr milliseconds long_watch_wait{10000};
/// Longest time without a confirmation of the operator's table. It exceeds `short_watch_wait` by
/// the time that a report takes to reach all relays, and for other daemons also by the time in
/// which their relay asks the store, so that one call serves the failure domain.
constexpr milliseconds max_relay_age{2600};
constexpr milliseconds max_follower_age{3200};
/// Time in which rows that a restored store lacks are written again: by the operator and by other
/// daemons, which have to learn of it first, and by backend servers, which write all the time.
constexpr milliseconds restored_row_grace{5000};
constexpr milliseconds restored_backend_grace{2500};
/// Daemons that a starting daemon asks for the tables.
constexpr std::size_t max_start_relays = 2;

} // namespace

shared_tables::shared_tables(asio::io_context& loop, const clock& time,
                             const settings& daemon_settings, const deployment_adapter& adapter,
                             const peer_exchange& peers, metrics& all, std::int64_t run,
                             events hooks)
    : time_(time), settings_(daemon_settings), peers_(peers), run_(run), hooks_(std::move(hooks)),
      http_(loop, time, settings_.store,
            [&all](response_fault fault, const std::string& reason) {
                report_broken_response(all, response_source::store, fault, reason);
            }),
      store_(adapter.make_table_client(http_)), gate_(loop, time, *store_, all),
      client_(loop, time, gate_,
              {[this] { return peers_.relay_address(); },
               [this] {
                   return peers_.other_relay_addresses();
               }},
              all),
      relay_server_(loop, time), operator_(loop, time, client_, adapter.codec->operator_table(),
                                           watch_events(hooks_.operator_table, operator_)),
      backends_(loop, time, client_, adapter.codec->backend_table(),
                watch_events(hooks_.backends, backends_)),
      members_(loop, time, client_, member_table, watch_events(hooks_.members, members_)),
      member_timer_(loop)
{
    operator_.set_missing_row_grace(restored_row_grace);
    backends_.set_missing_row_grace(restored_backend_grace);
    members_.set_missing_row_grace(restored_row_grace);
    for (const auto* it : watches()) {
        relay_server_.serve(*it);
    }
}

table_watch::events shared_tables::watch_events(const table_events& hooks, const table_watch& watch)
{
    table_watch::events it;
    it.changed = hooks.changed;
    it.restored = hooks.restored;
    it.removed = hooks.removed;
    it.batch_delivered = [this, &hooks, &watch] {
        if (hooks.delivered) {
            hooks.delivered();
        }
        if (&watch == &members_) {
            repeat_lost_write();
        }
        relay_server_.changed(watch);
    };
    it.loaded = [this] {
        if (loaded()) {
            hooks_.loaded();
        }
    };
    it.availability_changed = [this, &hooks, &watch](bool available) {
        if (hooks.availability_changed) {
            hooks.availability_changed(available);
        }
        relay_server_.changed(watch);
    };
    return it;
}

void shared_tables::start()
{
    write_member(member_state::ready);
    client_.read_range(member_table, member_key_prefix(settings_.failure_domain),
                       [this](const table_result& members) {
                           client_.set_start_relays(start_relays(members));
                           load();
                       });
}

void shared_tables::load()
{
    for (auto* it : watches()) {
        it->start();
    }
}

std::vector<vm_address> shared_tables::start_relays(const table_result& members) const
{
    const policy::relay_candidate self{stable_hash(settings_.name), settings_.capacity};
    std::vector<std::pair<policy::relay_candidate, vm_address>> before;
    for (const auto& row : members.rows) {
        const auto it = decode_member(row.key, row.value);
        if (!it || it->failure_domain != settings_.failure_domain ||
            it->state == member_state::leaving) {
            continue;
        }
        // A daemon asks only those that precede it, so daemons that start together do not wait for
        // each other.
        const policy::relay_candidate candidate{stable_hash(it->name), it->capacity};
        if (policy::precedes(candidate, self)) {
            before.emplace_back(candidate, it->peers);
        }
    }
    std::sort(before.begin(), before.end(), [](const auto& lhs, const auto& rhs) {
        return policy::precedes(lhs.first, rhs.first);
    });
    std::vector<vm_address> addresses;
    for (std::size_t n = 0; n < std::min(before.size(), max_start_relays); ++n) {
        addresses.push_back(before[n].second);
    }
    return addresses;
}

bool shared_tables::loaded() const
{
    return operator_.loaded() && backends_.loaded() && members_.loaded();
}

std::vector<table_state> shared_tables::states() const
{
    std::vector<table_state> all;
    for (const auto* it : watches()) {
        all.push_back(it->state());
    }
    return all;
}

std::string shared_tables::render_states() const
{
    const auto now = time_.now();
    std::string text;
    for (const auto* it : watches()) {
        const auto state = it->state();
        text += fmt::format("toucan_edge_table_row_version{{table=\"{}\"}} {}\n"
                            "toucan_edge_table_age_ms{{table=\"{}\"}} {}\n",
                            it->table(), state.newest_row, it->table(), age_ms(age_of(state, now)));
    }
    return text;
}

void shared_tables::write_member(member_state state)
{
    member_state_ = state;
    written_value_ = encode_member(local_member(state));
    written_era_ = members_.era();
    client_.write(member_table, member_key(settings_.failure_domain, settings_.name),
                  written_value_, [this, state](const table_result& result) {
                      if (result.error == table_error::none || state != member_state_) {
                          return;
                      }
                      log_event("member_write_failed", "reason=\"{}\"", result.reason);
                      member_timer_.expires_after(member_write_pause);
                      member_timer_.async_wait([this](error_code ec) {
                          if (!ec) {
                              write_member(member_state_);
                          }
                      });
                  });
}

member_record shared_tables::local_member(member_state state) const
{
    member_record it;
    it.name = settings_.name;
    it.callers = settings_.callers;
    it.peers = settings_.peers;
    it.failure_domain = settings_.failure_domain;
    it.region = settings_.region;
    it.capacity = settings_.capacity;
    it.run = run_;
    it.state = state;
    return it;
}

void shared_tables::repeat_lost_write()
{
    if (members_.era() <= written_era_) {
        return;
    }
    written_era_ = members_.era();
    const auto* row = members_.find(member_key(settings_.failure_domain, settings_.name));
    if (row == nullptr || row->value != written_value_) {
        log_event("member_write_lost", "era={}", written_era_);
        write_member(member_state_);
    }
}

void shared_tables::remove_member(const member_record& it)
{
    const auto key = member_key(it.failure_domain, it.name);
    const auto* row = members_.find(key);
    client_.remove(member_table, key, row == nullptr ? 0 : row->version,
                   [name = it.name](const table_result& result) {
                       if (result.error != table_error::none) {
                           log_event("member_remove_failed", "name={} reason=\"{}\"", name,
                                     result.reason);
                       }
                   });
}

void shared_tables::check_age()
{
    const auto longest = peers_.relay_address() ? max_follower_age : max_relay_age;
    const auto age = age_of(operator_.state(), time_.now());
    if (!operator_.available() || (age && *age <= longest)) {
        return;
    }
    log_event("table_unconfirmed", "table={} age_ms={} relay={}", operator_.table(), age_ms(age),
              !peers_.relay_address());
    // What keeps news of one table away keeps it away for all.
    for (auto* it : watches()) {
        it->replace_call();
    }
}

void shared_tables::check_peers()
{
    // One daemon of each region polls one table often, to detect soon that the store does not
    // answer or is back. The other daemons learn from its reports that rows have changed.
    operator_.set_wait(peers_.first_relay_in_region() ? short_watch_wait : long_watch_wait);
    std::size_t table = 0;
    for (auto* it : watches()) {
        it->check_peer_version(peers_.table(table));
        ++table;
    }
    check_age();
    gate_.set_longest_pause(peers_.relay_address()
                                ? policy::store_pacing::follower_longest_pause(
                                      peers_.peers().count_in(settings_.failure_domain) + 1)
                                : policy::store_pacing::direct_longest_pause);
}

} // namespace toucan::edge
