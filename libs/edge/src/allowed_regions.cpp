#include "allowed_regions.h"

#include <algorithm>
#include <utility>

namespace toucan::edge {

allowed_regions::allowed_regions(std::vector<region_name> regions)
{
    if (!regions.empty()) {
        regions_ = std::move(regions);
    }
}

allowed_regions allowed_regions::common_with(const allowed_regions& other) const
{
    if (!regions_) {
        return other;
    }
    allowed_regions it = *this;
    std::erase_if(*it.regions_, [&](const region_name& region) { return !other.contains(region); });
    return it;
}

bool allowed_regions::contains(const region_name& it) const
{
    return !regions_ || std::find(regions_->begin(), regions_->end(), it) != regions_->end();
}

const std::vector<region_name>& allowed_regions::names() const
{
    static const std::vector<region_name> no_names;
    return regions_ ? *regions_ : no_names;
}

std::string allowed_regions::text() const
{
    if (!regions_) {
        return "all";
    }
    if (regions_->empty()) {
        return "none";
    }
    std::string all;
    for (const auto& it : *regions_) {
        all += (all.empty() ? "" : ",") + it.text();
    }
    return all;
}

} // namespace toucan::edge
