#include "soak_store.h"

#include "toucan/base/text.h"

#include <absl/strings/escaping.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace toucan::soak {

namespace {

using edge::error_code;

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds late_write_delay{2500};

template <typename Number>
Number query_number(std::string_view target, std::string_view name)
{
    return parse_number<Number>(query_value(target, name)).value_or(0);
}

} // namespace

soak_store::soak_store(edge::asio::io_context& loop, const clock& time)
    : loop_(loop), time_(time),
      server_(
          loop, time,
          [this](const edge::parsed_request& request, const edge::http_server::respond& respond) {
              return handle(request, respond);
          },
          [] { return edge::caller_limits{}; })
{
}

edge::http_server::cancel soak_store::handle(const edge::parsed_request& request,
                                             const edge::http_server::respond& respond)
{
    ++calls_;
    const auto& target = request.request.path;
    const auto path = target.substr(0, target.find('?'));
    if (fault_ == store_fault::unavailable) {
        respond({503, {}, {}});
        return {};
    }
    if (path == "/toucanpoint/rows-feed") {
        return watch_rows(target, respond);
    }
    if (path == "/toucanpoint/rows-tx" && fault_ == store_fault::late_writes) {
        const auto timer = std::make_shared<edge::asio::steady_timer>(loop_, late_write_delay);
        timer->async_wait(
            [this, timer, body = request.request.body](error_code) { apply_transaction(body); });
        return {};
    }
    const auto it =
        path == "/toucanpoint/rows-tx"
            ? apply_transaction(request.request.body)
            : rows_response(rows_after(std::string(query_value(target, "table")), 0, false));
    if (fault_ == store_fault::none || fault_ == store_fault::history_lost) {
        respond(it);
    }
    return {};
}

edge::http_server::cancel soak_store::watch_rows(const std::string& target,
                                                 const edge::http_server::respond& respond)
{
    const std::string table(query_value(target, "table"));
    const auto after = query_number<std::uint64_t>(target, "after");
    if (fault_ == store_fault::lost_replies || fault_ == store_fault::late_writes) {
        return {};
    }
    if (after < oldest_version_) {
        respond({410, {}, {}});
        return {};
    }
    auto rows = rows_after(table, after, true);
    const auto wait = query_number<std::int64_t>(target, "wait_ms");
    if (!rows.empty() || wait == 0) {
        respond(rows_response(std::move(rows)));
        return {};
    }
    const auto it = std::make_shared<pending_watch>(
        pending_watch{table, after, respond,
                      std::make_unique<edge::asio::steady_timer>(loop_, milliseconds(wait))});
    pending_watches_.push_back(it);
    it->timer->async_wait([this, weak = std::weak_ptr(it)](error_code ec) {
        if (const auto call = weak.lock(); call && !ec) {
            pending_watches_.remove(call);
            call->respond(rows_response(json::array()));
        }
    });
    return [this, weak = std::weak_ptr(it)] {
        if (const auto call = weak.lock()) {
            call->timer->cancel();
            pending_watches_.remove(call);
        }
    };
}

http_response soak_store::apply_transaction(const std::string& body)
{
    const auto call = json::parse(body);
    for (const auto& it : call.at("expected_revision")) {
        const auto& table = tables_[it.at("table")];
        const auto known = table.find(it.at("key"));
        const bool exists = known != table.end() && !known->second.removed;
        if ((exists ? known->second.version : 0) != it.at("row_version").get<std::uint64_t>()) {
            return {412, {}, R"({"rows":[]})"};
        }
    }
    for (const auto& it : call.at("puts")) {
        std::string value;
        absl::Base64Unescape(it.at("value").get<std::string>(), &value);
        write_row(it.at("table"), it.at("key"), {value, ++version_, false});
    }
    for (const auto& it : call.at("remove")) {
        write_row(it.at("table"), it.at("key"), {{}, ++version_, true});
    }
    return rows_response(json::array());
}

void soak_store::put(const std::string& table, const std::string& key, const json& value)
{
    put_bytes(table, key, value.dump());
}

void soak_store::put_bytes(const std::string& table, const std::string& key, std::string value)
{
    write_row(table, key, {std::move(value), ++version_, false});
}

void soak_store::remove(const std::string& table, const std::string& key)
{
    write_row(table, key, {{}, ++version_, true});
}

void soak_store::write_row(const std::string& table, const std::string& key, row it)
{
    tables_[table][key] = std::move(it);
    std::list<std::shared_ptr<pending_watch>> due;
    for (const auto& call : pending_watches_) {
        if (call->table == table) {
            due.push_back(call);
        }
    }
    for (const auto& call : due) {
        pending_watches_.remove(call);
        call->timer->cancel();
        if (fault_ == store_fault::none || fault_ == store_fault::history_lost) {
            call->respond(rows_response(rows_after(table, call->after, true)));
        }
    }
}

void soak_store::set_fault(store_fault it)
{
    fault_ = it;
    if (it == store_fault::history_lost) {
        oldest_version_ = version_;
    }
    if (it == store_fault::unavailable) {
        for (const auto& call : std::exchange(pending_watches_, {})) {
            call->timer->cancel();
            call->respond({503, {}, {}});
        }
    }
}

json soak_store::rows_after(const std::string& table, std::uint64_t after, bool with_removed) const
{
    auto rows = json::array();
    const auto found = tables_.find(table);
    if (found == tables_.end()) {
        return rows;
    }
    for (const auto& [key, it] : found->second) {
        if (it.version <= after || (it.removed && !with_removed)) {
            continue;
        }
        json row_json = {{"table", table}, {"part", ""}, {"key", key}, {"row_version", it.version}};
        if (it.removed) {
            row_json["removed"] = true;
        }
        else {
            row_json["value"] = absl::Base64Escape(it.value);
        }
        rows.push_back(std::move(row_json));
    }
    return rows;
}

http_response soak_store::rows_response(json rows) const
{
    const double now = std::chrono::duration<double>(time_.now().time_since_epoch()).count();
    const json body = {
        {"rows", std::move(rows)}, {"row_version", version_}, {"has_more", false}, {"now_s", now}};
    return {200, {{"Content-Type", "application/json"}}, body.dump()};
}

} // namespace toucan::soak
