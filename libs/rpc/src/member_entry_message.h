#pragma once

#include "daemon.capnp.h"
#include "toucan/rpc/member_entry.h"

namespace toucan::rpc::schema {

void encode(const member_entry& value, MemberEntry::Builder out);
member_entry decode(MemberEntry::Reader in);

} // namespace toucan::rpc::schema
