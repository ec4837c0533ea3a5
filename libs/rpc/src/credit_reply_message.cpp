#include "credit_reply_message.h"

#include "field_message.h"

namespace toucan::rpc::schema {

void encode(const credit_reply& value, CreditReply::Builder out)
{
    out.setCreditId(value.credit_id);
    out.setSlots(value.slots);
    out.setLifetimeMs(value.lifetime.count());
    set_text(value.target.text(), [&](auto text) { out.setTarget(text); });
}

credit_reply decode(CreditReply::Reader in)
{
    credit_reply value;
    value.credit_id = in.getCreditId();
    value.slots = in.getSlots();
    value.lifetime = std::chrono::milliseconds(in.getLifetimeMs());
    value.target = backend_server_name(text_of(in.getTarget()));
    return value;
}

} // namespace toucan::rpc::schema
