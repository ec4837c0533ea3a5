#pragma once

#include "toucan/base/clock.h"

#include <cstddef>
#include <string>
#include <vector>

namespace toucan::policy {

/// Chooses the rows of silent daemons that a daemon removes while it hears no other failure domain.
/// It cannot tell then whether the silent daemons are lost or it is itself cut off from them. A
/// removal shows which: a daemon that runs and reaches the store writes its row again. The removals
/// therefore begin with a single row and double as long as no row comes back. Not thread-safe.
class row_removal {
public:
    /// Time without removals after a row has come back.
    static constexpr milliseconds pause_after_return{60000};

    /// @param silent names of the daemons that have been silent for long enough.
    /// @return the names of those whose rows are to be removed now. Must be called at intervals in
    /// which a running daemon can write its row again.
    std::vector<std::string> next(std::vector<std::string> silent, steady_time now);
    /// Records that a daemon has written its row.
    void record_write(const std::string& name, steady_time now);
    /// Begins with a single row again, because other failure domains are heard.
    void reset();

private:
    /// Rows that the last call of `next` chose.
    std::vector<std::string> removed_;
    std::size_t batch_ = 1;
    steady_time paused_until_;
};

} // namespace toucan::policy
