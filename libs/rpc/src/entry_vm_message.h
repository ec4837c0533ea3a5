#pragma once

#include "daemon.capnp.h"
#include "toucan/rpc/entry_vm.h"

namespace toucan::rpc::schema {

void encode(const entry_vm& value, EntryVm::Builder out);
entry_vm decode(EntryVm::Reader in);

} // namespace toucan::rpc::schema
