#include "service_load_message.h"

#include "field_message.h"

namespace toucan::rpc::schema {

void encode(const service_load& value, ServiceLoad::Builder out)
{
    set_text(value.service.text(), [&](auto text) { out.setService(text); });
    out.setCapacitySlots(value.capacity_slots);
    out.setSpareSlots(value.spare_slots);
    out.setQueued(value.queued);
}

service_load decode(ServiceLoad::Reader in)
{
    service_load value;
    value.service = service_name(text_of(in.getService()));
    value.capacity_slots = in.getCapacitySlots();
    value.spare_slots = in.getSpareSlots();
    value.queued = in.getQueued();
    return value;
}

} // namespace toucan::rpc::schema
