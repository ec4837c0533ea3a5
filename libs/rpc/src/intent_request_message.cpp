#include "intent_request_message.h"

#include "field_message.h"
#include "vm_id_message.h"

namespace toucan::rpc::schema {

void encode(const intent_request& value, IntentRequest::Builder out)
{
    encode(value.owner, out.initOwner());
    encode(value.witness, out.initWitness());
    set_text(value.operation_key, [&](auto text) { out.setOperationKey(text); });
}

intent_request decode(IntentRequest::Reader in)
{
    intent_request value;
    value.owner = decode(in.getOwner());
    value.witness = decode(in.getWitness());
    value.operation_key = text_of(in.getOperationKey());
    return value;
}

} // namespace toucan::rpc::schema
