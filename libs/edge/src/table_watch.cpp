#include "table_watch.h"

#include "event_log.h"

#include "toucan/base/stable_hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace toucan::edge {

namespace {

constexpr milliseconds default_wait{10000};
/// How much later than another daemon a row may arrive.
constexpr milliseconds peer_lead{500};
/// Pause before the next call, for each answer with changes lately.
constexpr milliseconds pause_per_answer{60};
constexpr milliseconds longest_batch{700};
constexpr std::chrono::duration<double> answer_half_life{2.0};
/// Removals that a daemon which follows through this one may have missed.
constexpr std::size_t kept_removals = 1000;
constexpr milliseconds first_pause{100};
constexpr milliseconds longest_pause{500};

} // namespace

table_watch::table_watch(asio::io_context& loop, const clock& time, table_client& client,
                         std::string table, events hooks)
    : time_(time), client_(client), table_(std::move(table)), hooks_(std::move(hooks)),
      pause_(loop), wait_(default_wait), next_pause_(first_pause)
{
}

void table_watch::read()
{
    client_.read(table_, [this, call = ++call_](const table_result& result) {
        if (call != call_) {
            return;
        }
        if (result.error != table_error::none) {
            failed(result, true);
            return;
        }
        take_snapshot(result);
        succeeded();
        hooks_.advanced();
        if (!loaded_) {
            loaded_ = true;
            history_from_ = version_;
            log_event("table_loaded", "table={} rows={} version={}", table_, rows_.size(),
                      version_);
            hooks_.loaded();
        }
        watch();
    });
}

void table_watch::watch()
{
    // After an error the first call asks for an answer at once: a store that is silent would
    // otherwise be noticed only after the whole wait.
    const auto wait = available() ? wait_ : milliseconds(0);
    client_.watch(table_, version_, wait, [this, call = ++call_](const table_result& result) {
        if (call != call_) {
            return;
        }
        if (result.error != table_error::none) {
            failed(result, result.error == table_error::history_lost);
            return;
        }
        succeeded();
        take_changes(result);
        if (result.rows.empty()) {
            watch();
        }
        else {
            hooks_.advanced();
            result.relayed ? watch() : watch_later();
        }
    });
}

void table_watch::watch_later()
{
    // Changes that come in quick succession are taken together: each call costs the store.
    const auto now = time_.now();
    const double halves = std::chrono::duration<double>(now - counted_) / answer_half_life;
    recent_answers_ = recent_answers_ * std::exp2(-halves) + 1;
    counted_ = now;
    const auto pause = std::chrono::duration_cast<milliseconds>(recent_answers_ * pause_per_answer);
    paused_ = true;
    pause_.expires_after(std::min(pause, longest_batch));
    pause_.async_wait([this](error_code ec) {
        paused_ = false;
        if (!ec) {
            watch();
        }
    });
}

void table_watch::take_snapshot(const table_result& result)
{
    version_ = std::max(version_, result.version);
    auto gone = rows_;
    for (const auto& it : result.rows) {
        gone.erase(it.key);
        store(it);
    }
    for (const auto& [key, row] : gone) {
        drop(key, result.version);
    }
}

void table_watch::take_changes(const table_result& result)
{
    for (const auto& it : result.rows) {
        if (it.removed) {
            newest_row_ = std::max(newest_row_, it.version);
            drop(it.key, it.version);
        }
        else {
            store(it);
        }
    }
    version_ = std::max(version_, result.version);
}

void table_watch::peer_saw(std::uint64_t row_version)
{
    if (row_version <= newest_row_ || !available() || paused_) {
        missing_row_ = 0;
        return;
    }
    const auto now = time_.now();
    if (missing_row_ == 0) {
        missing_row_ = row_version;
        missing_since_ = now;
    }
    else if (now - missing_since_ > peer_lead) {
        log_event("watch_silent", "table={} newest={} peer_newest={}", table_, newest_row_,
                  row_version);
        missing_row_ = 0;
        silent_ = true;
        watch();
    }
}

void table_watch::store(const table_row& row)
{
    newest_row_ = std::max(newest_row_, row.version);
    auto& known = rows_[row.key];
    if (known.version == row.version && row.version != 0) {
        return;
    }
    known = row;
    hooks_.changed(row);
}

void table_watch::drop(const std::string& key, std::uint64_t version)
{
    if (rows_.erase(key) == 0) {
        return;
    }
    removed_.push_back({key, {}, version, true});
    if (removed_.size() > kept_removals) {
        history_from_ = removed_.front().version;
        removed_.pop_front();
    }
    hooks_.removed(key);
}

std::uint64_t table_watch::version_of(const std::string& key) const
{
    const auto it = rows_.find(key);
    return it == rows_.end() ? 0 : it->second.version;
}

table_result table_watch::changes(std::uint64_t after) const
{
    table_result it;
    it.version = version_;
    if (after < history_from_) {
        it.error = table_error::history_lost;
        return it;
    }
    for (const auto& [key, row] : rows_) {
        if (row.version > after) {
            it.rows.push_back(row);
        }
    }
    for (const auto& row : removed_) {
        if (row.version > after && !rows_.contains(row.key)) {
            it.rows.push_back(row);
        }
    }
    std::sort(it.rows.begin(), it.rows.end(),
              [](const auto& lhs, const auto& rhs) { return lhs.version < rhs.version; });
    return it;
}

void table_watch::succeeded()
{
    next_pause_ = first_pause;
    silent_ = false;
    if (!available_) {
        available_ = true;
        log_event("store_regained", "table={}", table_);
        hooks_.availability(true);
    }
}

void table_watch::failed(const table_result& result, bool read_again)
{
    if (available_ && result.error != table_error::history_lost) {
        available_ = false;
        log_event("store_lost", "table={} reason=\"{}\" version={}", table_, result.reason,
                  version_);
        hooks_.availability(false);
    }
    // Spread by the clock, so that daemons that failed together do not come back together.
    const auto spread = milliseconds(static_cast<std::int64_t>(
        stable_hash(table_, static_cast<std::uint64_t>(time_.now().time_since_epoch().count())) %
        static_cast<std::uint64_t>(next_pause_.count())));
    const auto pause =
        result.error == table_error::history_lost ? milliseconds(0) : next_pause_ / 2 + spread;
    next_pause_ = std::min(2 * next_pause_, longest_pause);
    paused_ = true;
    pause_.expires_after(pause);
    pause_.async_wait([this, read_again](error_code ec) {
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
