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
      pause_timer_(loop), wait_(default_wait), backoff_(initial_backoff)
{
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
        if (result.version < version_) {
            // Older than what this daemon has: removed rows would come back.
            on_error({table_error::rejected, "the answer is older than the known rows", {}, 0},
                     true);
            return;
        }
        apply_snapshot(result);
        on_success(result);
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

void table_watch::watch()
{
    // The first call after an error requests an immediate answer. Otherwise a store that still does
    // not answer would be detected only after the whole wait.
    const watch_options options{available() ? wait_ : milliseconds(0), silent_};
    client_.watch(
        table_, version_, options, [this, call = ++last_call_](const table_result& result) {
            if (call != last_call_) {
                return;
            }
            if (result.error != table_error::none) {
                on_error(result, result.error == table_error::history_lost);
                return;
            }
            const bool older = result.version < version_;
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
    const auto row_version = reported.newest_row;
    const bool complete = row_version <= std::max(newest_row_, version_);
    if (complete) {
        record_confirmation(reported.store_time);
    }
    if (complete || !available() || paused_) {
        missing_version_ = 0;
        return;
    }
    const auto now = time_.now();
    // A missing row that has arrived meanwhile shows that the call delivers.
    if (missing_version_ <= newest_row_) {
        missing_version_ = row_version;
        missing_since_ = now;
    }
    else if (now - missing_since_ > max_lag_behind_peer) {
        log_event("watch_silent", "table={} newest={} peer_newest={}", table_, newest_row_,
                  row_version);
        replace_call();
    }
}

void table_watch::replace_call()
{
    if (!available() || paused_) {
        return;
    }
    missing_version_ = 0;
    silent_ = true;
    watch();
}

void table_watch::store_row(const table_row& row)
{
    newest_row_ = std::max(newest_row_, row.version);
    auto& known = rows_[row.key];
    if (row.version <= known.version && row.version != 0) {
        return;
    }
    known = row;
    deliver(row);
}

void table_watch::remove_row(const std::string& key, std::uint64_t version)
{
    if (rows_.erase(key) == 0) {
        return;
    }
    removed_rows_.push_back({key, {}, version, true});
    if (removed_rows_.size() > max_removed_rows) {
        history_start_ = removed_rows_.front().version;
        removed_rows_.pop_front();
    }
    hooks_.removed(key);
}

void table_watch::deliver(const table_row& row)
{
    try {
        hooks_.changed(row);
    }
    catch (const std::exception& ex) {
        // One row must not keep the other rows of the answer from being delivered.
        log_event("row_failed", "table={} key={} reason=\"{}\"", table_, row.key, ex.what());
    }
}

std::uint64_t table_watch::version_of(const std::string& key) const
{
    const auto it = rows_.find(key);
    return it == rows_.end() ? 0 : it->second.version;
}

table_result table_watch::snapshot() const
{
    table_result it;
    it.version = version_;
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
    record_era(result);
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

void table_watch::record_era(const table_result& result)
{
    if (result.era <= era_) {
        return;
    }
    if (era_ > 0) {
        log_event("store_restored", "table={} era={} previous={} version={} known_version={}",
                  table_, result.era, era_, result.version, version_);
    }
    era_ = result.era;
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
