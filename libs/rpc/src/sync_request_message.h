#pragma once

#include "daemon.capnp.h"
#include "toucan/rpc/sync_request.h"

namespace toucan::rpc::schema {

void encode(const sync_request& value, SyncRequest::Builder out);
sync_request decode(SyncRequest::Reader in);

void encode(const sync_request& value, PackedSyncRequest::Builder out);
sync_request decode(PackedSyncRequest::Reader in);

} // namespace toucan::rpc::schema
