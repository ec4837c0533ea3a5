#pragma once

#include "daemon.capnp.h"
#include "toucan/rpc/intent_request.h"

namespace toucan::rpc::schema {

void encode(const intent_request& value, IntentRequest::Builder out);
intent_request decode(IntentRequest::Reader in);

} // namespace toucan::rpc::schema
