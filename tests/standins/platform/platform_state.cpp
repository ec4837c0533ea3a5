#include "platform_state.h"

#include <algorithm>

namespace toucan::standins {

using std::chrono::milliseconds;

void platform_faults::update(const nlohmann::json& body)
{
    outage = body.value("outage", outage);
    delay = milliseconds(body.value("delay_ms", delay.count()));
    lost_replies = body.value("lost_replies", lost_replies);
    late_writes = body.value("late_writes", late_writes);
    late_by = milliseconds(body.value("late_by_ms", late_by.count()));
    key_prefix = body.value("key_prefix", key_prefix);
    stale_revisions = body.value("stale_revisions", stale_revisions);
    writes_per_s = body.value("writes_per_s", writes_per_s);
    reads_per_s = body.value("reads_per_s", reads_per_s);
}

row_result platform_state::read(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    const auto it = rows_.find(key);
    if (it == rows_.end() || it->second.size() <= faults_.stale_revisions) {
        return {};
    }
    const auto revision = it->second.size() - faults_.stale_revisions;
    return {true, revision, it->second[revision - 1]};
}

row_result platform_state::write(const std::string& key, std::uint64_t expected_revision,
                                 const std::string& value)
{
    const std::lock_guard lock(mutex_);
    const auto it = rows_.find(key);
    const std::uint64_t current_revision = it == rows_.end() ? 0 : it->second.size();
    if (current_revision != expected_revision) {
        return {false, current_revision, current_revision == 0 ? std::string() : it->second.back()};
    }
    auto& values = rows_[key];
    values.push_back(value);
    return {true, values.size(), value};
}

std::optional<std::string> platform_state::object(const std::string& hash)
{
    const std::lock_guard lock(mutex_);
    const auto it = objects_.find(hash);
    return it == objects_.end() ? std::nullopt : std::optional(it->second);
}

void platform_state::put_object(const std::string& hash, const std::string& bytes)
{
    const std::lock_guard lock(mutex_);
    objects_.emplace(hash, bytes);
}

nlohmann::json platform_state::vms()
{
    const std::lock_guard lock(mutex_);
    return vms_;
}

void platform_state::set_vms(const nlohmann::json& list)
{
    const std::lock_guard lock(mutex_);
    vms_ = list;
}

void platform_state::update_faults(const nlohmann::json& body)
{
    const std::lock_guard lock(mutex_);
    faults_.update(body);
}

platform_faults platform_state::faults()
{
    const std::lock_guard lock(mutex_);
    return faults_;
}

bool platform_state::consume_lost_reply(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    if (faults_.lost_replies == 0 || !key.starts_with(faults_.key_prefix)) {
        return false;
    }
    --faults_.lost_replies;
    return true;
}

bool platform_state::consume_late_write(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    if (faults_.late_writes == 0 || !key.starts_with(faults_.key_prefix)) {
        return false;
    }
    --faults_.late_writes;
    return true;
}

bool platform_state::admit(bool is_write, const std::string& kind)
{
    const std::lock_guard lock(mutex_);
    auto& count = counts_[kind];
    const bool in_rate = is_write ? try_take_token(write_bucket_, faults_.writes_per_s)
                                  : try_take_token(read_bucket_, faults_.reads_per_s);
    if (faults_.outage || !in_rate) {
        ++count.refused;
        return false;
    }
    ++(is_write ? count.writes : count.reads);
    return true;
}

nlohmann::json platform_state::counters()
{
    const std::lock_guard lock(mutex_);
    nlohmann::json out = nlohmann::json::object();
    for (const auto& [kind, count] : counts_) {
        out[kind] = {{"reads", count.reads}, {"writes", count.writes}, {"refused", count.refused}};
    }
    return out;
}

bool platform_state::try_take_token(token_bucket& it, double rate)
{
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> elapsed = now - it.last;
    it.tokens = std::min(rate, it.tokens + elapsed.count() * rate);
    it.last = now;
    if (it.tokens < 1) {
        return false;
    }
    it.tokens -= 1;
    return true;
}

} // namespace toucan::standins
