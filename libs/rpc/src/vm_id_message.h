#pragma once

#include "daemon.capnp.h"
#include "toucan/base/vm_id.h"

namespace toucan::rpc::schema {

void encode(const vm_id& value, VmId::Builder out);
vm_id decode(VmId::Reader in);

} // namespace toucan::rpc::schema
