#pragma once

#include "routing_view.h"

#include "toucan/operations/key_issuer.h"

#include <httplib.h>

#include <chrono>
#include <vector>

namespace toucan::daemon {

/// Answers `GET /v1/lookup?service=S&block=A.B.C.D/N` with the entry VMs that the caller should
/// use.
/// @param request caller's query; the block defaults to the caller's address.
/// @param view routing snapshot.
/// @param issuer issues a key prefix if the service has non-idempotent operations.
/// @param lifetime time for which the answer may be cached.
/// @param response response to fill in.
void answer_lookup(const httplib::Request& request, const routing_view& view,
                   operations::key_issuer& issuer, std::chrono::milliseconds lifetime,
                   httplib::Response& response);

/// Entry VMs that a refused caller can try instead of this daemon.
/// @param view routing snapshot.
/// @param block client block as `a.b.c.d/n`.
/// @param self RPC address of this daemon.
std::vector<rpc::entry_vm> alternative_entry_vms(const routing_view& view, std::string_view block,
                                                 vm_address self);

} // namespace toucan::daemon
