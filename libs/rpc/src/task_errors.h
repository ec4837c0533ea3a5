#pragma once

#include "toucan/base/log.h"

#include <kj/async.h>

namespace toucan::rpc {

/// Logs the errors of background tasks of connections. Never destroyed through its base class.
class task_errors final // NOLINT(cppcoreguidelines-virtual-class-destructor)
    : public kj::TaskSet::ErrorHandler {
public:
    void taskFailed(kj::Exception&& ex) override // NOLINT(readability-identifier-naming)
    {
        log(log_part::rpc).debug("RPC connection closed: {}.", ex.getDescription().cStr());
    }
};

} // namespace toucan::rpc
