#pragma once

#include "toucan/platform/object_store.h"
#include "toucan/platform/table_service.h"
#include "toucan/platform/vm_list.h"

#include <absl/synchronization/mutex.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace toucan::platform {

/// In-memory implementation of the platform with fault injection. Thread-safe.
class memory_platform final : public table_service, public object_store, public vm_list {
public:
    /// Fault injected into the next table writes.
    enum class write_fault {
        none,
        /// The write takes effect, but its reply is lost.
        lost_reply,
        /// The request is lost: the write does not take effect, and the result is `write_unknown`.
        lost_request,
        /// The request is delayed: the result is `write_unknown`, and `deliver_late_writes` applies
        /// it.
        late_request,
    };

    read_result read(const std::string& key) override;
    write_result compare_and_set(const std::string& key, std::uint64_t expected_revision,
                                 const std::string& value) override;
    std::optional<std::string> get(const std::string& hash) override;
    bool put(const std::string& hash, const std::string& bytes) override;
    std::optional<std::vector<vm_entry>> fetch() override;

    /// @param on makes every call fail without an effect.
    void set_outage(bool on);
    /// Injects a fault into the next table writes.
    /// @param writes number of writes that it affects.
    void set_write_fault(write_fault fault, int writes);
    /// @param on makes reads return the rows as they were at the time of this call.
    void set_stale_reads(bool on);
    /// Applies the writes delayed by `late_request`, in order. Each still requires its expected
    /// revision.
    void deliver_late_writes();
    /// Replaces the VM list that `fetch` returns.
    void set_vms(std::vector<vm_entry> entries);
    /// @param hook called before each table write, without holding the lock; may itself write.
    void set_before_write(std::function<void()> hook);

    [[nodiscard]] std::size_t object_count() const;
    /// Number of `compare_and_set` calls, including failed ones.
    [[nodiscard]] std::size_t write_count() const;

private:
    struct late_write {
        std::string key;
        std::uint64_t expected_revision;
        std::string value;
    };

    write_result apply(const std::string& key, std::uint64_t expected_revision,
                       const std::string& value) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    mutable absl::Mutex mutex_;
    std::map<std::string, table_row> rows_;
    std::map<std::string, table_row> stale_rows_;
    std::map<std::string, std::string> objects_;
    std::vector<vm_entry> vms_;
    std::vector<late_write> late_writes_;
    std::function<void()> before_write_;
    bool outage_ = false;
    bool stale_reads_ = false;
    write_fault fault_ = write_fault::none;
    int faulty_writes_ = 0;
    std::size_t writes_ = 0;
};

} // namespace toucan::platform
