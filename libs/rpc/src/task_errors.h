#pragma once

#include "toucan/base/log.h"

#include <kj/async.h>

namespace toucan::rpc {

/// Logs why a connection's background task ended. Owned by value, never through its base.
class task_errors final // NOLINT(cppcoreguidelines-virtual-class-destructor)
    : public kj::TaskSet::ErrorHandler {
public:
    void taskFailed(kj::Exception&& ex) override // NOLINT(readability-identifier-naming)
    {
        log(log_part::rpc).debug("Connection ended: {}.", ex.getDescription().cStr());
    }
};

} // namespace toucan::rpc
