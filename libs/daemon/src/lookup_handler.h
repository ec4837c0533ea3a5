#pragma once

#include "routing_view.h"

#include "toucan/operations/key_issuer.h"

#include <httplib.h>

#include <chrono>
#include <vector>

namespace toucan::daemon {

/// Answers `GET /v1/lookup?service=S&block=A.B.C.D/N`: which entry VMs a caller is to use.
/// @param request query of the caller; the block defaults to the address of the caller.
/// @param view snapshot to answer from.
/// @param issuer issues a key prefix if the service has non-idempotent operations.
/// @param lifetime how long the answer may be cached.
/// @param response to fill in.
void answer_lookup(const httplib::Request& request, const routing_view& view,
                   operations::key_issuer& issuer, std::chrono::milliseconds lifetime,
                   httplib::Response& response);

/// Entry VMs that a refused caller can try instead, without the daemon itself.
/// @param view snapshot to answer from.
/// @param block client block as text.
/// @param self RPC address of this daemon.
std::vector<rpc::entry_vm> alternative_entry_vms(const routing_view& view, std::string_view block,
                                                 vm_address self);

} // namespace toucan::daemon
