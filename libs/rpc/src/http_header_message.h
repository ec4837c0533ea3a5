#pragma once

#include "daemon.capnp.h"
#include "toucan/base/http_header.h"

namespace toucan::rpc::schema {

void encode(const http_header& value, Header::Builder out);
http_header decode(Header::Reader in);

} // namespace toucan::rpc::schema
