#include "intent_reply_message.h"

#include "field_message.h"

namespace toucan::rpc::schema {

void encode(const intent_reply& value, IntentReply::Builder out)
{
    out.setVerdict(static_cast<std::uint16_t>(value.verdict));
}

intent_reply decode(IntentReply::Reader in)
{
    intent_reply value;
    value.verdict = enum_of<intent_verdict>(in.getVerdict(), intent_verdict::not_the_witness);
    return value;
}

} // namespace toucan::rpc::schema
