#include "store.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <stdexcept>

namespace toucan::review {

namespace {

using nlohmann::json;

constexpr milliseconds read_time{4};
constexpr milliseconds transaction_time{8};
constexpr milliseconds idle_limit{60000};
constexpr std::size_t max_rows = 500;
constexpr std::string_view base64_letters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encode_base64(const std::string& text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); n += 3) {
        std::uint32_t bits = 0;
        const auto count = std::min<std::size_t>(3, text.size() - n);
        for (std::size_t k = 0; k < 3; ++k) {
            bits = (bits << 8U) | (k < count ? static_cast<unsigned char>(text[n + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out.push_back(k <= count ? base64_letters[(bits >> (18U - 6U * k)) & 63U] : '=');
        }
    }
    return out;
}

std::string decode_base64(const std::string& text)
{
    std::string out;
    std::uint32_t bits = 0;
    unsigned count = 0;
    for (const char it : text) {
        const auto value = base64_letters.find(it);
        if (value == std::string_view::npos) {
            break;
        }
        bits = (bits << 6U) | static_cast<std::uint32_t>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            out.push_back(static_cast<char>((bits >> count) & 255U));
        }
    }
    return out;
}

std::uint64_t number_field(const std::string& target, const char* name)
{
    return std::strtoull(query_field(target, name).c_str(), nullptr, 10);
}

} // namespace

store::store(const address& at)
{
    server_ = std::make_unique<server>(at, [this](connection& peer) { serve(peer); });
}

store::~store()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    server_.reset();
}

void store::put(const std::string& table, const std::string& key, const json& value)
{
    const std::lock_guard lock(mutex_);
    tables_[table][key] = {value.dump(), ++version_, false};
    note_change(table);
    changed_.notify_all();
}

void store::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard lock(mutex_);
    tables_[table][key] = {{}, ++version_, true};
    note_change(table);
    changed_.notify_all();
}

std::size_t store::size(const std::string& table)
{
    const std::lock_guard lock(mutex_);
    const auto& rows = tables_[table];
    return static_cast<std::size_t>(std::count_if(rows.begin(), rows.end(), [](const auto& it) {
        return it.second.version != 0 && !it.second.removed;
    }));
}

void store::lose_next_answers(const std::string& table)
{
    const std::lock_guard lock(mutex_);
    losing_[table] = true;
}

std::size_t store::lost_answers()
{
    const std::lock_guard lock(mutex_);
    return lost_answers_;
}

std::size_t store::given_answers()
{
    const std::lock_guard lock(mutex_);
    return given_answers_;
}

void store::note_change(const std::string& table)
{
    if (std::exchange(losing_[table], false)) {
        lost_versions_[table] = version_;
    }
}

void store::serve(connection& peer)
{
    message request;
    while (peer.read(request, idle_limit) == read_end::complete) {
        const auto reply = answer(request);
        if (!reply) {
            // The connection stays open and delivers nothing further.
            while (peer.read(request, idle_limit) == read_end::complete) {
            }
            return;
        }
        if (!peer.send(format_message(*reply))) {
            return;
        }
        const std::lock_guard lock(mutex_);
        ++given_answers_;
    }
}

std::optional<message> store::answer(const message& request)
{
    const auto target = request.target();
    const auto path = target.substr(0, target.find('?'));
    if (path == "/toucanpoint/rows-tx") {
        std::this_thread::sleep_for(transaction_time);
        return transaction(request.body);
    }
    std::this_thread::sleep_for(read_time);
    if (path == "/toucanpoint/rows-get") {
        return get(target);
    }
    if (path == "/toucanpoint/rows-feed") {
        return feed(target);
    }
    return message{"HTTP/1.1 404 Not Found", {}, {}};
}

message store::transaction(const std::string& body)
{
    const auto call = json::parse(body);
    const std::lock_guard lock(mutex_);
    auto current = json::array();
    bool holds = true;
    for (const auto& it : call.at("expected_revision")) {
        const std::string table = it.at("table");
        const std::string key = it.at("key");
        const auto& known = tables_[table][key];
        const auto version = known.removed ? 0 : known.version;
        holds = holds && version == it.at("row_version").get<std::uint64_t>();
        if (version != 0) {
            current.push_back(describe(table, key, known));
        }
    }
    if (!holds) {
        return rows_answer(412, std::move(current), false);
    }
    for (const auto* list : {"puts", "remove"}) {
        for (const auto& it : call.at(list)) {
            if (it.at("table") == "op" || it.at("table") == "servers") {
                return rows_answer(403, json::array(), false);
            }
        }
    }
    ++version_;
    for (const auto& it : call.at("puts")) {
        tables_[it.at("table")][it.at("key")] = {decode_base64(it.at("value")), version_, false};
    }
    for (const auto& it : call.at("remove")) {
        tables_[it.at("table")][it.at("key")] = {{}, version_, true};
    }
    changed_.notify_all();
    return rows_answer(200, json::array(), false);
}

message store::get(const std::string& target)
{
    const auto table = query_field(target, "table");
    const auto from = query_field(target, "from");
    const auto end = query_field(target, "target");
    const auto asked = number_field(target, "limit");
    const auto limit = asked == 0 ? max_rows : std::min<std::size_t>(asked, max_rows);
    const std::lock_guard lock(mutex_);
    auto rows = json::array();
    bool more = false;
    for (const auto& [key, it] : tables_[table]) {
        if (it.removed || it.version == 0 || key < from || (!end.empty() && key >= end)) {
            continue;
        }
        if (rows.size() == limit) {
            more = true;
            break;
        }
        rows.push_back(describe(table, key, it));
    }
    return rows_answer(200, std::move(rows), more);
}

std::optional<message> store::feed(const std::string& target)
{
    const auto table = query_field(target, "table");
    const auto after = number_field(target, "after");
    const auto until = steady_clock::now() + milliseconds(number_field(target, "wait_ms"));
    std::unique_lock lock(mutex_);
    auto rows = changes(table, after);
    const bool waits = rows.empty();
    while (rows.empty() && !stopping_ &&
           changed_.wait_until(lock, until) == std::cv_status::no_timeout) {
        rows = changes(table, after);
    }
    const auto lost = lost_versions_.find(table);
    if (waits && !rows.empty() && lost != lost_versions_.end() &&
        rows.back().at("row_version") == lost->second) {
        ++lost_answers_;
        return std::nullopt;
    }
    return rows_answer(200, std::move(rows), false);
}

json store::describe(const std::string& table, const std::string& key, const row& it) const
{
    json out = {{"table", table}, {"part", ""}, {"key", key}, {"row_version", it.version}};
    if (it.removed) {
        out["removed"] = true;
    }
    else {
        out["value"] = encode_base64(it.value);
    }
    return out;
}

json store::changes(const std::string& table, std::uint64_t after) const
{
    std::vector<json> rows;
    if (const auto found = tables_.find(table); found != tables_.end()) {
        for (const auto& [key, it] : found->second) {
            if (it.version > after) {
                rows.push_back(describe(table, key, it));
            }
        }
    }
    std::sort(rows.begin(), rows.end(), [](const json& lhs, const json& rhs) {
        return lhs.at("row_version") < rhs.at("row_version");
    });
    return rows;
}

message store::rows_answer(int status, json rows, bool more) const
{
    const double now = std::chrono::duration<double>(steady_clock::now() - started_).count();
    const json body = {
        {"rows", std::move(rows)}, {"has_more", more}, {"row_version", version_}, {"now_s", now}};
    return {"HTTP/1.1 " + std::to_string(status) + " Answer",
            {{"Content-Type", "application/json"}},
            body.dump()};
}

} // namespace toucan::review
