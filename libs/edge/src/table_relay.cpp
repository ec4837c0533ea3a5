#include "table_relay.h"

#include "event_log.h"
#include "packed_text.h"
#include "peer.capnp.h"
#include "text.h"

#include "toucan/base/last_reason.h"

#include <capnp/message.h>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace toucan::edge {

namespace {

/// Longest wait of one watch call to a relay. Short, so that a failed relay is detected soon; the
/// repeated calls put no load on the store.
constexpr milliseconds max_relay_wait{1500};
/// Time beyond the wait after which a call to the relay times out.
constexpr milliseconds response_margin{500};
/// How long watches go to the store directly after a call to the relay has failed.
constexpr milliseconds relay_retry_delay{3000};
constexpr std::string_view path_prefix = "/tables/";

std::optional<table_result> read_changes(wire::TableChanges::Reader changes)
{
    table_result it;
    it.version = changes.getVersion();
    it.relayed = true;
    for (const auto row : changes.getRows()) {
        const auto value = row.getValue().asChars();
        it.rows.push_back({row.getKey().cStr(), std::string(value.begin(), value.size()),
                           row.getVersion(), row.getRemoved()});
    }
    return it;
}

} // namespace

std::string encode_changes(const table_result& it)
{
    capnp::MallocMessageBuilder message;
    auto changes = message.initRoot<wire::TableChanges>();
    changes.setVersion(it.version);
    auto rows = changes.initRows(static_cast<unsigned>(it.rows.size()));
    for (unsigned n = 0; n < rows.size(); ++n) {
        const auto& row = it.rows[n];
        rows[n].setKey(row.key);
        rows[n].setValue(
            kj::arrayPtr(reinterpret_cast<const kj::byte*>(row.value.data()), row.value.size()));
        rows[n].setVersion(row.version);
        rows[n].setRemoved(row.removed);
    }
    return packed_text(message);
}

std::optional<table_result> decode_changes(std::string_view bytes)
{
    return read_packed<wire::TableChanges>(bytes, "table changes", read_changes);
}

table_relay_server::table_relay_server(asio::io_context& loop, const clock& time)
    : loop_(loop), server_(
                       loop, time,
                       [this](const parsed_request& request, const http_server::respond& respond) {
                           return handle(request, respond);
                       },
                       [] { return caller_limits{}; })
{
}

http_response table_relay_server::answer(const table_watch& it, std::uint64_t after)
{
    if (!it.available()) {
        return {503, {}, {}};
    }
    const auto changes = it.changes(after);
    if (changes.error == table_error::history_lost) {
        return {410, {}, {}};
    }
    return {200, {{"Content-Type", "application/octet-stream"}}, encode_changes(changes)};
}

http_server::cancel table_relay_server::handle(const parsed_request& request,
                                               const http_server::respond& respond)
{
    const std::string_view target = request.request.path;
    const auto path = target.substr(0, target.find('?'));
    const auto found = path.substr(0, path_prefix.size()) == path_prefix
                           ? watches_.find(std::string(path.substr(path_prefix.size())))
                           : watches_.end();
    const auto after = parse_number<std::uint64_t>(query_value(target, "after"));
    const auto wait = parse_number<std::int64_t>(query_value(target, "wait_ms"));
    if (found == watches_.end() || !after || !wait) {
        respond({404, {}, {}});
        return {};
    }
    const auto& watch = *found->second;
    if (!watch.available() || watch.newest_row() > *after || *wait <= 0) {
        respond(answer(watch, *after));
        return {};
    }
    const auto it = std::make_shared<waiting_call>(loop_, watch, *after, respond);
    waiting_.push_back(it);
    const auto cancel = [this, weak = std::weak_ptr(it)] {
        if (const auto call = weak.lock()) {
            call->timer.cancel();
            waiting_.remove(call);
        }
    };
    it->timer.expires_after(std::min(milliseconds(*wait), max_relay_wait));
    it->timer.async_wait([weak = std::weak_ptr(it), cancel](error_code ec) {
        if (const auto call = weak.lock(); call && !ec) {
            cancel();
            call->respond(answer(*call->watch, call->after));
        }
    });
    return cancel;
}

void table_relay_server::changed(const table_watch& it)
{
    std::list<std::shared_ptr<waiting_call>> due;
    for (auto call = waiting_.begin(); call != waiting_.end();) {
        const auto next = std::next(call);
        if ((*call)->watch == &it && (!it.available() || it.newest_row() > (*call)->after)) {
            due.splice(due.end(), waiting_, call);
        }
        call = next;
    }
    for (const auto& call : due) {
        call->timer.cancel();
        call->respond(answer(it, call->after));
    }
}

relayed_table_client::relayed_table_client(asio::io_context& loop, const clock& time,
                                           table_client& store, relay_source relay)
    : loop_(loop), time_(time), store_(store), relay_(std::move(relay))
{
}

pooled_http_client& relayed_table_client::client_for(const vm_address& relay)
{
    auto& it = clients_[relay.to_string()];
    if (!it) {
        it = std::make_unique<pooled_http_client>(loop_, time_, relay);
    }
    return *it;
}

void relayed_table_client::bypass_relay()
{
    bypass_relay_until_ = time_.now() + relay_retry_delay;
}

void relayed_table_client::read(const std::string& table, handler done)
{
    // The relay may have an older state than this daemon.
    store_.read(table, std::move(done));
}

void relayed_table_client::watch(const std::string& table, std::uint64_t after, milliseconds wait,
                                 handler done)
{
    if (wait == milliseconds(0)) {
        bypass_relay();
    }
    const auto relay = time_.now() >= bypass_relay_until_ ? relay_() : std::nullopt;
    if (!relay) {
        store_.watch(table, after, wait, std::move(done));
        return;
    }
    const auto relay_wait = std::min(wait, max_relay_wait);
    auto target =
        fmt::format("{}{}?after={}&wait_ms={}", path_prefix, table, after, relay_wait.count());
    client_for(*relay).send(
        {"GET", std::move(target), {}, {}}, relay_wait + response_margin,
        [this, table, after, wait, done = std::move(done)](const http_result& answer) {
            const int status = answer.response ? answer.response->status : 0;
            auto changes = status == 200 ? decode_changes(answer.response->body) : std::nullopt;
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
                      status == 200 ? last_reason() : answer.reason);
            bypass_relay();
            store_.watch(table, after, wait, done);
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
