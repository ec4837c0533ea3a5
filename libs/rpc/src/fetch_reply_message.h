#pragma once

#include "daemon.capnp.h"
#include "toucan/rpc/fetch_reply.h"

namespace toucan::rpc::schema {

void encode(const fetch_reply& value, FetchReply::Builder out);
fetch_reply decode(FetchReply::Reader in);

} // namespace toucan::rpc::schema
