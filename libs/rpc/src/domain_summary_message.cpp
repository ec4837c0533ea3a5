#include "domain_summary_message.h"

#include "entry_vm_message.h"
#include "field_message.h"
#include "leaving_backend_message.h"
#include "list_message.h"
#include "service_load_message.h"
#include "vm_id_message.h"

namespace toucan::rpc::schema {

void encode(const domain_summary& value, DomainSummary::Builder out)
{
    set_text(value.failure_domain.text(), [&](auto text) { out.setFailureDomain(text); });
    set_text(value.region.text(), [&](auto text) { out.setRegion(text); });
    out.setRevision(value.revision);
    encode(value.writer, out.initWriter());
    out.setConfigVersion(value.config_version);
    encode_list(value.entry_vms, [&](unsigned n) { return out.initEntryVms(n); });
    encode_list(value.services, [&](unsigned n) { return out.initServices(n); });
    encode_list(value.leaving, [&](unsigned n) { return out.initLeaving(n); });
}

domain_summary decode(DomainSummary::Reader in)
{
    domain_summary value;
    value.failure_domain = failure_domain_name(text_of(in.getFailureDomain()));
    value.region = region_name(text_of(in.getRegion()));
    value.revision = in.getRevision();
    value.writer = decode(in.getWriter());
    value.config_version = in.getConfigVersion();
    decode_list(in.getEntryVms(), value.entry_vms);
    decode_list(in.getServices(), value.services);
    decode_list(in.getLeaving(), value.leaving);
    return value;
}

} // namespace toucan::rpc::schema
