#pragma once

#include "daemon.capnp.h"
#include "toucan/rpc/domain_summary.h"

namespace toucan::rpc::schema {

void encode(const domain_summary& value, DomainSummary::Builder out);
domain_summary decode(DomainSummary::Reader in);

} // namespace toucan::rpc::schema
