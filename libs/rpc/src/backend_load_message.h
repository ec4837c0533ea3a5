#pragma once

#include "daemon.capnp.h"
#include "toucan/rpc/backend_load.h"

namespace toucan::rpc::schema {

void encode(const backend_load& value, BackendLoad::Builder out);
backend_load decode(BackendLoad::Reader in);

} // namespace toucan::rpc::schema
