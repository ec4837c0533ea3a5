#include "http_header_message.h"

#include "field_message.h"

namespace toucan::rpc::schema {

void encode(const http_header& value, Header::Builder out)
{
    set_text(value.name, [&](auto text) { out.setName(text); });
    set_text(value.value, [&](auto text) { out.setValue(text); });
}

http_header decode(Header::Reader in)
{
    http_header value;
    value.name = text_of(in.getName());
    value.value = text_of(in.getValue());
    return value;
}

} // namespace toucan::rpc::schema
