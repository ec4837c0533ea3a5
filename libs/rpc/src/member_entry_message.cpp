#include "member_entry_message.h"

#include "backend_load_message.h"
#include "field_message.h"
#include "leaving_backend_message.h"
#include "list_message.h"

namespace toucan::rpc::schema {

void encode(const member_entry& value, MemberEntry::Builder out)
{
    out.setIp(value.id.address.ip());
    out.setPort(value.id.address.port());
    out.setIncarnation(value.id.run.value());
    out.setHttpPort(value.http_port);
    set_text(value.failure_domain.text(), [&](auto text) { out.setFailureDomain(text); });
    set_text(value.region.text(), [&](auto text) { out.setRegion(text); });
    out.setState(static_cast<std::uint16_t>(value.state));
    out.setSequence(value.sequence);
    out.setConfigVersion(value.config_version);
    encode_list(value.homes, [&](unsigned n) { return out.initHomes(n); });
    encode_list(value.leaving, [&](unsigned n) { return out.initLeaving(n); });
    out.setHomesSince(value.homes_since);
}

member_entry decode(MemberEntry::Reader in)
{
    member_entry value;
    value.id = {vm_address(in.getIp(), in.getPort()), incarnation(in.getIncarnation())};
    value.http_port = in.getHttpPort();
    value.failure_domain = failure_domain_name(text_of(in.getFailureDomain()));
    value.region = region_name(text_of(in.getRegion()));
    value.state = enum_of<member_state>(in.getState(), member_state::leaving);
    value.sequence = in.getSequence();
    value.config_version = in.getConfigVersion();
    decode_list(in.getHomes(), value.homes);
    decode_list(in.getLeaving(), value.leaving);
    value.homes_since = in.getHomesSince();
    return value;
}

} // namespace toucan::rpc::schema
