#pragma once

#include "daemon.capnp.h"
#include "toucan/rpc/credit_reply.h"

namespace toucan::rpc::schema {

void encode(const credit_reply& value, CreditReply::Builder out);
credit_reply decode(CreditReply::Reader in);

} // namespace toucan::rpc::schema
