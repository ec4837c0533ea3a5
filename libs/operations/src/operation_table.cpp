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
    // The map node, its slot in the map and its pointer in `records_by_serial_`.
    counts_.bytes_per_record = sizeof(entry) + 2 * sizeof(void*) + sizeof(entry*);
}

operation_table::operation_table(const clock& time) : operation_table(time, limits{}) {}

bool operation_table::admit(const operation_key& key)
{
    if (key.prefix.number >= refused_below_ && records_.size() < limits_.records) {
        return true;
    }
    // There is no room for a record of each refused key, so one number covers them all: every key
    // without a record up to this issue number is refused, and none can be executed later.
    refused_below_ = std::max(refused_below_, key.prefix.number + 1);
    ++counts_.refused_full;
    return false;
}

operation_table::entry& operation_table::insert(const operation_key& key)
{
    auto& it = *records_.try_emplace(numbers_of(key)).first;
    it.second.serial = first_serial_ + records_by_serial_.size();
    it.second.retained_until = clock_.now() + limits_.retention;
    records_by_serial_.push_back(&it);
    ++counts_.in_progress;
    return it;
}

begin_result operation_table::begin(const operation_key& key,
                                    absl::FunctionRef<key_validity()> validity)
{
    const absl::MutexLock lock(&mutex_);
    if (const auto it = records_.find(numbers_of(key)); it != records_.end()) {
        if (!it->second.finished) {
            return operation_in_progress{};
        }
        return operation_finished{recorded_outcome(it->second)};
    }
    if (const auto found = validity(); found != key_validity::valid) {
        return operation_key_invalid{found};
    }
    if (!admit(key)) {
        return operation_table_full{};
    }
    return operation_started{{key, insert(key).second.serial}};
}

std::optional<outcome> operation_table::wait(const operation_key& key, steady_time deadline) const
{
    const auto is_done = [this, &key] {
        const auto it = records_.find(numbers_of(key));
        return it == records_.end() || it->second.finished;
    };
    const absl::MutexLock lock(&mutex_);
    const auto left = std::max<std::chrono::nanoseconds>(deadline - clock_.now(), {});
    mutex_.AwaitWithTimeout(absl::Condition(&is_done), absl::FromChrono(left));
    const auto it = records_.find(numbers_of(key));
    if (it == records_.end() || !it->second.finished) {
        return std::nullopt;
    }
    return recorded_outcome(it->second);
}

outcome operation_table::recorded_outcome(const record& it)
{
    return it.result ? *it.result : make_unknown(reasons::response_dropped);
}

void operation_table::store_outcome(record& it, outcome result)
{
    it.finished = true;
    it.result = std::make_unique<const outcome>(std::move(result));
    --counts_.in_progress;
    if (const auto size = body_size(*it.result); size > 0) {
        it.has_body = true;
        ++counts_.held_bodies;
        counts_.body_bytes += size;
        next_evict_serial_ = std::min(next_evict_serial_, it.serial);
        evict_bodies();
    }
}

void operation_table::finish(const operation_token& token, outcome result)
{
    const absl::MutexLock lock(&mutex_);
    const auto it = records_.find(numbers_of(token.key));
    if (it == records_.end() || it->second.serial != token.serial || it->second.finished) {
        return;
    }
    store_outcome(it->second, std::move(result));
}

std::optional<outcome> operation_table::refuse(const operation_key& key, not_run refusal)
{
    const absl::MutexLock lock(&mutex_);
    if (const auto it = records_.find(numbers_of(key)); it != records_.end()) {
        return it->second.finished ? std::optional(recorded_outcome(it->second)) : std::nullopt;
    }
    if (admit(key)) {
        store_outcome(insert(key).second, refusal);
    }
    return refusal;
}

bool operation_table::is_running(const operation_token& token) const
{
    const absl::MutexLock lock(&mutex_);
    const auto it = records_.find(numbers_of(token.key));
    return it != records_.end() && it->second.serial == token.serial && !it->second.finished;
}

void operation_table::evict_bodies()
{
    const auto end = first_serial_ + records_by_serial_.size();
    for (next_evict_serial_ = std::max(next_evict_serial_, first_serial_);
         counts_.body_bytes > limits_.body_bytes && next_evict_serial_ < end;
         ++next_evict_serial_) {
        auto& it = records_by_serial_[next_evict_serial_ - first_serial_]->second;
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
    while (!records_by_serial_.empty()) {
        const auto& [key, it] = *records_by_serial_.front();
        // Records are removed in the order of their start. An operation in progress therefore
        // delays the removal of later ones until it finishes.
        if (!it.finished || it.retained_until > now) {
            break;
        }
        if (it.has_body) {
            counts_.body_bytes -= body_size(*it.result);
            --counts_.held_bodies;
        }
        records_.erase(records_.find(key));
        records_by_serial_.pop_front();
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
