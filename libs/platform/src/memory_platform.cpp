#include "toucan/platform/memory_platform.h"

#include "toucan/base/content_hash.h"
#include "toucan/base/last_reason.h"

#include <utility>

namespace toucan::platform {

namespace {

constexpr const char* outage_reason = "the platform is down";

} // namespace

read_result memory_platform::read(const std::string& key)
{
    const absl::MutexLock lock(&mutex_);
    if (outage_) {
        return read_failed{outage_reason};
    }
    const auto& rows = stale_reads_ ? stale_rows_ : rows_;
    const auto it = rows.find(key);
    if (it == rows.end()) {
        return row_absent{};
    }
    return it->second;
}

write_result memory_platform::apply(const std::string& key, std::uint64_t expected_revision,
                                    const std::string& value)
{
    const auto it = rows_.find(key);
    const auto revision = it == rows_.end() ? 0 : it->second.revision;
    if (revision != expected_revision) {
        return it == rows_.end() ? write_conflict{} : write_conflict{it->second};
    }
    rows_[key] = {value, revision + 1};
    return write_applied{revision + 1};
}

write_result memory_platform::compare_and_set(const std::string& key,
                                              std::uint64_t expected_revision,
                                              const std::string& value)
{
    std::function<void()> hook;
    {
        const absl::MutexLock lock(&mutex_);
        hook = before_write_;
    }
    if (hook) {
        hook();
    }
    const absl::MutexLock lock(&mutex_);
    ++writes_;
    if (outage_) {
        return write_refused{outage_reason};
    }
    if (fault_ == write_fault::none || faulty_writes_ == 0) {
        return apply(key, expected_revision, value);
    }
    --faulty_writes_;
    if (fault_ == write_fault::lost_reply) {
        apply(key, expected_revision, value);
    }
    else if (fault_ == write_fault::late_request) {
        late_writes_.push_back({key, expected_revision, value});
    }
    return write_unknown{"the reply was lost"};
}

std::optional<std::string> memory_platform::get(const std::string& hash)
{
    const absl::MutexLock lock(&mutex_);
    if (outage_) {
        return fail(outage_reason);
    }
    const auto it = objects_.find(hash);
    if (it == objects_.end()) {
        return fail("the object does not exist");
    }
    return it->second;
}

bool memory_platform::put(const std::string& hash, const std::string& bytes)
{
    const absl::MutexLock lock(&mutex_);
    if (outage_) {
        fail(outage_reason);
        return false;
    }
    if (content_hash(bytes) != hash) {
        fail("the content does not match the hash");
        return false;
    }
    objects_[hash] = bytes;
    return true;
}

std::optional<std::vector<vm_entry>> memory_platform::fetch()
{
    const absl::MutexLock lock(&mutex_);
    if (outage_) {
        return fail(outage_reason);
    }
    return vms_;
}

void memory_platform::set_outage(bool on)
{
    const absl::MutexLock lock(&mutex_);
    outage_ = on;
}

void memory_platform::set_write_fault(write_fault fault, int writes)
{
    const absl::MutexLock lock(&mutex_);
    fault_ = fault;
    faulty_writes_ = writes;
}

void memory_platform::set_stale_reads(bool on)
{
    const absl::MutexLock lock(&mutex_);
    stale_reads_ = on;
    stale_rows_ = rows_;
}

void memory_platform::deliver_late_writes()
{
    const absl::MutexLock lock(&mutex_);
    for (const auto& it : std::exchange(late_writes_, {})) {
        apply(it.key, it.expected_revision, it.value);
    }
}

void memory_platform::set_vms(std::vector<vm_entry> entries)
{
    const absl::MutexLock lock(&mutex_);
    vms_ = std::move(entries);
}

void memory_platform::set_before_write(std::function<void()> hook)
{
    const absl::MutexLock lock(&mutex_);
    before_write_ = std::move(hook);
}

std::size_t memory_platform::object_count() const
{
    const absl::MutexLock lock(&mutex_);
    return objects_.size();
}

std::size_t memory_platform::write_count() const
{
    const absl::MutexLock lock(&mutex_);
    return writes_;
}

} // namespace toucan::platform
