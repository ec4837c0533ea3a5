#include "sync_request_message.h"

#include "domain_summary_message.h"
#include "list_message.h"
#include "member_entry_message.h"
#include "packed_message.h"

namespace toucan::rpc::schema {

void encode(const sync_request& value, SyncRequest::Builder out)
{
    encode(value.sender, out.initSender());
    out.setSeenRun(value.seen_run.value());
    out.setSeenRevision(value.seen_revision);
    encode_list(value.summaries, [&](unsigned n) { return out.initSummaries(n); });
}

sync_request decode(SyncRequest::Reader in)
{
    sync_request value;
    value.sender = decode(in.getSender());
    value.seen_run = incarnation(in.getSeenRun());
    value.seen_revision = in.getSeenRevision();
    decode_list(in.getSummaries(), value.summaries);
    return value;
}

void encode(const sync_request& value, PackedSyncRequest::Builder out)
{
    out.setMessage(pack<SyncRequest>(value));
}

sync_request decode(PackedSyncRequest::Reader in)
{
    return unpack<SyncRequest>(in.getMessage());
}

} // namespace toucan::rpc::schema
