#pragma once

#include "toucan/base/outcome.h"
#include "toucan/rpc/entry_vm.h"

#include <httplib.h>

#include <vector>

namespace toucan::daemon {

/// Writes an outcome as the HTTP response to a caller.
/// @param result outcome of the request.
/// @param alternatives entry VMs that a refused caller can try instead.
/// @param response response to fill in.
void write_outcome(const outcome& result, const std::vector<rpc::entry_vm>& alternatives,
                   httplib::Response& response);

} // namespace toucan::daemon
