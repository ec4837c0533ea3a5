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

/// Issues key prefixes for one incarnation and checks their validity. Thread-safe.
///
/// Issue times are stored as checkpoints (first number, time, witness), at most one per second and
/// one per change of witness. All numbers from a checkpoint up to the next one count as issued at
/// the time of the checkpoint, so a prefix may expire up to one second early but never late.
class key_issuer {
public:
    /// @param self owner named in the prefixes.
    /// @param time clock for the validity; must outlive the issuer.
    key_issuer(vm_id self, const clock& time);

    /// Sets the witness named in new prefixes.
    /// @param witness member of the same failure domain; nothing if there is no other member. An
    /// excluded witness counts as nothing.
    void set_witness(std::optional<vm_id> witness);
    [[nodiscard]] std::optional<vm_id> witness() const;

    /// Stops using a witness incarnation permanently, because it sealed this owner or no longer
    /// runs.
    void exclude_witness(vm_id witness);
    [[nodiscard]] bool is_excluded(vm_id witness) const;

    /// Issues a new prefix with the current witness.
    key_prefix issue();
    /// Validity of the prefix of a received key.
    [[nodiscard]] key_validity check(const key_prefix& prefix) const;

    [[nodiscard]] const vm_id& self() const { return self_; }
    /// Number of prefixes issued so far.
    [[nodiscard]] std::uint64_t issued_count() const;
    [[nodiscard]] std::size_t checkpoint_count() const;

private:
    struct checkpoint {
        std::uint64_t first_number = 0;
        steady_time issued_at;
        std::optional<vm_id> witness;
    };

    vm_id self_;
    const clock& clock_;
    mutable absl::Mutex mutex_;
    std::optional<vm_id> witness_;
    std::deque<vm_id> excluded_witnesses_;
    std::deque<checkpoint> checkpoints_;
    std::uint64_t next_number_ = 1;
};

} // namespace toucan::operations
