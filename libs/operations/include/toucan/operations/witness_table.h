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

/// What a witness knows about a key after it sealed the owner.
enum class seal_verdict : std::uint8_t {
    /// The owner was allowed to dispatch the key: it may have run.
    intent_recorded,
    /// The owner was not allowed to dispatch the key and never will be: it did not run.
    never_dispatched,
    /// The intent may have been recorded and dropped again: nothing is known.
    not_known,
    /// The key names another witness incarnation.
    not_the_witness,
};

/// Intents and seals of other owners, held by one witness incarnation. Thread-safe.
///
/// `never_dispatched` must stay true although intents are dropped to bound the memory, and the
/// witness does not know when a prefix was issued. Three rules keep it true:
/// 1. Dropping an intent raises the floor of its owner above the issue number of the key. A key
///    below the floor without an intent is answered `not_known`. Every intent at or above the floor
///    is still held, so `never_dispatched` is said only of keys whose intent was never recorded.
/// 2. A seal lives as long as the state of its owner.
/// 3. Dropping the state of an owner closes all incarnations up to it, of any owner, that have no
///    state: their intents are refused as sealed and their keys are answered `not_known`. An owner
///    that is closed while alive gets its intents refused, and uses another witness.
/// An intent is dropped after the validity of a prefix plus the hold time, when the owner no longer
/// holds a record for it either, or earlier when the table is full.
class witness_table {
public:
    struct limits {
        std::size_t intents = config::max_intents;
        std::size_t owners = config::max_owners;
        std::chrono::milliseconds hold =
            toucan::config::key_prefix_validity + toucan::config::operation_record_hold;
    };

    struct counts {
        std::size_t owners = 0;
        std::size_t sealed = 0;
        std::size_t intents = 0;
        std::uint64_t dropped_intents = 0;
        std::uint64_t dropped_owners = 0;
    };

    /// @param self incarnation that keys must name as witness.
    /// @param time clock for the hold time.
    /// @param limit bounds of the table.
    witness_table(vm_id self, const clock& time, limits limit);
    witness_table(vm_id self, const clock& time);

    /// The owner is about to dispatch a key. Repeating an accepted intent is accepted again.
    /// @param key key that names this witness.
    rpc::intent_verdict record_intent(const operation_key& key);

    /// Refuses all later intents of the owner incarnation, and says what is known about the key.
    /// @param key key whose owner is sealed.
    seal_verdict seal(const operation_key& key);

    /// @param owner owner incarnation.
    [[nodiscard]] bool is_sealed(vm_id owner) const;

    /// Drops intents past their hold time.
    /// @return number of intents dropped.
    std::size_t purge();

    [[nodiscard]] counts read_counts() const;

private:
    using short_key = std::pair<std::uint64_t, std::uint64_t>;

    struct owner_state {
        bool sealed = false;
        std::uint64_t floor = 0;
        steady_time last_use;
        /// Issue number and caller number; owner and witness are the same for all.
        absl::flat_hash_set<short_key> intents;
    };

    struct held_intent {
        vm_id owner;
        short_key key;
        steady_time hold_until;
    };

    /// The state of an owner, or null if its incarnation is closed.
    owner_state* state_of(vm_id owner);
    void drop_oldest_intent();
    void drop_idle_owner();

    vm_id self_;
    const clock& clock_;
    limits limits_;
    mutable absl::Mutex mutex_;
    absl::flat_hash_map<vm_id, owner_state> owners_;
    std::deque<held_intent> order_;
    /// Owners without state and with an incarnation up to this one are closed.
    incarnation closed_through_;
    counts counts_;
};

} // namespace toucan::operations
