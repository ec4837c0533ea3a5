#include "table_relay_server.h"

#include "table_changes.h"

#include "toucan/base/text.h"

#include <algorithm>
#include <utility>

namespace toucan::edge {

namespace {

http_response body_response(std::string body, milliseconds store_time)
{
    return {200,
            {{"Content-Type", "application/octet-stream"},
             {std::string(store_time_header), std::to_string(store_time.count())}},
            std::move(body)};
}

} // namespace

table_relay_server::table_relay_server(asio::io_context& loop, const clock& time)
    : loop_(loop), server_(
                       loop, time,
                       [this](const parsed_request& request, const http_server::respond& respond) {
                           return handle(request, respond);
                       },
                       [] { return caller_limits{}; })
{
}

std::optional<table_relay_server::query> table_relay_server::parse(std::string_view target) const
{
    const auto path = target.substr(0, target.find('?'));
    if (path.substr(0, table_relay_path.size()) != table_relay_path) {
        return std::nullopt;
    }
    const auto found = watches_.find(path.substr(table_relay_path.size()));
    const auto after = parse_number<std::uint64_t>(query_value(target, "after"));
    const auto wait = parse_number<std::int64_t>(query_value(target, "wait_ms"));
    const bool snapshot = query_value(target, "snapshot") == "1";
    if (found == watches_.end() || !wait || !(after || snapshot)) {
        return std::nullopt;
    }
    query it;
    it.watch = found->second;
    it.after = after.value_or(0);
    it.era = parse_number<std::uint64_t>(query_value(target, "era"));
    it.wait = std::clamp(milliseconds(*wait), milliseconds(0), max_relay_wait);
    it.snapshot = snapshot;
    it.direct = query_value(target, "direct") == "1";
    return it;
}

bool table_relay_server::available(const query& it)
{
    const bool behind = it.era && *it.era > it.watch->era();
    return it.watch->available() && !behind && (!it.direct || it.watch->from_store());
}

bool table_relay_server::due(const query& it)
{
    if (it.snapshot) {
        return available(it);
    }
    return !available(it) || outdated(it) || it.watch->newest_row() > it.after;
}

const std::string& table_relay_server::snapshot_of(const table_watch& it)
{
    auto& kept = snapshots_[it.table()];
    if (kept.body.empty() || kept.position != it.position()) {
        kept = {it.position(), encode_changes(it.snapshot())};
    }
    return kept.body;
}

http_response table_relay_server::answer(const query& it)
{
    if (!available(it)) {
        return {503, {}, {}};
    }
    if (it.snapshot) {
        return body_response(snapshot_of(*it.watch), it.watch->state().store_time);
    }
    const auto changes = it.watch->changes(it.after);
    if (outdated(it) || changes.error == table_error::history_lost) {
        return {410, {}, {}};
    }
    return body_response(encode_changes(changes), changes.store_time);
}

http_server::cancel table_relay_server::handle(const parsed_request& request,
                                               const http_server::respond& respond)
{
    const auto asked = parse(request.request.path);
    if (!asked) {
        respond({404, {}, {}});
        return {};
    }
    if (due(*asked) || asked->wait == milliseconds(0)) {
        respond(answer(*asked));
        return {};
    }
    const auto it = std::make_shared<waiting_call>(loop_, *asked, respond);
    waiting_.push_back(it);
    const auto cancel = [this, weak = std::weak_ptr(it)] {
        if (const auto call = weak.lock()) {
            call->timer.cancel();
            waiting_.remove(call);
        }
    };
    it->timer.expires_after(asked->wait);
    it->timer.async_wait([this, weak = std::weak_ptr(it), cancel](error_code ec) {
        if (const auto call = weak.lock(); call && !ec) {
            cancel();
            call->respond(answer(call->what));
        }
    });
    return cancel;
}

void table_relay_server::changed(const table_watch& it)
{
    std::list<std::shared_ptr<waiting_call>> answered;
    for (auto call = waiting_.begin(); call != waiting_.end();) {
        const auto next = std::next(call);
        if ((*call)->what.watch == &it && due((*call)->what)) {
            answered.splice(answered.end(), waiting_, call);
        }
        call = next;
    }
    for (const auto& call : answered) {
        call->timer.cancel();
        call->respond(answer(call->what));
    }
}

} // namespace toucan::edge
