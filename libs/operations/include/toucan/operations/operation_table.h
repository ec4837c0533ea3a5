#pragma once

#include "toucan/base/clock.h"
#include "toucan/base/config.h"
#include "toucan/base/outcome.h"
#include "toucan/operations/begin_result.h"
#include "toucan/operations/key_validity.h"
#include "toucan/operations/operation_key.h"

#include <absl/container/node_hash_map.h>
#include <absl/functional/function_ref.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <utility>

namespace toucan::operations {

/// Operations owned by this incarnation, by key. Thread-safe.
///
/// A key is started at most once. Its first recorded outcome is final, also `not_run`: the key
/// never runs later. A record is held for the validity of a prefix plus the hold time, counted from
/// the start, which is at least prefix expiry plus the hold time. Since a key without a record is
/// started only while its prefix is valid, a purged key cannot start again.
class operation_table {
public:
    struct limits {
        std::size_t records = toucan::config::max_operation_records;
        std::size_t body_bytes = toucan::config::max_held_answer_bytes;
        std::chrono::milliseconds hold =
            toucan::config::key_prefix_validity + toucan::config::operation_record_hold;
    };

    struct counts {
        std::size_t records = 0;
        std::size_t in_progress = 0;
        std::size_t held_bodies = 0;
        std::size_t body_bytes = 0;
        std::uint64_t dropped_bodies = 0;
        std::uint64_t refused_full = 0;
        /// Estimate of the memory of one record without its response.
        std::size_t bytes_per_record = 0;
    };

    /// @param time clock for the hold time.
    /// @param limit bounds of the table.
    explicit operation_table(const clock& time, limits limit);
    explicit operation_table(const clock& time);

    /// Starts the operation, or says why not.
    /// @param key key of the operation.
    /// @param validity asked under the lock of the table when there is no record, so that no pause
    /// lies between the check of the prefix and the start.
    begin_result begin(const operation_key& key, absl::FunctionRef<key_validity()> validity);

    /// Waits for an operation that is in progress.
    /// @param key key of the operation.
    /// @param deadline when to give up.
    /// @return the outcome, or nothing if it is still in progress or there is no record.
    [[nodiscard]] std::optional<outcome> wait(const operation_key& key, steady_time deadline) const;

    /// Records the outcome. Only the first call for a token has an effect.
    /// @param token from `begin`.
    /// @param result outcome to record and hand to those who wait.
    void finish(const operation_token& token, outcome result);

    /// Refuses a key for good, if it was not started.
    /// @param key key that must never run.
    /// @param refusal outcome for later repetitions.
    /// @return the outcome that holds for the key: the refusal, or an earlier outcome; nothing if
    /// the operation is in progress.
    std::optional<outcome> refuse(const operation_key& key, not_run refusal);

    /// Whether the execution may still reach a backend server.
    /// @param token from `begin`.
    [[nodiscard]] bool is_running(const operation_token& token) const;

    /// Drops records past their hold time. Operations in progress are kept.
    /// @return number of records dropped.
    std::size_t purge();

    [[nodiscard]] counts read_counts() const;

private:
    struct record {
        std::uint64_t serial = 0;
        steady_time hold_until;
        bool finished = false;
        bool has_body = false;
        /// Empty while in progress, and after the response was dropped.
        std::unique_ptr<const outcome> result;
    };
    /// Issue number and caller number. The owner is the same for all keys, and one issue number
    /// has one witness.
    using short_key = std::pair<std::uint64_t, std::uint64_t>;
    using record_map = absl::node_hash_map<short_key, record>;
    using entry = record_map::value_type;

    entry& insert(const operation_key& key);
    [[nodiscard]] bool has_room(const operation_key& key);
    static short_key shorten(const operation_key& key) { return {key.prefix.number, key.n}; }
    static outcome recorded(const record& it);
    void store(record& it, outcome result);
    void drop_bodies();

    const clock& clock_;
    limits limits_;
    mutable absl::Mutex mutex_;
    record_map records_;
    /// Records in order of their serial; the front has serial `first_serial_`.
    std::deque<entry*> order_;
    std::uint64_t first_serial_ = 1;
    /// No record with a lower serial holds a response body.
    std::uint64_t evict_serial_ = 1;
    /// Keys with a lower issue number and no record are refused for good.
    std::uint64_t closed_below_ = 0;
    counts counts_;
};

} // namespace toucan::operations
