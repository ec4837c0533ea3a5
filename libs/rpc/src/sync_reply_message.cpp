#include "sync_reply_message.h"

#include "domain_summary_message.h"
#include "list_message.h"
#include "member_entry_message.h"
#include "packed_message.h"

namespace toucan::rpc::schema {

void encode(const sync_reply& value, SyncReply::Builder out)
{
    encode(value.receiver, out.initReceiver());
    out.setRevision(value.revision);
    encode_list(value.members, [&](unsigned n) { return out.initMembers(n); });
    encode_list(value.summaries, [&](unsigned n) { return out.initSummaries(n); });
}

sync_reply decode(SyncReply::Reader in)
{
    sync_reply value;
    value.receiver = decode(in.getReceiver());
    value.revision = in.getRevision();
    decode_list(in.getMembers(), value.members);
    decode_list(in.getSummaries(), value.summaries);
    return value;
}

void encode(const sync_reply& value, PackedSyncReply::Builder out)
{
    out.setMessage(pack<SyncReply>(value));
}

sync_reply decode(PackedSyncReply::Reader in)
{
    return unpack<SyncReply>(in.getMessage());
}

} // namespace toucan::rpc::schema
