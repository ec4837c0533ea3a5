#pragma once

#include "daemon.capnp.h"
#include "toucan/rpc/fetch_request.h"

namespace toucan::rpc::schema {

void encode(const fetch_request& value, FetchRequest::Builder out);
fetch_request decode(FetchRequest::Reader in);

} // namespace toucan::rpc::schema
