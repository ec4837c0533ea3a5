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
/// A key is started at most once. Its first recorded outcome is final: a key recorded as `not_run`
/// never runs later. A record is kept for `limits::retention`, counted from the start of the
/// operation. This is the validity of a prefix plus `operation_record_retention`, so a record
/// outlives the expiry of its prefix by at least `operation_record_retention`. A key without a
/// record is started only while its prefix is valid. A purged key therefore cannot start again.
class operation_table {
public:
    struct limits {
        std::size_t records = toucan::config::max_operation_records;
        std::size_t body_bytes = toucan::config::max_held_response_bytes;
        std::chrono::milliseconds retention =
            toucan::config::key_prefix_validity + toucan::config::operation_record_retention;
    };

    struct counts {
        std::size_t records = 0;
        std::size_t in_progress = 0;
        std::size_t held_bodies = 0;
        std::size_t body_bytes = 0;
        std::uint64_t dropped_bodies = 0;
        /// Keys refused because the table was full.
        std::uint64_t refused_full = 0;
        /// Estimated memory of one record without its response.
        std::size_t bytes_per_record = 0;
    };

    /// @param time clock for the retention; must outlive the table.
    explicit operation_table(const clock& time, limits limit);
    explicit operation_table(const clock& time);

    /// Starts the operation if its key has no record.
    /// @param key key owned by this incarnation.
    /// @param validity called with the table locked if the key has no record, so that the process
    /// cannot be paused between the check of the prefix and the start.
    /// @return the token if the operation was started, otherwise why it was not.
    begin_result begin(const operation_key& key, absl::FunctionRef<key_validity()> validity);

    /// Blocks until the operation has finished or the deadline has passed.
    /// @return the outcome; nothing if the operation is still in progress or the key has no record.
    [[nodiscard]] std::optional<outcome> wait(const operation_key& key, steady_time deadline) const;

    /// Records the outcome and wakes the threads that wait for it. Only the first call for a token
    /// has an effect.
    /// @param token from `begin`.
    /// @param result outcome of the execution.
    void finish(const operation_token& token, outcome result);

    /// Refuses a key permanently unless the operation was started.
    /// @param key key that must not run.
    /// @param refusal outcome to record.
    /// @return the refusal or the outcome recorded earlier; nothing if the operation is in
    /// progress.
    std::optional<outcome> refuse(const operation_key& key, not_run refusal);

    /// Whether the execution of the token has no recorded outcome yet and may be dispatched.
    /// @param token from `begin`.
    [[nodiscard]] bool is_running(const operation_token& token) const;

    /// Removes records whose retention has ended. Operations in progress are kept.
    /// @return number of records removed.
    std::size_t purge();

    [[nodiscard]] counts read_counts() const;

private:
    struct record {
        std::uint64_t serial = 0;
        steady_time retained_until;
        bool finished = false;
        bool has_body = false;
        /// Empty while in progress and after the response was dropped.
        std::unique_ptr<const outcome> result;
    };
    /// Issue number and caller number. They identify a key, because all keys have the same owner
    /// and an issue number has one witness.
    using key_numbers = std::pair<std::uint64_t, std::uint64_t>;
    using record_map = absl::node_hash_map<key_numbers, record>;
    using entry = record_map::value_type;

    entry& insert(const operation_key& key);
    /// Whether the key may get a record. Otherwise it is refused permanently.
    [[nodiscard]] bool admit(const operation_key& key);
    static key_numbers numbers_of(const operation_key& key) { return {key.prefix.number, key.n}; }
    static outcome recorded_outcome(const record& it);
    void store_outcome(record& it, outcome result);
    void evict_bodies();

    const clock& clock_;
    limits limits_;
    mutable absl::Mutex mutex_;
    record_map records_;
    /// Records in ascending order of their serial; the front has serial `first_serial_`.
    std::deque<entry*> records_by_serial_;
    std::uint64_t first_serial_ = 1;
    /// Serial at which the eviction of bodies continues. No record with a lower serial holds a
    /// body.
    std::uint64_t next_evict_serial_ = 1;
    /// Keys with a lower issue number and no record are refused permanently.
    std::uint64_t refused_below_ = 0;
    counts counts_;
};

} // namespace toucan::operations
