#pragma once

#include "toucan/base/clock.h"
#include "toucan/operations/key_prefix.h"
#include "toucan/operations/key_validity.h"

#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace toucan::operations {

/// Issues key prefixes for one incarnation and knows which of them are valid. Thread-safe.
///
/// Issue times are kept as checkpoints (first number, time, witness), at most one per second and
/// one per change of witness. Every number after a checkpoint counts as issued at its time, so a
/// prefix may expire up to a second early and never late.
class key_issuer {
public:
    /// @param self owner named in the prefixes.
    /// @param time monotonic time for the validity.
    key_issuer(vm_id self, const clock& time);

    /// @param witness member of the same failure domain, or nothing if there is no other. An
    /// excluded witness is treated as nothing.
    void set_witness(std::optional<vm_id> witness);
    [[nodiscard]] std::optional<vm_id> witness() const;

    /// Stops using a witness incarnation for good, because it sealed this owner or is gone.
    /// @param witness incarnation to exclude.
    void exclude_witness(vm_id witness);
    /// @param witness candidate.
    [[nodiscard]] bool is_excluded(vm_id witness) const;

    /// A new prefix with the present witness.
    key_prefix issue();
    /// @param prefix prefix of a presented key.
    [[nodiscard]] key_validity check(const key_prefix& prefix) const;

    [[nodiscard]] const vm_id& self() const { return self_; }
    [[nodiscard]] std::uint64_t issued() const;
    [[nodiscard]] std::size_t checkpoints() const;

private:
    struct checkpoint {
        std::uint64_t first = 0;
        steady_time issued_at;
        std::optional<vm_id> witness;
    };

    vm_id self_;
    const clock& clock_;
    mutable absl::Mutex mutex_;
    std::optional<vm_id> witness_;
    std::deque<vm_id> excluded_;
    std::deque<checkpoint> checkpoints_;
    std::uint64_t next_ = 1;
};

} // namespace toucan::operations
