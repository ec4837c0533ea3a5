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

/// Publishes configurations on the platform.
class publisher {
public:
    struct options {
        /// Attempts to settle a write whose reply was lost.
        int attempts = 6;
        /// Pause before the second attempt; each further pause is twice as long.
        std::chrono::milliseconds pause{100};
        /// Sleeps; replaced in tests.
        std::function<void(std::chrono::milliseconds)> sleep;
    };

    /// @param name who publishes, for conflicts and logs.
    publisher(platform::table_service& table, platform::object_store& objects, std::string name);
    publisher(platform::table_service& table, platform::object_store& objects, std::string name,
              options settings);

    /// Uploads the objects and changes the head row.
    /// @param source has passed the checks.
    publish_result publish(const steering::steering_source& source);

private:
    bool store(const std::string& hash, const std::string& bytes);

    platform::table_service& table_;
    platform::object_store& objects_;
    std::string name_;
    options options_;
};

} // namespace toucan::publishing
