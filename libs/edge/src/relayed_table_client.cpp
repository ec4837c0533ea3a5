#include "relayed_table_client.h"

#include "broken_responses.h"
#include "event_log.h"
#include "table_changes.h"
#include "table_relay_server.h"

#include "toucan/base/last_reason.h"
#include "toucan/base/text.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace toucan::edge {

namespace {

/// Time beyond the wait after which a call to a relay times out.
constexpr milliseconds response_margin{500};
/// A full table is long, and many daemons ask for it when they start together.
constexpr milliseconds snapshot_margin{1500};
/// How long watches go to the store directly after a call to the relay has failed.
constexpr milliseconds relay_retry_delay{3000};
/// Wait of one call for a full table, while the relay may be loading it itself.
constexpr milliseconds snapshot_wait{500};
constexpr milliseconds snapshot_retry_pause{100};
/// Time in which a starting daemon finds its relay by the reports of the others.
constexpr milliseconds start_relays_lifetime{3000};
/// Time after which a full read turns to the store.
constexpr milliseconds snapshot_time_limit{1000};

/// Clock of the store when it confirmed the rows that a relay has sent; 0 if it does not say.
milliseconds store_time_in(const http_response& it)
{
    const auto ms = parse_number<std::int64_t>(find_header(it.headers, store_time_header));
    return milliseconds(ms && *ms >= 0 ? *ms : 0);
}

} // namespace

relayed_table_client::relayed_table_client(asio::io_context& loop, const clock& time,
                                           store_gate& store, sources relays, metrics& all)
    : loop_(loop), time_(time), store_(store), relays_(std::move(relays)), metrics_(all),
      relayed_reads_(all.count("toucan_edge_table_reads_total{source=\"relay\"}")),
      store_reads_(all.count("toucan_edge_table_reads_total{source=\"store\"}"))
{
}

pooled_http_client& relayed_table_client::client_for(const vm_address& relay)
{
    auto& it = clients_[relay.to_string()];
    if (!it) {
        it = std::make_unique<pooled_http_client>(
            loop_, time_, relay, [this](response_fault fault, const std::string& reason) {
                report_broken_response(metrics_, response_source::daemon, fault, reason);
            });
    }
    return *it;
}

void relayed_table_client::bypass_relay()
{
    bypass_relay_until_ = time_.now() + relay_retry_delay;
}

void relayed_table_client::ask_relay(const vm_address& relay, const std::string& table,
                                     const std::string& query, milliseconds wait,
                                     relay_handler done)
{
    auto target = fmt::format("{}{}?{}", table_relay_path, table, query);
    client_for(relay).send({"GET", std::move(target), {}, {}}, wait,
                           [done = std::move(done)](const http_result& answer) {
                               const int status = answer.response ? answer.response->status : 0;
                               if (status != 200) {
                                   done(std::nullopt, status, answer.reason);
                                   return;
                               }
                               auto changes = decode_changes(answer.response->body);
                               if (changes) {
                                   changes->store_time = store_time_in(*answer.response);
                               }
                               const auto reason = changes ? std::string() : last_reason();
                               done(std::move(changes), status, reason);
                           });
}

void relayed_table_client::set_start_relays(std::vector<vm_address> it)
{
    start_relays_ = std::move(it);
    start_relays_until_ = time_.now() + start_relays_lifetime;
}

std::vector<vm_address> relayed_table_client::known_relays() const
{
    if (const auto relay = relays_.relay()) {
        return {*relay};
    }
    return time_.now() < start_relays_until_ ? start_relays_ : std::vector<vm_address>{};
}

void relayed_table_client::read(const std::string& table, handler done)
{
    const auto it = std::make_shared<full_read>();
    it->table = table;
    it->done = std::move(done);
    it->relays = known_relays();
    if (it->relays.empty() && store_.failing()) {
        it->relays = relays_.other_relays();
        it->direct = true;
        // Goes on behind the relays that the last read has asked in vain.
        it->attempts = direct_attempts_;
    }
    it->give_up_at = time_.now() + snapshot_time_limit;
    read_snapshot(it);
}

void relayed_table_client::read_snapshot(const std::shared_ptr<full_read>& it)
{
    if (it->relays.empty() || time_.now() >= it->give_up_at) {
        ++store_reads_;
        store_.read(it->table, std::move(it->done));
        return;
    }
    const auto relay = it->relays[it->attempts++ % it->relays.size()];
    direct_attempts_ = it->direct ? it->attempts : direct_attempts_;
    ask_relay(relay, it->table,
              it->direct ? "snapshot=1&wait_ms=0&direct=1"
                         : fmt::format("snapshot=1&wait_ms={}", snapshot_wait.count()),
              (it->direct ? milliseconds(0) : snapshot_wait) + snapshot_margin,
              [this, it](std::optional<table_result> rows, int status, const std::string& reason) {
                  const bool outdated = rows && rows->era < newest_era_;
                  if (rows && !outdated) {
                      complete_snapshot(it, std::move(*rows));
                      return;
                  }
                  log_event("table_snapshot_failed", "table={} status={} reason=\"{}\"", it->table,
                            status, outdated ? "the store was restored since" : reason);
                  retry_snapshot(it);
              });
}

void relayed_table_client::retry_snapshot(const std::shared_ptr<full_read>& it)
{
    const auto timer = std::make_shared<asio::steady_timer>(loop_, snapshot_retry_pause);
    timer->async_wait([this, it, timer](error_code ec) {
        if (!ec) {
            read_snapshot(it);
        }
    });
}

void relayed_table_client::complete_snapshot(const std::shared_ptr<full_read>& it,
                                             table_result snapshot)
{
    ++relayed_reads_;
    const auto rows = std::make_shared<table_result>(std::move(snapshot));
    store_.watch(it->table, rows->version, {}, [this, it, rows](const table_result& newer) {
        record_era(newer);
        // Changes of another era do not continue the rows of the relay.
        if (newer.error == table_error::history_lost || newer.era > rows->era) {
            store_.read(it->table, std::move(it->done));
            return;
        }
        // If the store does not answer, the rows of the relay are the newest that can be had.
        if (newer.error == table_error::none && newer.era == rows->era) {
            merge_changes(*rows, newer);
            rows->store_time = newer.store_time;
        }
        it->done(std::move(*rows));
    });
}

void relayed_table_client::read_range(const std::string& table, const std::string& prefix,
                                      handler done)
{
    store_.read_range(table, prefix, std::move(done));
}

void relayed_table_client::watch(const std::string& table, std::uint64_t after,
                                 const watch_options& options, handler done)
{
    if (options.distrust) {
        bypass_relay();
    }
    const auto wait = options.wait;
    // While the store fails, a relay is the only source of news.
    const bool bypass =
        options.distrust || (time_.now() < bypass_relay_until_ && !store_.failing());
    const auto relays = bypass ? std::vector<vm_address>{} : known_relays();
    if (relays.empty()) {
        watch_store(table, after, options, std::move(done));
        return;
    }
    if (store_.failing()) {
        // Finds out whether the store answers again, also if the relay has the rows or is silent.
        store_.watch(table, after, {milliseconds(0), false, options.era},
                     [this](const table_result& result) { record_era(result); });
    }
    const auto relay_wait = std::min(wait, max_relay_wait);
    ask_relay(relays.front(), table,
              fmt::format("after={}&era={}&wait_ms={}", after, options.era, relay_wait.count()),
              relay_wait + response_margin,
              [this, table, after, options, done = std::move(done)](
                  std::optional<table_result> changes, int status, const std::string& reason) {
                  if (changes) {
                      done(std::move(*changes));
                      return;
                  }
                  if (status == 410) {
                      done({table_error::history_lost,
                            "the relay no longer keeps the requested changes",
                            {},
                            0});
                      return;
                  }
                  log_event("table_relay_failed", "table={} status={} reason=\"{}\"", table, status,
                            reason);
                  // A relay that has lost the store may have it back at the next call; a relay
                  // that does not answer is probably gone.
                  if (status != 503) {
                      bypass_relay();
                  }
                  watch_store(table, after, options, [this, done](table_result result) {
                      if (result.error == table_error::none) {
                          bypass_relay();
                      }
                      done(std::move(result));
                  });
              });
}

void relayed_table_client::watch_store(const std::string& table, std::uint64_t after,
                                       const watch_options& options, handler done)
{
    if (store_.failing() && !relays_.other_relays().empty()) {
        from_other_relay_.insert(table);
        watch_other_relay(table, {options.era, after}, options.wait, std::move(done));
        return;
    }
    // An immediate answer confirms that the table comes from the store again.
    const bool confirm = from_other_relay_.erase(table) > 0;
    store_.watch(table, after,
                 {confirm ? milliseconds(0) : options.wait, options.distrust, options.era},
                 [this, done = std::move(done)](table_result result) {
                     record_era(result);
                     done(std::move(result));
                 });
}

void relayed_table_client::complete(other_relay_watch& it, table_result result)
{
    if (const auto done = std::exchange(it.done, nullptr)) {
        done(std::move(result));
    }
}

void relayed_table_client::probe_store(const std::shared_ptr<other_relay_watch>& it)
{
    // The gate records the outcome. An answer also ends the wait for the other relay, or the table
    // would come from there for up to two more waits.
    store_.watch(it->table, it->after.version, {milliseconds(0), false, it->after.era},
                 [this, it](table_result result) {
                     if (it->done && result.error == table_error::none) {
                         record_era(result);
                         from_other_relay_.erase(it->table);
                         complete(*it, std::move(result));
                     }
                 });
}

void relayed_table_client::watch_other_relay(const std::string& table, store_position after,
                                             milliseconds wait, handler done)
{
    const auto it = std::make_shared<other_relay_watch>();
    it->table = table;
    it->after = after;
    it->wait = std::min(wait, max_relay_wait);
    it->done = std::move(done);
    it->relays = relays_.other_relays();
    // The relay that answered last comes first.
    const auto last = std::find(it->relays.begin(), it->relays.end(), last_other_relay_);
    std::rotate(it->relays.begin(), last == it->relays.end() ? it->relays.begin() : last,
                it->relays.end());
    ask_next_relay(it);
}

void relayed_table_client::ask_next_relay(const std::shared_ptr<other_relay_watch>& it)
{
    if (!it->done) {
        return;
    }
    // Before each relay: one that does not answer takes until its timeout, and a call may be held
    // back.
    probe_store(it);
    if (it->asked == it->relays.size()) {
        complete(*it, it->history_lost
                          ? table_result{table_error::history_lost,
                                         "no other relay keeps the requested changes",
                                         {},
                                         0}
                          : table_result{table_error::rejected,
                                         "store failed, and no relay of another domain has it",
                                         {},
                                         0});
        return;
    }
    const auto relay = it->relays[it->asked++];
    ask_relay(relay, it->table,
              fmt::format("after={}&era={}&wait_ms={}&direct=1", it->after.version, it->after.era,
                          it->wait.count()),
              it->wait + response_margin,
              [this, it, relay](std::optional<table_result> changes, int status,
                                const std::string& /*reason*/) {
                  if (changes) {
                      last_other_relay_ = relay;
                      complete(*it, std::move(*changes));
                  }
                  else {
                      it->history_lost = it->history_lost || status == 410;
                      ask_next_relay(it);
                  }
              });
}

void relayed_table_client::write(const std::string& table, const std::string& key,
                                 const std::string& value, handler done)
{
    store_.write(table, key, value, std::move(done));
}

void relayed_table_client::remove(const std::string& table, const std::string& key,
                                  std::uint64_t version, handler done)
{
    store_.remove(table, key, version, std::move(done));
}

} // namespace toucan::edge
