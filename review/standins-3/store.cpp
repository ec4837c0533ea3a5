#include "store.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace review {

namespace {

using nlohmann::json;

constexpr milliseconds idle_limit{60000};
constexpr std::string_view base64_digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr unsigned digit_bits = 6;
constexpr unsigned byte_bits = 8;
constexpr unsigned digit_mask = 0x3f;
constexpr unsigned byte_mask = 0xff;

std::string to_base64(const std::string& bytes)
{
    std::string text;
    unsigned bits = 0;
    unsigned held = 0;
    for (const char it : bytes) {
        bits = bits << byte_bits | static_cast<unsigned char>(it);
        held += byte_bits;
        while (held >= digit_bits) {
            held -= digit_bits;
            text.push_back(base64_digits[bits >> held & digit_mask]);
        }
    }
    if (held > 0) {
        text.push_back(base64_digits[bits << (digit_bits - held) & digit_mask]);
    }
    while (text.size() % 4 != 0) {
        text.push_back('=');
    }
    return text;
}

std::string from_base64(const std::string& text)
{
    std::string bytes;
    unsigned bits = 0;
    unsigned held = 0;
    for (const char it : text) {
        const auto digit = base64_digits.find(it);
        if (digit == std::string_view::npos) {
            break;
        }
        bits = bits << digit_bits | static_cast<unsigned>(digit);
        held += digit_bits;
        if (held >= byte_bits) {
            held -= byte_bits;
            bytes.push_back(static_cast<char>(bits >> held & byte_mask));
        }
    }
    return bytes;
}

std::string query(const std::string& target, const std::string& name)
{
    for (auto at = target.find('?'); at != std::string::npos; at = target.find('&', at + 1)) {
        if (target.compare(at + 1, name.size() + 1, name + "=") == 0) {
            const auto begin = at + 2 + name.size();
            const auto text = target.substr(begin, target.find('&', begin) - begin);
            std::string value;
            for (std::size_t n = 0; n < text.size(); ++n) {
                if (text[n] == '%' && n + 2 < text.size()) {
                    constexpr int hexadecimal = 16;
                    value.push_back(static_cast<char>(
                        std::strtoul(text.substr(n + 1, 2).c_str(), nullptr, hexadecimal)));
                    n += 2;
                }
                else {
                    value.push_back(text[n]);
                }
            }
            return value;
        }
    }
    return {};
}

std::uint64_t query_number(const std::string& target, const std::string& name)
{
    return std::strtoull(query(target, name).c_str(), nullptr, 10);
}

} // namespace

std::string store::response(const std::string& status, const std::string& body) const
{
    return "HTTP/1.1 " + status +
           "\r\nContent-Type: application/json\r\nStore-Era: " + std::to_string(era_) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

store::store() : listener_([this](link& from) { serve(from); }) {}

void store::serve(link& from)
{
    while (true) {
        const auto request = from.read(idle_limit, false);
        if (!request || !from.send(answer(*request))) {
            return;
        }
    }
}

std::string store::answer(const message& request)
{
    const auto target = request.target();
    const auto path = target.substr(0, target.find('?'));
    if (path == "/toucanpoint/rows-feed") {
        return feed(target);
    }
    const std::lock_guard lock(mutex_);
    if (down_) {
        return response("503 Service Unavailable", "");
    }
    if (path == "/toucanpoint/rows-get") {
        return read_rows(target);
    }
    return path == "/toucanpoint/rows-tx" ? transact(request.body) : response("404 Not Found", "");
}

std::string store::read_rows(const std::string& target)
{
    return rows_of(query(target, "table"), 0, false, query(target, "from"),
                   query(target, "target"));
}

std::string store::feed(const std::string& target)
{
    const auto table = query(target, "table");
    const auto after = query_number(target, "after");
    const auto until =
        std::chrono::steady_clock::now() + milliseconds(query_number(target, "wait_ms"));
    std::unique_lock lock(mutex_);
    const auto era = era_;
    changed_.wait_until(lock, until, [&] {
        if (down_ || stopped_ || era_ != era) {
            return true;
        }
        const auto& rows = tables_[table];
        return std::any_of(rows.begin(), rows.end(),
                           [&](const auto& it) { return it.second.version > after; });
    });
    if (down_) {
        return response("503 Service Unavailable", "");
    }
    return after > version_ || era_ != era ? response("410 Gone", "")
                                           : rows_of(table, after, true, {}, {});
}

std::string store::rows_of(const std::string& table, std::uint64_t after, bool with_removed,
                           const std::string& from, const std::string& to)
{
    std::multimap<std::uint64_t, json> by_version;
    auto rows = json::array();
    for (const auto& [key, it] : tables_[table]) {
        const bool outside = key < from || (!to.empty() && key >= to);
        if (it.version <= after || (it.removed && !with_removed) || outside) {
            continue;
        }
        json row = {{"table", table}, {"part", ""}, {"key", key}, {"row_version", it.version}};
        if (it.removed) {
            row["removed"] = true;
        }
        else {
            row["value"] = to_base64(it.value);
        }
        if (with_removed) {
            by_version.emplace(it.version, std::move(row));
        }
        else {
            rows.push_back(std::move(row));
        }
    }
    for (auto& it : by_version) {
        rows.push_back(std::move(it.second));
    }
    const json body = {{"rows", std::move(rows)},
                       {"row_version", version_},
                       {"has_more", false},
                       {"now_s", static_cast<double>(elapsed().count()) / 1e3}};
    return response("200 OK", body.dump());
}

std::string store::transact(const std::string& body)
{
    const auto call = json::parse(body);
    for (const auto& it : call.at("expected_revision")) {
        const auto& table = tables_[it.at("table")];
        const auto known = table.find(it.at("key"));
        const bool exists = known != table.end() && !known->second.removed;
        if ((exists ? known->second.version : 0) != it.at("row_version").get<std::uint64_t>()) {
            return response("412 Precondition Failed", R"({"rows":[]})");
        }
    }
    ++version_;
    for (const auto& it : call.at("puts")) {
        write_row(it.at("table"), it.at("key"), {from_base64(it.at("value")), version_, false});
    }
    for (const auto& it : call.at("remove")) {
        write_row(it.at("table"), it.at("key"), {{}, version_, true});
    }
    const json result = {{"row_version", version_},
                         {"now_s", static_cast<double>(elapsed().count()) / 1e3}};
    return response("200 OK", result.dump());
}

void store::write_row(const std::string& table, const std::string& key, row it)
{
    tables_[table][key] = std::move(it);
    changed_.notify_all();
}

bool store::put(const std::string& table, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(mutex_);
    if (down_) {
        return false;
    }
    write_row(table, key, {value, ++version_, false});
    return true;
}

bool store::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard lock(mutex_);
    if (down_) {
        return false;
    }
    write_row(table, key, {{}, ++version_, true});
    return true;
}

void store::set_down(bool down)
{
    const std::lock_guard lock(mutex_);
    down_ = down;
    changed_.notify_all();
}

void store::copy()
{
    const std::lock_guard lock(mutex_);
    copied_ = tables_;
    copied_version_ = version_;
}

void store::restore()
{
    const std::lock_guard lock(mutex_);
    tables_ = copied_;
    version_ = copied_version_;
    ++era_;
    changed_.notify_all();
}

void store::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
        changed_.notify_all();
    }
    listener_.stop();
}

} // namespace review
