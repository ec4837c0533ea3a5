#pragma once

namespace toucan::ctl {

/// Exit codes of toucanctl. The numbers are part of its interface.
enum exit_code {
    exit_ok = 0,
    /// Refused or failed; nothing was published.
    exit_failed = 1,
    exit_usage = 2,
    /// Another publisher was first.
    exit_conflict = 3,
    /// It is not known whether the configuration is in force, or in force everywhere.
    exit_not_known = 4,
};

} // namespace toucan::ctl
