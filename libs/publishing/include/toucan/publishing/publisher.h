#pragma once

#include "toucan/platform/object_store.h"
#include "toucan/platform/table_service.h"
#include "toucan/publishing/head_row.h"
#include "toucan/publishing/publish_result.h"
#include "toucan/steering/steering_source.h"

#include <chrono>
#include <functional>
#include <string>

namespace toucan::publishing {

/// Publishes configurations to the table service and the object store of the platform. Not
/// thread-safe; blocks until the outcome is known or the attempts are exhausted.
class publisher {
public:
    /// Retry settings of a publisher.
    struct options {
        /// Maximum number of attempts for each upload and for the write of the head row. The object
        /// store may itself retry within one attempt.
        int max_attempts = 6;
        /// Delay before the second attempt; doubled for each further attempt.
        std::chrono::milliseconds initial_backoff{100};
        /// Called to wait between attempts. If empty, the calling thread sleeps.
        std::function<void(std::chrono::milliseconds)> sleep;
    };

    /// @param table, objects must outlive the publisher.
    /// @param name name of the publisher, shown in conflicts and logs.
    publisher(platform::table_service& table, platform::object_store& objects, std::string name);
    publisher(platform::table_service& table, platform::object_store& objects, std::string name,
              options settings);

    /// Uploads new objects, then changes the head row with a compare-and-set.
    /// @param source configuration returned by `read_files` or `read_directory`.
    publish_result publish(const steering::steering_source& source);

private:
    /// Writes an object, with retries.
    /// @return false, with a last reason, if all attempts failed.
    bool upload(const std::string& hash, const std::string& bytes);

    platform::table_service& table_;
    platform::object_store& objects_;
    std::string name_;
    options options_;
};

} // namespace toucan::publishing
