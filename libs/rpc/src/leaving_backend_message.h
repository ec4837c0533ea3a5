#pragma once

#include "daemon.capnp.h"
#include "toucan/rpc/leaving_backend.h"

namespace toucan::rpc::schema {

void encode(const leaving_backend& value, LeavingBackend::Builder out);
leaving_backend decode(LeavingBackend::Reader in);

} // namespace toucan::rpc::schema
