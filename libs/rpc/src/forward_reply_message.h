#pragma once

#include "daemon.capnp.h"
#include "toucan/rpc/forward_reply.h"

namespace toucan::rpc::schema {

void encode(const forward_reply& value, ForwardReply::Builder out);
forward_reply decode(ForwardReply::Reader in);

} // namespace toucan::rpc::schema
