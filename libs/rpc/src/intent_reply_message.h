#pragma once

#include "daemon.capnp.h"
#include "toucan/rpc/intent_reply.h"

namespace toucan::rpc::schema {

void encode(const intent_reply& value, IntentReply::Builder out);
intent_reply decode(IntentReply::Reader in);

} // namespace toucan::rpc::schema
