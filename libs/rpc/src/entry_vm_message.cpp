#include "entry_vm_message.h"

namespace toucan::rpc::schema {

void encode(const entry_vm& value, EntryVm::Builder out)
{
    out.setIp(value.id.address.ip());
    out.setPort(value.id.address.port());
    out.setIncarnation(value.id.run.value());
    out.setHttpPort(value.http_port);
}

entry_vm decode(EntryVm::Reader in)
{
    entry_vm value;
    value.id = {vm_address(in.getIp(), in.getPort()), incarnation(in.getIncarnation())};
    value.http_port = in.getHttpPort();
    return value;
}

} // namespace toucan::rpc::schema
