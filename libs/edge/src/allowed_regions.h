#pragma once

#include "toucan/base/name.h"

#include <optional>
#include <string>
#include <vector>

namespace toucan::edge {

/// Regions in which requests may run: all regions, some, or none. Immutable.
class allowed_regions {
public:
    /// All regions.
    allowed_regions() = default;
    /// @param regions empty for all regions, as in the configuration.
    explicit allowed_regions(std::vector<region_name> regions);

    /// Regions that are allowed here and by `other`.
    [[nodiscard]] allowed_regions common_with(const allowed_regions& other) const;
    [[nodiscard]] bool contains(const region_name& it) const;
    /// Whether not all regions are allowed.
    [[nodiscard]] bool restricted() const { return regions_.has_value(); }
    [[nodiscard]] bool none() const { return regions_ && regions_->empty(); }
    /// The allowed regions; empty if all or none are.
    [[nodiscard]] const std::vector<region_name>& names() const;
    /// Text for the event log: `all`, `none`, or the names, separated by commas.
    [[nodiscard]] std::string text() const;

    friend bool operator==(const allowed_regions&, const allowed_regions&) = default;

private:
    /// Nothing for all regions.
    std::optional<std::vector<region_name>> regions_;
};

} // namespace toucan::edge
