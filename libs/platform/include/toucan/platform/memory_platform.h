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

/// The platform in the memory of one process, with switches for its faults. Thread-safe.
class memory_platform final : public table_service, public object_store, public vm_list {
public:
    /// What happens to the next writes of the table.
    enum class write_fault {
        none,
        /// The write takes effect; the reply is lost.
        lost_reply,
        /// The request is lost; nothing takes effect, and the writer cannot know.
        lost_request,
        /// The reply is lost and the write is kept; `deliver_late_writes` submits it.
        late_request,
    };

    read_result read(const std::string& key) override;
    write_result compare_and_set(const std::string& key, std::uint64_t expected_revision,
                                 const std::string& value) override;
    std::optional<std::string> get(const std::string& hash) override;
    bool put(const std::string& hash, const std::string& bytes) override;
    std::optional<std::vector<vm_entry>> fetch() override;

    /// @param on every call fails, and certainly has no effect.
    void set_outage(bool on);
    /// @param fault kind of fault.
    /// @param writes number of writes that it concerns.
    void set_write_fault(write_fault fault, int writes);
    /// @param on reads return the rows as they were when the switch was set.
    void set_stale_reads(bool on);
    /// Submits the writes that `late_request` kept, in order. Each still needs its revision.
    void deliver_late_writes();
    void set_vms(std::vector<vm_entry> entries);
    /// @param hook runs before each write, outside the lock; may itself write.
    void set_before_write(std::function<void()> hook);

    [[nodiscard]] std::size_t object_count() const;
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
