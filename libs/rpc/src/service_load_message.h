#pragma once

#include "daemon.capnp.h"
#include "toucan/rpc/service_load.h"

namespace toucan::rpc::schema {

void encode(const service_load& value, ServiceLoad::Builder out);
service_load decode(ServiceLoad::Reader in);

} // namespace toucan::rpc::schema
