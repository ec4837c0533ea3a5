#pragma once

#include "toucan/platform/read_result.h"
#include "toucan/platform/write_result.h"

#include <cstdint>
#include <string>

namespace toucan::platform {

/// The platform's transactional table service. Calls block for at most the adapter's timeout.
class table_service {
public:
    virtual ~table_service() = default;

    /// @param key row to read.
    virtual read_result read(const std::string& key) = 0;
    /// @param key row to write.
    /// @param expected_revision revision that the row must have; 0 if it must be absent.
    /// @param value new content.
    virtual write_result compare_and_set(const std::string& key, std::uint64_t expected_revision,
                                         const std::string& value) = 0;
};

} // namespace toucan::platform
