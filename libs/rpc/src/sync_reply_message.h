#pragma once

#include "daemon.capnp.h"
#include "toucan/rpc/sync_reply.h"

namespace toucan::rpc::schema {

void encode(const sync_reply& value, SyncReply::Builder out);
sync_reply decode(SyncReply::Reader in);

void encode(const sync_reply& value, PackedSyncReply::Builder out);
sync_reply decode(PackedSyncReply::Reader in);

} // namespace toucan::rpc::schema
