#pragma once

#include "toucan/platform/read_result.h"
#include "toucan/platform/write_result.h"

#include <cstdint>
#include <string>

namespace toucan::platform {

/// Interface of the platform's transactional table service. Calls block; the implementation bounds
/// the time by its timeouts.
class table_service {
public:
    virtual ~table_service() = default;

    /// Reads a row.
    virtual read_result read(const std::string& key) = 0;
    /// Writes a row if it has the expected revision.
    /// @param expected_revision revision that the row must have; 0 if the row must not exist.
    virtual write_result compare_and_set(const std::string& key, std::uint64_t expected_revision,
                                         const std::string& value) = 0;
};

} // namespace toucan::platform
