#pragma once

#include "toucan/platform/table_service.h"
#include "toucan/publishing/head_row.h"
#include "toucan/publishing/publish_result.h"
#include "toucan/publishing/publisher.h"

#include <cstdint>
#include <optional>
#include <string>

namespace toucan::publishing {

/// Changes the head row once, and determines the outcome if replies are lost.
///
/// Every attempt is the same compare-and-set on the same revision, so at most one attempt takes
/// effect, even if a request arrives late. Reading the row back can prove that the row was written,
/// but not that it will not be written later. A further attempt decides this, because its conflict
/// contains the row that was written instead.
class head_write {
public:
    /// @param expected_revision revision of the head row that `row` replaces; 0 if there is none.
    /// @param settings must outlive this object.
    head_write(platform::table_service& table, std::uint64_t expected_revision, head_row row,
               const publisher::options& settings);

    /// Retries until the outcome is known or the attempts are exhausted.
    publish_result run();

private:
    /// Sends the compare-and-set once.
    /// @return the outcome, or nothing if another attempt is needed.
    std::optional<publish_result> attempt();
    /// Reads the head row after a lost reply.
    /// @return the outcome, or nothing if the read does not show a newer row.
    std::optional<publish_result> read_back();
    /// Derives the outcome from a head row that is newer than `expected_revision_`.
    [[nodiscard]] publish_result resolve(const platform::table_row& observed) const;
    /// @return `not_known` if an attempt may have taken effect, otherwise `not_accepted`.
    [[nodiscard]] publish_result unresolved(std::string reason) const;

    platform::table_service& table_;
    std::uint64_t expected_revision_;
    head_row row_;
    std::string text_;
    const publisher::options& options_;
    /// A reply was lost: an attempt may have taken effect or may still do so.
    bool reply_lost_ = false;
    /// Why the last attempt failed.
    std::string reason_;
};

} // namespace toucan::publishing
