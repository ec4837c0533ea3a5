#pragma once

#include "toucan/platform/table_service.h"
#include "toucan/publishing/head_row.h"
#include "toucan/publishing/publish_result.h"
#include "toucan/publishing/publisher.h"

#include <cstdint>
#include <optional>
#include <string>

namespace toucan::publishing {

/// Changes the head row once, and finds out what became of it when replies are lost.
///
/// Every attempt is the same compare-and-set on the same revision, so at most one of them takes
/// effect, also when one arrives late. A read-back alone proves only that the row was written, not
/// that it will not be; a further attempt settles that, because its conflict names the row that was
/// written instead.
class head_write {
public:
    /// @param expected_revision revision of the head row that `row` follows; 0 if there is none.
    head_write(platform::table_service& table, std::uint64_t expected_revision, head_row row,
               const publisher::options& settings);

    publish_result run();

private:
    std::optional<publish_result> attempt();
    std::optional<publish_result> read_back();
    /// @param present the head row after `expected_revision_`.
    [[nodiscard]] publish_result settle(const platform::table_row& present) const;
    [[nodiscard]] publish_result unsettled(std::string reason) const;

    platform::table_service& table_;
    std::uint64_t expected_revision_;
    head_row row_;
    std::string text_;
    const publisher::options& options_;
    /// A reply was lost: one of the attempts may have taken effect, or may still.
    bool reply_lost_ = false;
    std::string reason_;
};

} // namespace toucan::publishing
