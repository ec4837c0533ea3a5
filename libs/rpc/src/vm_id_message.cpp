#include "vm_id_message.h"

namespace toucan::rpc::schema {

void encode(const vm_id& value, VmId::Builder out)
{
    out.setIp(value.address.ip());
    out.setPort(value.address.port());
    out.setIncarnation(value.run.value());
}

vm_id decode(VmId::Reader in)
{
    return {vm_address(in.getIp(), in.getPort()), incarnation(in.getIncarnation())};
}

} // namespace toucan::rpc::schema
