#include "fetch_request_message.h"

#include "field_message.h"

namespace toucan::rpc::schema {

void encode(const fetch_request& value, FetchRequest::Builder out)
{
    out.setHeadWanted(value.head_wanted);
    auto hashes = out.initHashes(static_cast<unsigned>(value.hashes.size()));
    for (unsigned it = 0; it < hashes.size(); ++it) {
        set_text(value.hashes.at(it), [&](auto text) { hashes.set(it, text); });
    }
}

fetch_request decode(FetchRequest::Reader in)
{
    fetch_request value;
    value.head_wanted = in.getHeadWanted();
    for (const auto it : in.getHashes()) {
        value.hashes.push_back(text_of(it));
    }
    return value;
}

} // namespace toucan::rpc::schema
