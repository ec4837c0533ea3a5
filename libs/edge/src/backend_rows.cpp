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
    apply(row.key, codec_.decode_backend(row));
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

void backend_rows::restore(const table_row& row)
{
    const auto it = codec_.decode_backend(row);
    const auto* known = it ? newest(it->name) : nullptr;
    if (known == nullptr || order_of(*it) >= *known) {
        apply(row.key, it);
        return;
    }
    log_event("backend_outdated", "name={} started_ms={} number={} known_started_ms={} known={}",
              row.key, it->started_ms, it->number, known->started_ms, known->number);
    outdated_[it->name] = {row, time_.now() + outdated_row_lifetime};
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
        if (now >= it.apply_at) {
            alive.push_back(it.row);
        }
    }
    for (const auto& it : alive) {
        change(it);
    }
}

} // namespace toucan::edge
