#include "credit_request_message.h"

#include "field_message.h"
#include "vm_id_message.h"

namespace toucan::rpc::schema {

void encode(const credit_request& value, CreditRequest::Builder out)
{
    encode(value.requester, out.initRequester());
    set_text(value.service.text(), [&](auto text) { out.setService(text); });
    set_text(value.failure_domain.text(), [&](auto text) { out.setFailureDomain(text); });
    set_text(value.region.text(), [&](auto text) { out.setRegion(text); });
    out.setWantedSlots(value.wanted_slots);
}

credit_request decode(CreditRequest::Reader in)
{
    credit_request value;
    value.requester = decode(in.getRequester());
    value.service = service_name(text_of(in.getService()));
    value.failure_domain = failure_domain_name(text_of(in.getFailureDomain()));
    value.region = region_name(text_of(in.getRegion()));
    value.wanted_slots = in.getWantedSlots();
    return value;
}

} // namespace toucan::rpc::schema
