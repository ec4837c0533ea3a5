#pragma once

#include "peer_table.h"

#include "toucan/edge/records.h"
#include "toucan/edge/settings.h"

#include <map>
#include <string>
#include <vector>

namespace toucan::edge {

/// Knows the daemons and names those that a caller may connect to.
class directory {
public:
    directory(const settings& own, const peer_table& peers) : own_(own), peers_(peers) {}

    void apply(const member_record& it) { members_[it.name] = it; }
    void remove(const std::string& name) { members_.erase(name); }
    /// @param ready whether this daemon may be named itself.
    void set_own_ready(bool ready) { own_ready_ = ready; }

    /// Addresses for a caller: of its failure domain if any daemon there is ready, else of its
    /// region, else of all regions.
    [[nodiscard]] std::vector<std::string> addresses(const failure_domain_name& domain,
                                                     const region_name& region) const;
    [[nodiscard]] const std::map<std::string, member_record>& members() const { return members_; }

private:
    [[nodiscard]] bool usable(const member_record& it, bool isolated) const;

    const settings& own_;
    const peer_table& peers_;
    std::map<std::string, member_record> members_;
    bool own_ready_ = false;
};

} // namespace toucan::edge
