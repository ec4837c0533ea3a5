#include "peer_report.h"

#include "packed_text.h"
#include "peer.capnp.h"

#include "toucan/base/last_reason.h"

#include <capnp/message.h>

#include <algorithm>
#include <cmath>

namespace toucan::edge {

namespace {

/// Units per slot of an encoded load.
constexpr double units_per_slot = 256;
/// Units of an encoded request rate per request and second.
constexpr double units_per_request_rate = 4;
/// Unit of an encoded age.
constexpr std::chrono::milliseconds age_unit{10};

/// Rounds and clamps to the range of the result type.
std::uint16_t saturated(double value)
{
    return static_cast<std::uint16_t>(std::clamp(std::round(value), 0.0, 65535.0));
}

template <typename Source, typename List, typename Write>
void write_list(const Source& source, List list, Write write)
{
    unsigned n = 0;
    for (const auto& it : source) {
        write(list, n++, it);
    }
}

template <typename Source>
unsigned count_of(const Source& it)
{
    return static_cast<unsigned>(it.size());
}

void write_load(const policy::load_summary& load, wire::PeerReport::Builder report)
{
    write_list(load.backends(), report.initLoads(count_of(load.backends())),
               [](auto list, unsigned n, const auto& it) {
                   list[n].setBackend(it.first);
                   list[n].setSlots(saturated(it.second.slots * units_per_slot));
                   list[n].setDaemons(saturated(it.second.daemons));
               });
    write_list(load.requests(), report.initRequests(count_of(load.requests())),
               [](auto list, unsigned n, const auto& it) {
                   list[n].setBackend(it.first);
                   list[n].setRequests(saturated(it.second.requests));
                   list[n].setOffers(saturated(it.second.offers));
                   list[n].setDaemons(saturated(it.second.daemons));
               });
    write_list(load.demands(), report.initDemands(count_of(load.demands())),
               [](auto list, unsigned n, const auto& it) {
                   list[n].setRegion(it.first.first);
                   list[n].setService(it.first.second);
                   list[n].setSlots(static_cast<float>(it.second));
               });
}

void write_workspaces(const peer_report& it, wire::PeerReport::Builder report)
{
    report.setHasWorkspaces(it.has_workspaces);
    const auto& all = it.load.workspaces();
    // An empty list would take bytes in deployments without workspaces.
    if (!it.has_workspaces || all.empty()) {
        return;
    }
    write_list(all, report.initWorkspaces(count_of(all)),
               [](auto list, unsigned n, const auto& each) {
                   list[n].setWorkspace(each.first);
                   list[n].setAdmitted(saturated(each.second.admitted));
                   list[n].setAsked(saturated(each.second.asked_per_s * units_per_request_rate));
                   list[n].setDaemons(saturated(each.second.daemons));
               });
}

void write_members(const peer_report& it, wire::PeerReport::Builder report)
{
    write_list(it.members, report.initMembers(count_of(it.members)),
               [](auto list, unsigned n, const member_status& status) {
                   list[n].setMember(status.member);
                   list[n].setAge(saturated(static_cast<double>(status.age / age_unit)));
                   list[n].setReady(status.ready);
               });
    write_list(it.contained, report.initContained(count_of(it.contained)),
               [](auto list, unsigned n, const report_mark& mark) {
                   list[n].setMember(mark.member);
                   list[n].setNumber(mark.number);
               });
}

void write_rate_limits(const peer_report& it, wire::PeerReport::Builder report)
{
    write_list(it.rate_limits, report.initRateLimits(count_of(it.rate_limits)),
               [](auto list, unsigned n, const reported_rate_limit& limit) {
                   list[n].setBackend(limit.backend);
                   list[n].setRequestsPerS(static_cast<float>(limit.requests_per_s));
                   list[n].setAge(saturated(static_cast<double>(limit.age / age_unit)));
               });
}

void write_store(const store_view& it, wire::PeerReport::Builder report)
{
    write_list(
        it.tables, report.initTableVersions(count_of(it.tables)),
        [](auto list, unsigned n, const table_report& table) { list.set(n, table.newest_row); });
    write_list(it.tables, report.initTableStoreTimes(count_of(it.tables)),
               [](auto list, unsigned n, const table_report& table) {
                   list.set(n, static_cast<std::uint64_t>(table.store_time.count()));
               });
    write_list(it.tables, report.initTableEras(count_of(it.tables)),
               [](auto list, unsigned n, const table_report& table) { list.set(n, table.era); });
    report.setEvacuatedAt(it.evacuated_at.version);
    report.setEvacuatedEra(it.evacuated_at.era);
    write_list(it.evacuated, report.initEvacuated(count_of(it.evacuated)),
               [](auto list, unsigned n, std::uint32_t domain) { list.set(n, domain); });
}

policy::load_summary read_load(wire::PeerReport::Reader report)
{
    policy::load_summary load;
    for (const auto it : report.getLoads()) {
        load.add_backend(it.getBackend(), {it.getSlots() / units_per_slot, it.getDaemons()});
    }
    for (const auto it : report.getRequests()) {
        load.add_requests(it.getBackend(), {static_cast<double>(it.getRequests()),
                                            static_cast<double>(it.getOffers()), it.getDaemons()});
    }
    for (const auto it : report.getDemands()) {
        const double slots = it.getSlots();
        load.add_demand({it.getRegion(), it.getService()}, std::isfinite(slots) ? slots : 0);
    }
    for (const auto it : report.getWorkspaces()) {
        load.add_workspace(it.getWorkspace(),
                           {static_cast<double>(it.getAdmitted()),
                            it.getAsked() / units_per_request_rate, it.getDaemons()});
    }
    return load;
}

store_view read_store(wire::PeerReport::Reader report)
{
    store_view it;
    const auto times = report.getTableStoreTimes();
    const auto eras = report.getTableEras();
    for (const auto version : report.getTableVersions()) {
        const auto n = static_cast<unsigned>(it.tables.size());
        const auto store_time = n < times.size() ? static_cast<std::int64_t>(times[n]) : 0;
        it.tables.push_back({version,
                             std::chrono::milliseconds(std::max<std::int64_t>(store_time, 0)),
                             n < eras.size() ? eras[n] : 0});
    }
    it.evacuated_at = {report.getEvacuatedEra(), report.getEvacuatedAt()};
    for (const auto domain : report.getEvacuated()) {
        it.evacuated.push_back(domain);
    }
    return it;
}

std::optional<peer_report> read_report(wire::PeerReport::Reader report)
{
    if (report.getKind() > wire::PeerReport::Kind::PROBE) {
        return fail("peer report: unknown report kind");
    }
    peer_report it;
    it.kind = static_cast<report_kind>(report.getKind());
    it.sender = report.getSender();
    it.run = report.getRun();
    it.number = report.getNumber();
    it.ready = report.getReady();
    it.load = read_load(report);
    it.has_workspaces = report.getHasWorkspaces();
    for (const auto status : report.getMembers()) {
        it.members.push_back({status.getMember(), status.getAge() * age_unit, status.getReady()});
    }
    for (const auto mark : report.getContained()) {
        it.contained.push_back({mark.getMember(), mark.getNumber()});
    }
    for (const auto limit : report.getRateLimits()) {
        const double rate = limit.getRequestsPerS();
        if (std::isfinite(rate) && rate >= 0) {
            it.rate_limits.push_back({limit.getBackend(), rate, limit.getAge() * age_unit});
        }
    }
    it.store = read_store(report);
    return it;
}

} // namespace

std::string encode(const peer_report& it)
{
    capnp::MallocMessageBuilder message;
    auto report = message.initRoot<wire::PeerReport>();
    report.setKind(static_cast<wire::PeerReport::Kind>(it.kind));
    report.setSender(it.sender);
    report.setRun(it.run);
    report.setNumber(it.number);
    report.setReady(it.ready);
    write_load(it.load, report);
    write_workspaces(it, report);
    write_members(it, report);
    write_rate_limits(it, report);
    write_store(it.store, report);
    return packed_text(message);
}

std::optional<peer_report> decode_peer_report(std::string_view bytes)
{
    return read_packed<wire::PeerReport>(bytes, "peer report", read_report);
}

} // namespace toucan::edge
