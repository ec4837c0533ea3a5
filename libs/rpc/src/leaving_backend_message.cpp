#include "leaving_backend_message.h"

#include "field_message.h"

namespace toucan::rpc::schema {

void encode(const leaving_backend& value, LeavingBackend::Builder out)
{
    set_text(value.backend.text(), [&](auto text) { out.setBackend(text); });
    out.setIncarnation(value.run.value());
}

leaving_backend decode(LeavingBackend::Reader in)
{
    leaving_backend value;
    value.backend = backend_server_name(text_of(in.getBackend()));
    value.run = incarnation(in.getIncarnation());
    return value;
}

} // namespace toucan::rpc::schema
