#include "table_watch.h"

#include "event_log.h"

#include "toucan/base/stable_hash.h"

#include <algorithm>
#include <cmath>
#include <exception>
#include <utility>

namespace toucan::edge {

namespace {

constexpr milliseconds default_wait{10000};
/// If a row that another daemon has reported does not arrive within this time, the connection of
/// the pending watch call is assumed to be dead.
constexpr milliseconds max_lag_behind_peer{500};
/// Pause before the next call, per recent answer with changes.
constexpr milliseconds pause_per_answer{60};
/// Longest pause for batching changes.
constexpr milliseconds max_batch_pause{700};
/// Half-life of the count of recent answers.
constexpr std::chrono::duration<double> answer_half_life{2.0};
/// Removed rows that are kept for daemons that watch through this one.
constexpr std::size_t max_removed_rows = 1000;
constexpr milliseconds initial_backoff{100};
constexpr milliseconds max_backoff{500};

} // namespace

table_watch::table_watch(asio::io_context& loop, const clock& time, table_client& client,
                         std::string table, events hooks)
    : time_(time), client_(client), table_(std::move(table)), hooks_(std::move(hooks)),
      pause_timer_(loop), missing_rows_timer_(loop), wait_(default_wait), backoff_(initial_backoff)
{
    if (!hooks_.restored) {
        hooks_.restored = hooks_.changed;
    }
}

void table_watch::read()
{
    client_.read(table_, [this, call = ++last_call_](const table_result& result) {
        if (call != last_call_) {
            return;
        }
        if (result.error != table_error::none) {
            on_error(result, true);
            return;
        }
        if (position_of(result) < position()) {
            // Older than what this daemon has: removed rows would come back.
            on_error({table_error::rejected, "the answer is older than the known rows", {}, 0},
                     true);
            return;
        }
        const bool restored = loaded_ && restored_since(result);
        // Before the rows, because rows that are missing just after an outage may come back.
        on_success(result);
        if (restored) {
            apply_restored(result);
        }
        else {
            apply_snapshot(result);
        }
        const bool first = !std::exchange(loaded_, true);
        if (first) {
            history_start_ = version_;
            log_event("table_loaded", "table={} rows={} version={} relayed={} store_time_ms={}",
                      table_, rows_.size(), version_, result.relayed, result.store_time.count());
        }
        hooks_.batch_delivered();
        if (first) {
            hooks_.loaded();
        }
        watch();
    });
}

void table_watch::watch(bool distrust)
{
    // The first call after an error requests an immediate answer. Otherwise a store that still does
    // not answer would be detected only after the whole wait.
    const watch_options options{available() ? wait_ : milliseconds(0), distrust, era_};
    client_.watch(
        table_, version_, options, [this, call = ++last_call_](const table_result& result) {
            if (call != last_call_) {
                return;
            }
            if (result.error != table_error::none) {
                on_error(result, result.error == table_error::history_lost);
                return;
            }
            if (restored_since(result)) {
                // The store was restored, so what follows the known version is not all that has
                // changed.
                read();
                return;
            }
            const bool older = position_of(result) < position();
            if (older && !result.relayed) {
                on_error({table_error::rejected, "the answer is older than the known rows", {}, 0},
                         false);
                return;
            }
            on_success(result);
            if (older) {
                // This daemon has asked the store since; the relay has no news yet.
                watch();
                return;
            }
            apply_changes(result);
            if (result.rows.empty()) {
                watch();
            }
            else {
                hooks_.batch_delivered();
                result.relayed ? watch() : watch_after_pause();
            }
        });
}

void table_watch::watch_after_pause()
{
    // Changes in quick succession are fetched in one batch, because each call puts load on the
    // store.
    const auto now = time_.now();
    const double half_lives = std::chrono::duration<double>(now - counted_at_) / answer_half_life;
    recent_answer_count_ = recent_answer_count_ * std::exp2(-half_lives) + 1;
    counted_at_ = now;
    const auto pause =
        std::chrono::duration_cast<milliseconds>(recent_answer_count_ * pause_per_answer);
    paused_ = true;
    pause_timer_.expires_after(std::min(pause, max_batch_pause));
    pause_timer_.async_wait([this](error_code ec) {
        paused_ = false;
        if (!ec) {
            watch();
        }
    });
}

void table_watch::apply_snapshot(const table_result& result)
{
    era_ = std::max(era_, result.era);
    version_ = std::max(version_, result.version);
    auto absent = rows_;
    for (const auto& it : result.rows) {
        absent.erase(it.key);
        store_row(it);
    }
    for (const auto& [key, row] : absent) {
        remove_row(key, result.version);
    }
}

void table_watch::apply_restored(const table_result& result)
{
    log_event("store_restored", "table={} era={} previous={} version={} known_version={} rows={}",
              table_, result.era, era_, result.version, version_, result.rows.size());
    era_ = result.era;
    version_ = result.version;
    history_start_ = result.version;
    removed_rows_.clear();
    newest_row_ = 0;
    store_time_ = result.store_time;
    auto absent = std::exchange(rows_, {});
    for (const auto& row : result.rows) {
        newest_row_ = std::max(newest_row_, row.version);
        rows_[row.key] = row;
        const auto known = absent.find(row.key);
        const bool same = known != absent.end() && known->second.value == row.value;
        missing_rows_.erase(row.key);
        if (!same) {
            deliver(hooks_.restored, row);
        }
        if (known != absent.end()) {
            absent.erase(known);
        }
    }
    for (const auto& [key, row] : absent) {
        missing_rows_.insert(key);
    }
    log_event("rows_missing", "table={} rows={}", table_, missing_rows_.size());
    missing_rows_timer_.expires_after(missing_row_grace_);
    missing_rows_timer_.async_wait([this](error_code ec) {
        if (!ec) {
            remove_missing_rows();
        }
    });
}

void table_watch::remove_missing_rows()
{
    for (const auto& key : std::exchange(missing_rows_, {})) {
        hooks_.removed(key);
    }
    hooks_.batch_delivered();
}

void table_watch::apply_changes(const table_result& result)
{
    for (const auto& it : result.rows) {
        if (it.removed) {
            newest_row_ = std::max(newest_row_, it.version);
            remove_row(it.key, it.version);
        }
        else {
            store_row(it);
        }
    }
    version_ = std::max(version_, result.version);
}

void table_watch::check_peer_version(const table_state& reported)
{
    const store_position reported_row{reported.era == 0 ? era_ : reported.era, reported.newest_row};
    const bool complete = reported_row <= store_position{era_, std::max(newest_row_, version_)};
    if (complete && reported_row.era == era_) {
        record_confirmation(reported.store_time);
    }
    if (complete || !available() || paused_) {
        missing_ = {};
        return;
    }
    const auto now = time_.now();
    // A missing row that has arrived meanwhile shows that the call delivers.
    if (missing_ <= store_position{era_, newest_row_}) {
        missing_ = reported_row;
        missing_since_ = now;
    }
    else if (now - missing_since_ > max_lag_behind_peer) {
        log_event("watch_silent", "table={} newest={} era={} peer_newest={} peer_era={}", table_,
                  newest_row_, era_, reported_row.version, reported_row.era);
        replace_call();
    }
}

void table_watch::replace_call()
{
    if (!available() || paused_) {
        return;
    }
    missing_ = {};
    silent_ = true;
    // Only this call: if the store rejects it, the relay may still have the rows.
    watch(true);
}

void table_watch::store_row(const table_row& row)
{
    newest_row_ = std::max(newest_row_, row.version);
    missing_rows_.erase(row.key);
    auto& known = rows_[row.key];
    if (row.version <= known.version && row.version != 0) {
        return;
    }
    known = row;
    deliver(hooks_.changed, row);
}

void table_watch::remove_row(const std::string& key, std::uint64_t version)
{
    if (rows_.erase(key) + missing_rows_.erase(key) == 0) {
        return;
    }
    removed_rows_.push_back({key, {}, version, true});
    if (removed_rows_.size() > max_removed_rows) {
        history_start_ = removed_rows_.front().version;
        removed_rows_.pop_front();
    }
    hooks_.removed(key);
}

void table_watch::deliver(const std::function<void(const table_row&)>& hook,
                          const table_row& row) const
{
    try {
        hook(row);
    }
    catch (const std::exception& ex) {
        // One row must not keep the other rows of the answer from being delivered.
        log_event("row_failed", "table={} key={} reason=\"{}\"", table_, row.key, ex.what());
    }
}

const table_row* table_watch::find(const std::string& key) const
{
    const auto it = rows_.find(key);
    return it == rows_.end() ? nullptr : &it->second;
}

table_result table_watch::snapshot() const
{
    table_result it;
    it.version = version_;
    it.era = era_;
    it.store_time = store_time_;
    for (const auto& [key, row] : rows_) {
        it.rows.push_back(row);
    }
    return it;
}

table_result table_watch::changes(std::uint64_t after) const
{
    table_result it;
    it.version = version_;
    it.era = era_;
    it.store_time = store_time_;
    if (after < history_start_) {
        it.error = table_error::history_lost;
        return it;
    }
    for (const auto& [key, row] : rows_) {
        if (row.version > after) {
            it.rows.push_back(row);
        }
    }
    for (const auto& row : removed_rows_) {
        if (row.version > after && !rows_.contains(row.key)) {
            it.rows.push_back(row);
        }
    }
    std::sort(it.rows.begin(), it.rows.end(),
              [](const auto& lhs, const auto& rhs) { return lhs.version < rhs.version; });
    return it;
}

void table_watch::on_success(const table_result& result)
{
    from_store_ = !result.relayed;
    era_ = era_ == 0 ? result.era : era_;
    record_confirmation(result.store_time);
    if (!result.relayed) {
        confirmed_at_ = time_.now();
    }
    backoff_ = initial_backoff;
    silent_ = false;
    if (!available_) {
        available_ = true;
        log_event("store_regained", "table={}", table_);
        hooks_.availability_changed(true);
    }
}

void table_watch::record_confirmation(milliseconds store_time)
{
    if (store_time > store_time_) {
        store_time_ = store_time;
        confirmed_at_ = time_.now();
    }
}

void table_watch::on_error(const table_result& result, bool read_again)
{
    if (available_ && result.error != table_error::history_lost) {
        available_ = false;
        log_event("store_lost", "table={} reason=\"{}\" version={}", table_, result.reason,
                  version_);
        hooks_.availability_changed(false);
    }
    if (result.error == table_error::history_lost) {
        log_event("table_history_lost", "table={} version={} reason=\"{}\"", table_, version_,
                  result.reason);
    }
    // Jitter derived from the clock keeps daemons that failed together from retrying together.
    const auto jitter = milliseconds(static_cast<std::int64_t>(
        stable_hash(table_, static_cast<std::uint64_t>(time_.now().time_since_epoch().count())) %
        static_cast<std::uint64_t>(backoff_.count())));
    const auto pause =
        result.error == table_error::history_lost ? milliseconds(0) : backoff_ / 2 + jitter;
    backoff_ = std::min(2 * backoff_, max_backoff);
    paused_ = true;
    pause_timer_.expires_after(pause);
    pause_timer_.async_wait([this, read_again](error_code ec) {
        paused_ = false;
        if (ec) {
            return;
        }
        if (read_again || !loaded_) {
            read();
        }
        else {
            watch();
        }
    });
}

} // namespace toucan::edge
