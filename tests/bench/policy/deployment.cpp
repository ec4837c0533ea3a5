#include "deployment.h"

#include <cmath>

namespace toucan::bench {

namespace {

deployment empty_deployment(const char* name, const std::vector<const char*>& regions)
{
    deployment it;
    it.name = name;
    std::uint32_t domain_index = 0;
    for (const auto* region : regions) {
        it.topology.regions.emplace_back(region);
        for (const auto* suffix : {"-1", "-2"}) {
            // Four failure domains have 4 entry VMs and two have 3: 22 in all.
            it.topology.failure_domains.push_back(
                {failure_domain_name(std::string(region) + suffix), region_name(region),
                 domain_index++ < 4 ? 4U : 3U});
        }
    }
    for (std::size_t lhs = 0; lhs < regions.size(); ++lhs) {
        for (std::size_t rhs = lhs + 1; rhs < regions.size(); ++rhs) {
            it.topology.links.push_back(
                {region_name(regions[lhs]), region_name(regions[rhs]), 4000, milliseconds(55)});
        }
    }
    return it;
}

void add_service(deployment& target, const char* name, steering::request_class priority,
                 steering::objective goal, std::uint32_t servers, std::uint32_t slots,
                 milliseconds service_time, milliseconds deadline)
{
    service_model it{{}, service_time};
    it.service.name = service_name(name);
    it.service.priority = priority;
    it.service.goal = goal;
    it.service.default_deadline = deadline;
    it.service.headroom = 0.9;
    it.service.shift = {0.05, std::chrono::seconds(5)};
    it.service.rate =
        servers * std::floor(slots * 0.9) / std::chrono::duration<double>(service_time).count();
    for (std::uint32_t n = 0; n < servers; ++n) {
        steering::backend_server server;
        server.name = backend_server_name(std::string(name) + std::to_string(n));
        server.slots = slots;
        server.failure_domain =
            target.topology.failure_domains[n % target.topology.failure_domains.size()].name;
        it.service.upstreams.push_back(server);
    }
    target.services.push_back(it);
}

} // namespace

std::vector<deployment> both_deployments()
{
    using steering::objective;
    using steering::request_class;
    auto bureau = empty_deployment("Rijksbureau", {"randstad", "noord", "zuid"});
    add_service(bureau, "checkdesk", request_class::urgent, objective::latency, 12, 9,
                milliseconds(50), milliseconds(1000));
    add_service(bureau, "recordhall", request_class::deferrable, objective::latency, 18, 9,
                milliseconds(150), milliseconds(3000));
    auto coop = empty_deployment("co-operative", {"alfold", "dunantul", "eszak"});
    add_service(coop, "rendeles", request_class::urgent, objective::headroom, 16, 5,
                milliseconds(50), milliseconds(1000));
    add_service(coop, "tervezo", request_class::deferrable, objective::headroom, 18, 4,
                milliseconds(100), milliseconds(3000));
    coop.client_delay = milliseconds(8);
    return {bureau, coop};
}

} // namespace toucan::bench
