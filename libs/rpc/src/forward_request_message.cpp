#include "forward_request_message.h"

#include "field_message.h"
#include "http_header_message.h"
#include "list_message.h"

namespace toucan::rpc::schema {

void encode(const forward_request& value, ForwardRequest::Builder out)
{
    out.setMode(static_cast<std::uint16_t>(value.mode));
    set_text(value.service.text(), [&](auto text) { out.setService(text); });
    set_text(value.request.method, [&](auto text) { out.setMethod(text); });
    set_text(value.request.path, [&](auto text) { out.setPath(text); });
    encode_list(value.request.headers, [&](unsigned n) { return out.initHeaders(n); });
    set_data(value.request.body, [&](auto bytes) { out.setBody(bytes); });
    out.setTimeLeftMs(value.time_left.count());
    set_text(value.client_block, [&](auto text) { out.setClientBlock(text); });
    set_text(value.client_region.text(), [&](auto text) { out.setClientRegion(text); });
    set_text(value.entry_region.text(), [&](auto text) { out.setEntryRegion(text); });
    set_text(value.operation_key, [&](auto text) { out.setOperationKey(text); });
    out.setHops(value.hops);
    out.setCreditId(value.credit_id);
    set_text(value.target.text(), [&](auto text) { out.setTarget(text); });
}

forward_request decode(ForwardRequest::Reader in)
{
    forward_request value;
    value.mode = enum_of<forward_mode>(in.getMode(), forward_mode::resolve);
    value.service = service_name(text_of(in.getService()));
    value.request.method = text_of(in.getMethod());
    value.request.path = text_of(in.getPath());
    decode_list(in.getHeaders(), value.request.headers);
    value.request.body = bytes_of(in.getBody());
    value.time_left = std::chrono::milliseconds(in.getTimeLeftMs());
    value.client_block = text_of(in.getClientBlock());
    value.client_region = region_name(text_of(in.getClientRegion()));
    value.entry_region = region_name(text_of(in.getEntryRegion()));
    value.operation_key = text_of(in.getOperationKey());
    value.hops = in.getHops();
    value.credit_id = in.getCreditId();
    value.target = backend_server_name(text_of(in.getTarget()));
    return value;
}

} // namespace toucan::rpc::schema
