#pragma once

namespace toucan::ctl {

/// Exit codes of toucanctl. Scripts rely on the numbers.
enum exit_code {
    exit_ok = 0,
    /// The command failed. For `publish`, the configuration was not published; for `status`, the
    /// highest version is not in force on all daemons.
    exit_failed = 1,
    exit_usage = 2,
    /// Another publisher changed the configuration first.
    exit_conflict = 3,
    /// It is not known whether the configuration was published, or not all daemons have confirmed
    /// it.
    exit_not_known = 4,
};

} // namespace toucan::ctl
