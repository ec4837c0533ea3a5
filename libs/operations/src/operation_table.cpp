#include "toucan/operations/operation_table.h"

#include "toucan/operations/outcomes.h"
#include "toucan/operations/reasons.h"

#include <absl/time/time.h>

#include <algorithm>

namespace toucan::operations {

namespace {

std::size_t body_size(const outcome& it)
{
    const auto* const done = std::get_if<completed>(&it);
    if (done == nullptr) {
        return 0;
    }
    std::size_t size = done->response.body.size();
    for (const auto& header : done->response.headers) {
        size += sizeof(header) + header.name.size() + header.value.size();
    }
    return size;
}

} // namespace

operation_table::operation_table(const clock& time, limits limit) : clock_(time), limits_(limit)
{
    // The node, its slot in the map and its place in the order.
    counts_.bytes_per_record = sizeof(entry) + 2 * sizeof(void*) + sizeof(entry*);
}

operation_table::operation_table(const clock& time) : operation_table(time, limits{}) {}

bool operation_table::has_room(const operation_key& key)
{
    if (key.prefix.number >= closed_below_ && records_.size() < limits_.records) {
        return true;
    }
    // One number stands for all refused keys, because there is no room for a record of each. All
    // keys without a record up to here are refused, so no refusal is followed by an execution.
    closed_below_ = std::max(closed_below_, key.prefix.number + 1);
    ++counts_.refused_full;
    return false;
}

operation_table::entry& operation_table::insert(const operation_key& key)
{
    auto& it = *records_.try_emplace(shorten(key)).first;
    it.second.serial = first_serial_ + order_.size();
    it.second.hold_until = clock_.now() + limits_.hold;
    order_.push_back(&it);
    ++counts_.in_progress;
    return it;
}

begin_result operation_table::begin(const operation_key& key,
                                    absl::FunctionRef<key_validity()> validity)
{
    const absl::MutexLock lock(&mutex_);
    if (const auto it = records_.find(shorten(key)); it != records_.end()) {
        if (!it->second.finished) {
            return operation_in_progress{};
        }
        return operation_finished{recorded(it->second)};
    }
    if (const auto found = validity(); found != key_validity::valid) {
        return operation_expired{found};
    }
    if (!has_room(key)) {
        return operation_table_full{};
    }
    return operation_started{{key, insert(key).second.serial}};
}

std::optional<outcome> operation_table::wait(const operation_key& key, steady_time deadline) const
{
    const auto settled = [this, &key] {
        const auto it = records_.find(shorten(key));
        return it == records_.end() || it->second.finished;
    };
    const absl::MutexLock lock(&mutex_);
    const auto left = std::max<std::chrono::nanoseconds>(deadline - clock_.now(), {});
    mutex_.AwaitWithTimeout(absl::Condition(&settled), absl::FromChrono(left));
    const auto it = records_.find(shorten(key));
    if (it == records_.end() || !it->second.finished) {
        return std::nullopt;
    }
    return recorded(it->second);
}

outcome operation_table::recorded(const record& it)
{
    return it.result ? *it.result : not_known(reasons::response_dropped);
}

void operation_table::store(record& it, outcome result)
{
    it.finished = true;
    it.result = std::make_unique<const outcome>(std::move(result));
    --counts_.in_progress;
    if (const auto size = body_size(*it.result); size > 0) {
        it.has_body = true;
        ++counts_.held_bodies;
        counts_.body_bytes += size;
        evict_serial_ = std::min(evict_serial_, it.serial);
        drop_bodies();
    }
}

void operation_table::finish(const operation_token& token, outcome result)
{
    const absl::MutexLock lock(&mutex_);
    const auto it = records_.find(shorten(token.key));
    if (it == records_.end() || it->second.serial != token.serial || it->second.finished) {
        return;
    }
    store(it->second, std::move(result));
}

std::optional<outcome> operation_table::refuse(const operation_key& key, not_run refusal)
{
    const absl::MutexLock lock(&mutex_);
    if (const auto it = records_.find(shorten(key)); it != records_.end()) {
        return it->second.finished ? std::optional(recorded(it->second)) : std::nullopt;
    }
    if (has_room(key)) {
        store(insert(key).second, refusal);
    }
    return refusal;
}

bool operation_table::is_running(const operation_token& token) const
{
    const absl::MutexLock lock(&mutex_);
    const auto it = records_.find(shorten(token.key));
    return it != records_.end() && it->second.serial == token.serial && !it->second.finished;
}

void operation_table::drop_bodies()
{
    const auto end = first_serial_ + order_.size();
    for (evict_serial_ = std::max(evict_serial_, first_serial_);
         counts_.body_bytes > limits_.body_bytes && evict_serial_ < end; ++evict_serial_) {
        auto& it = order_[evict_serial_ - first_serial_]->second;
        if (!it.has_body) {
            continue;
        }
        counts_.body_bytes -= body_size(*it.result);
        --counts_.held_bodies;
        ++counts_.dropped_bodies;
        it.has_body = false;
        it.result.reset();
    }
}

std::size_t operation_table::purge()
{
    const absl::MutexLock lock(&mutex_);
    const auto now = clock_.now();
    std::size_t n = 0;
    while (!order_.empty()) {
        const auto& [key, it] = *order_.front();
        // An operation in progress holds up those started after it, until it ends.
        if (!it.finished || it.hold_until > now) {
            break;
        }
        if (it.has_body) {
            counts_.body_bytes -= body_size(*it.result);
            --counts_.held_bodies;
        }
        records_.erase(records_.find(key));
        order_.pop_front();
        ++first_serial_;
        ++n;
    }
    return n;
}

operation_table::counts operation_table::read_counts() const
{
    const absl::MutexLock lock(&mutex_);
    auto it = counts_;
    it.records = records_.size();
    return it;
}

} // namespace toucan::operations
