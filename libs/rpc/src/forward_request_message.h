#pragma once

#include "daemon.capnp.h"
#include "toucan/rpc/forward_request.h"

namespace toucan::rpc::schema {

void encode(const forward_request& value, ForwardRequest::Builder out);
forward_request decode(ForwardRequest::Reader in);

} // namespace toucan::rpc::schema
