#pragma once

#include "directory_state.h"
#include "peer_table.h"

#include "toucan/edge/records.h"
#include "toucan/edge/settings.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace toucan::edge {

/// Directory of the daemons; selects the addresses to which a caller may connect.
class directory {
public:
    /// @param table_current whether the table of the daemons is current.
    directory(const settings& daemon_settings, const peer_table& peers,
              std::function<bool()> table_current)
        : settings_(daemon_settings), peers_(peers), table_current_(std::move(table_current))
    {
    }

    void apply(const member_record& it) { members_[it.name] = it; }
    void remove(const std::string& name) { members_.erase(name); }
    /// @param ready whether this daemon may be listed.
    void set_local_ready(bool ready) { local_ready_ = ready; }

    /// Returns the addresses of the ready daemons in a caller's failure domain; if there are none,
    /// those in its region; if there are none, those in all regions.
    [[nodiscard]] std::vector<std::string> addresses(const failure_domain_name& domain,
                                                     const region_name& region) const;
    [[nodiscard]] const std::map<std::string, member_record>& members() const { return members_; }
    [[nodiscard]] directory_state state() const;
    /// Writes the state to the log if it has changed since the last call.
    void log_changes();

private:
    /// Whether no other daemon reports and the store is silent too. It is probably this daemon that
    /// is cut off then, and the silence of the others does not show that they have failed.
    [[nodiscard]] bool cut_off() const { return !peers_.has_live_peer() && !table_current_(); }
    /// @param is_cut_off see `cut_off()`.
    [[nodiscard]] bool usable(const member_record& it, bool is_cut_off) const;

    const settings& settings_;
    const peer_table& peers_;
    std::function<bool()> table_current_;
    std::map<std::string, member_record> members_;
    bool local_ready_ = false;
    directory_state logged_;
};

} // namespace toucan::edge
