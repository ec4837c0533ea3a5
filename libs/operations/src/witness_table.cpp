#include "toucan/operations/witness_table.h"

#include <algorithm>
#include <tuple>

namespace toucan::operations {

witness_table::witness_table(vm_id self, const clock& time, limits limit)
    : self_(self), clock_(time), limits_(limit)
{
}

witness_table::witness_table(vm_id self, const clock& time) : witness_table(self, time, limits{}) {}

witness_table::owner_state* witness_table::find_or_add_owner(vm_id owner)
{
    auto it = owners_.find(owner);
    if (it == owners_.end()) {
        if (owner.run <= closed_through_) {
            return nullptr;
        }
        if (owners_.size() >= limits_.owners) {
            drop_least_recent_owner();
            if (owner.run <= closed_through_) {
                return nullptr;
            }
        }
        it = owners_.try_emplace(owner).first;
    }
    it->second.last_used = clock_.now();
    return &it->second;
}

rpc::intent_verdict witness_table::record_intent(const operation_key& key)
{
    if (key.prefix.witness != self_) {
        return rpc::intent_verdict::not_the_witness;
    }
    const absl::MutexLock lock(&mutex_);
    auto* const state = find_or_add_owner(key.prefix.owner);
    if (state == nullptr || state->sealed) {
        return rpc::intent_verdict::sealed;
    }
    const key_numbers it{key.prefix.number, key.n};
    if (state->intents.insert(it).second) {
        intents_by_age_.push_back({key.prefix.owner, it, clock_.now() + limits_.retention});
        ++counts_.intents;
        while (counts_.intents > limits_.intents) {
            drop_oldest_intent();
        }
    }
    return rpc::intent_verdict::accepted;
}

seal_verdict witness_table::seal(const operation_key& key)
{
    if (key.prefix.witness != self_) {
        return seal_verdict::not_the_witness;
    }
    const absl::MutexLock lock(&mutex_);
    auto* const state = find_or_add_owner(key.prefix.owner);
    if (state == nullptr) {
        return seal_verdict::not_known;
    }
    state->sealed = true;
    if (state->intents.contains({key.prefix.number, key.n})) {
        return seal_verdict::intent_recorded;
    }
    return key.prefix.number < state->low_watermark ? seal_verdict::not_known
                                                    : seal_verdict::never_dispatched;
}

bool witness_table::is_sealed(vm_id owner) const
{
    const absl::MutexLock lock(&mutex_);
    const auto it = owners_.find(owner);
    return it == owners_.end() ? owner.run <= closed_through_ : it->second.sealed;
}

void witness_table::drop_oldest_intent()
{
    const auto front = intents_by_age_.front();
    intents_by_age_.pop_front();
    // If the owner was dropped, its intents were subtracted from the count then.
    const auto it = owners_.find(front.owner);
    if (it == owners_.end()) {
        return;
    }
    it->second.intents.erase(front.key);
    it->second.low_watermark = std::max(it->second.low_watermark, front.key.first + 1);
    --counts_.intents;
    ++counts_.dropped_intents;
}

void witness_table::drop_least_recent_owner()
{
    const auto it =
        std::min_element(owners_.begin(), owners_.end(), [](const auto& lhs, const auto& rhs) {
            // Ties are broken by the owner, so the result does not depend on the order in the map.
            return std::tie(lhs.second.last_used, lhs.first) <
                   std::tie(rhs.second.last_used, rhs.first);
        });
    closed_through_ = std::max(closed_through_, it->first.run);
    counts_.intents -= it->second.intents.size();
    owners_.erase(it);
    ++counts_.dropped_owners;
}

std::size_t witness_table::purge()
{
    const absl::MutexLock lock(&mutex_);
    const auto now = clock_.now();
    std::size_t n = 0;
    for (; !intents_by_age_.empty() && intents_by_age_.front().retained_until <= now; ++n) {
        drop_oldest_intent();
    }
    return n;
}

witness_table::counts witness_table::read_counts() const
{
    const absl::MutexLock lock(&mutex_);
    auto it = counts_;
    it.owners = owners_.size();
    it.sealed = static_cast<std::size_t>(std::count_if(
        owners_.begin(), owners_.end(), [](const auto& other) { return other.second.sealed; }));
    return it;
}

} // namespace toucan::operations
