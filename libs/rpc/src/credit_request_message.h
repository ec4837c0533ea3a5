#pragma once

#include "daemon.capnp.h"
#include "toucan/rpc/credit_request.h"

namespace toucan::rpc::schema {

void encode(const credit_request& value, CreditRequest::Builder out);
credit_request decode(CreditRequest::Reader in);

} // namespace toucan::rpc::schema
