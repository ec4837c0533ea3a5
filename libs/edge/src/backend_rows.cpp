#include "backend_rows.h"

#include "event_log.h"

#include "toucan/base/last_reason.h"

#include <utility>
#include <vector>

namespace toucan::edge {

namespace {

/// Time after a store outage within which missing rows may reappear before their servers are
/// removed.
constexpr milliseconds missing_row_grace{2000};
/// Time in which the store removes the row of a server that does not write it: three intervals of
/// about 1.5 s, and a reserve.
constexpr milliseconds outdated_row_lifetime{7000};
/// Removed servers whose last record is remembered.
constexpr std::size_t max_removed = 1000;

} // namespace

const backend_rows::record_order* backend_rows::newest(const backend_server_name& name) const
{
    const auto it = newest_.find(name);
    return it == newest_.end() ? nullptr : &it->second;
}

void backend_rows::change(const table_row& row)
{
    const auto it = codec_.decode_backend(row);
    if (it && it->started_ms == 0) {
        // A lower number may also be that of a new run, which counts anew.
        apply(row.key, it);
        return;
    }
    apply_in_order(row, it);
}

void backend_rows::restore(const table_row& row)
{
    apply_in_order(row, codec_.decode_backend(row));
}

void backend_rows::apply_in_order(const table_row& row, const std::optional<backend_record>& it)
{
    const auto* known = it ? newest(it->name) : nullptr;
    if (known != nullptr && order_of(*it) < *known) {
        hold_back(row, *it, *known);
        return;
    }
    apply(row.key, it);
}

void backend_rows::hold_back(const table_row& row, const backend_record& it,
                             const record_order& known)
{
    log_event("backend_outdated", "name={} started_ms={} number={} known_started_ms={} known={}",
              row.key, it.started_ms, it.number, known.started_ms, known.number);
    const outdated_row held{row, order_of(it), time_.now() + outdated_row_lifetime};
    const auto [at, added] = outdated_.try_emplace(it.name, held);
    if (added) {
        return;
    }
    // A row that follows the one held back shows that its server writes it, so the time goes on. A
    // server that restarted with a lower clock would otherwise stay unknown while its row changes.
    const auto apply_at = at->second.order < held.order ? at->second.apply_at : held.apply_at;
    at->second = held;
    at->second.apply_at = apply_at;
}

void backend_rows::apply(const std::string& key, const std::optional<backend_record>& it)
{
    outdated_.erase(backend_server_name(key));
    if (!it) {
        log_event("backend_unusable", "key={} reason=\"{}\"", key, last_reason());
        remove(key);
        return;
    }
    missing_.erase(it->name);
    newest_[it->name] = order_of(*it);
    fleet_.apply(*it);
}

void backend_rows::record_store_availability(bool available)
{
    const auto now = time_.now();
    if (available && !store_available_) {
        store_returned_at_ = now;
        for (auto& [name, it] : outdated_) {
            it.apply_at = now + outdated_row_lifetime;
        }
    }
    store_available_ = available;
}

void backend_rows::remove(const std::string& key)
{
    const backend_server_name name(key);
    outdated_.erase(name);
    if (time_.now() - store_returned_at_ < missing_row_grace) {
        missing_[name] = store_returned_at_ + missing_row_grace;
        fleet_.set_lapsed(name);
        log_event(
            "backend_lapsed", "name={} store_back_ms={}", key,
            std::chrono::duration_cast<milliseconds>(time_.now() - store_returned_at_).count());
        return;
    }
    remove_now(name);
}

void backend_rows::remove_now(const backend_server_name& name)
{
    fleet_.remove(name);
    if (newest(name) == nullptr) {
        return;
    }
    removed_.push_back(name);
    if (removed_.size() > max_removed) {
        newest_.erase(removed_.front());
        removed_.pop_front();
    }
}

void backend_rows::expire()
{
    const auto now = time_.now();
    std::vector<backend_server_name> gone;
    for (const auto& [name, until] : missing_) {
        if (now >= until) {
            gone.push_back(name);
        }
    }
    for (const auto& it : gone) {
        missing_.erase(it);
        remove_now(it);
    }
    std::vector<table_row> alive;
    for (const auto& [name, it] : outdated_) {
        if (store_available_ && now >= it.apply_at) {
            alive.push_back(it.row);
        }
    }
    for (const auto& it : alive) {
        apply(it.key, codec_.decode_backend(it));
    }
}

} // namespace toucan::edge
