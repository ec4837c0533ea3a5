#include "fetch_reply_message.h"

#include "field_message.h"

namespace toucan::rpc::schema {

void encode(const fetch_reply& value, FetchReply::Builder out)
{
    set_data(value.head, [&](auto bytes) { out.setHead(bytes); });
    auto objects = out.initObjects(static_cast<unsigned>(value.objects.size()));
    for (unsigned it = 0; it < objects.size(); ++it) {
        set_data(value.objects.at(it), [&](auto bytes) { objects.set(it, bytes); });
    }
}

fetch_reply decode(FetchReply::Reader in)
{
    fetch_reply value;
    value.head = bytes_of(in.getHead());
    for (const auto it : in.getObjects()) {
        value.objects.push_back(bytes_of(it));
    }
    return value;
}

} // namespace toucan::rpc::schema
