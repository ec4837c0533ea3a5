#pragma once

#include "toucan/base/clock.h"
#include "toucan/base/config.h"
#include "toucan/base/vm_id.h"
#include "toucan/operations/config.h"
#include "toucan/operations/operation_key.h"
#include "toucan/rpc/intent_reply.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>

namespace toucan::operations {

/// Verdict of a witness about a key after it has sealed the owner.
enum class seal_verdict : std::uint8_t {
    /// The intent was accepted: the key may have run.
    intent_recorded,
    /// No intent was accepted and none will be: the key did not run and cannot run later.
    never_dispatched,
    /// The intent may have been recorded and dropped since: the key may have run.
    not_known,
    /// The key names another witness incarnation.
    not_the_witness,
};

/// Intents and seals of other owners, held by one witness incarnation. Thread-safe.
///
/// An intent is the notice of an owner that it is about to dispatch a key. A seal makes the witness
/// refuse all further intents of one owner incarnation.
///
/// A `never_dispatched` verdict must remain true although intents are dropped to limit memory and
/// the witness does not know when a prefix was issued. Three rules ensure this:
/// 1. Dropping an intent raises the low watermark of its owner above the issue number of the key.
///    Every intent at or above the watermark is still held. A key below the watermark without an
///    intent gets `not_known`, so only keys whose intent was never recorded get `never_dispatched`.
/// 2. A seal is kept as long as the state of its owner.
/// 3. Dropping the state of an owner closes all owners without state whose incarnation is equal or
///    lower: their intents are refused as sealed and their keys get `not_known`. A running owner
///    that is closed has its intents refused and uses another witness.
/// An intent is dropped after `limits::retention`, the validity of a prefix plus
/// `operation_record_retention`, when the owner no longer holds a record of the key either. It is
/// dropped earlier when the table is full.
class witness_table {
public:
    struct limits {
        std::size_t intents = config::max_intents;
        std::size_t owners = config::max_owners;
        std::chrono::milliseconds retention =
            toucan::config::key_prefix_validity + toucan::config::operation_record_retention;
    };

    struct counts {
        std::size_t owners = 0;
        std::size_t sealed = 0;
        std::size_t intents = 0;
        std::uint64_t dropped_intents = 0;
        std::uint64_t dropped_owners = 0;
    };

    /// @param self incarnation that keys must name as witness.
    /// @param time clock for the retention; must outlive the table.
    witness_table(vm_id self, const clock& time, limits limit);
    witness_table(vm_id self, const clock& time);

    /// Records that the owner is about to dispatch a key. A repeated intent is accepted again
    /// unless the owner was sealed since.
    rpc::intent_verdict record_intent(const operation_key& key);

    /// Seals the owner incarnation of the key.
    /// @return the verdict about the key.
    seal_verdict seal(const operation_key& key);

    /// Whether intents of the owner incarnation are refused.
    [[nodiscard]] bool is_sealed(vm_id owner) const;

    /// Drops intents whose retention has ended.
    /// @return number of queue entries removed, including those of owners dropped before.
    std::size_t purge();

    [[nodiscard]] counts read_counts() const;

private:
    using key_numbers = std::pair<std::uint64_t, std::uint64_t>;

    struct owner_state {
        bool sealed = false;
        /// Intents of keys with a lower issue number may have been dropped.
        std::uint64_t low_watermark = 0;
        steady_time last_used;
        /// Issue number and caller number of each key; owner and witness are the same for all.
        absl::flat_hash_set<key_numbers> intents;
    };

    struct recorded_intent {
        vm_id owner;
        key_numbers key;
        steady_time retained_until;
    };

    /// State of an owner, added if there is none; null if its incarnation is closed.
    owner_state* find_or_add_owner(vm_id owner);
    void drop_oldest_intent();
    void drop_least_recent_owner();

    vm_id self_;
    const clock& clock_;
    limits limits_;
    mutable absl::Mutex mutex_;
    absl::flat_hash_map<vm_id, owner_state> owners_;
    std::deque<recorded_intent> intents_by_age_;
    /// Owners without state whose incarnation is at most this one are closed.
    incarnation closed_through_;
    counts counts_;
};

} // namespace toucan::operations
