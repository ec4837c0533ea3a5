#include "toucan/operations/key_issuer.h"

#include "toucan/base/config.h"
#include "toucan/operations/config.h"

#include <algorithm>

namespace toucan::operations {

key_issuer::key_issuer(vm_id self, const clock& time) : self_(self), clock_(time) {}

void key_issuer::set_witness(std::optional<vm_id> witness)
{
    const absl::MutexLock lock(&mutex_);
    const bool excluded =
        witness && std::find(excluded_witnesses_.begin(), excluded_witnesses_.end(), *witness) !=
                       excluded_witnesses_.end();
    witness_ = excluded ? std::nullopt : witness;
}

std::optional<vm_id> key_issuer::witness() const
{
    const absl::MutexLock lock(&mutex_);
    return witness_;
}

void key_issuer::exclude_witness(vm_id witness)
{
    const absl::MutexLock lock(&mutex_);
    if (witness_ == witness) {
        witness_.reset();
    }
    if (std::find(excluded_witnesses_.begin(), excluded_witnesses_.end(), witness) !=
        excluded_witnesses_.end()) {
        return;
    }
    excluded_witnesses_.push_back(witness);
    if (excluded_witnesses_.size() > config::max_excluded_witnesses) {
        excluded_witnesses_.pop_front();
    }
}

bool key_issuer::is_excluded(vm_id witness) const
{
    const absl::MutexLock lock(&mutex_);
    return std::find(excluded_witnesses_.begin(), excluded_witnesses_.end(), witness) !=
           excluded_witnesses_.end();
}

key_prefix key_issuer::issue()
{
    const absl::MutexLock lock(&mutex_);
    const auto now = clock_.now();
    if (checkpoints_.empty() || checkpoints_.back().witness != witness_ ||
        now - checkpoints_.back().issued_at >= config::issue_checkpoint_interval) {
        checkpoints_.push_back({next_number_, now, witness_});
    }
    while (checkpoints_.size() > config::max_issue_checkpoints ||
           now - checkpoints_.front().issued_at >= toucan::config::key_prefix_validity) {
        checkpoints_.pop_front();
    }
    return {self_, witness_, next_number_++};
}

key_validity key_issuer::check(const key_prefix& prefix) const
{
    const absl::MutexLock lock(&mutex_);
    if (prefix.owner != self_ || prefix.number == 0 || prefix.number >= next_number_) {
        return key_validity::not_issued;
    }
    auto it = std::upper_bound(
        checkpoints_.begin(), checkpoints_.end(), prefix.number,
        [](std::uint64_t number, const checkpoint& other) { return number < other.first_number; });
    if (it == checkpoints_.begin()) {
        return key_validity::expired;
    }
    --it;
    if (it->witness != prefix.witness) {
        return key_validity::not_issued;
    }
    return clock_.now() - it->issued_at < toucan::config::key_prefix_validity
               ? key_validity::valid
               : key_validity::expired;
}

std::uint64_t key_issuer::issued_count() const
{
    const absl::MutexLock lock(&mutex_);
    return next_number_ - 1;
}

std::size_t key_issuer::checkpoint_count() const
{
    const absl::MutexLock lock(&mutex_);
    return checkpoints_.size();
}

} // namespace toucan::operations
