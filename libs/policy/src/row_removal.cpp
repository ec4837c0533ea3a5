#include "toucan/policy/row_removal.h"

#include <algorithm>
#include <utility>

namespace toucan::policy {

std::vector<std::string> row_removal::next(std::vector<std::string> silent, steady_time now)
{
    if (now < paused_until_) {
        return {};
    }
    silent.resize(std::min(silent.size(), batch_));
    if (!silent.empty()) {
        batch_ *= 2;
    }
    removed_ = std::move(silent);
    return removed_;
}

void row_removal::record_write(const std::string& name, steady_time now)
{
    if (std::find(removed_.begin(), removed_.end(), name) == removed_.end()) {
        return;
    }
    reset();
    paused_until_ = now + pause_after_return;
}

void row_removal::reset()
{
    removed_.clear();
    batch_ = 1;
    paused_until_ = {};
}

} // namespace toucan::policy
