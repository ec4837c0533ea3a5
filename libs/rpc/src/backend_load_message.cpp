#include "backend_load_message.h"

#include "field_message.h"

namespace toucan::rpc::schema {

void encode(const backend_load& value, BackendLoad::Builder out)
{
    set_text(value.backend.text(), [&](auto text) { out.setBackend(text); });
    out.setAdmittedSlots(value.admitted_slots);
    out.setInUse(value.in_use);
    out.setQueued(value.queued);
}

backend_load decode(BackendLoad::Reader in)
{
    backend_load value;
    value.backend = backend_server_name(text_of(in.getBackend()));
    value.admitted_slots = in.getAdmittedSlots();
    value.in_use = in.getInUse();
    value.queued = in.getQueued();
    return value;
}

} // namespace toucan::rpc::schema
