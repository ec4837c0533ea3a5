#include "view_builder.h"

#include "toucan/membership/home_selection.h"

#include <algorithm>
#include <set>
#include <utility>

namespace toucan::daemon {

namespace {

/// One-way delay assumed between failure domains of one region.
constexpr std::chrono::milliseconds same_region_delay{1};
/// One-way delay assumed between regions without a configured link.
constexpr std::chrono::milliseconds unknown_link_delay{100};

std::chrono::milliseconds delay_between(const steering::deployment_topology& topology,
                                        const region_name& lhs, const region_name& rhs)
{
    if (lhs == rhs) {
        return same_region_delay;
    }
    const auto* link = topology.find_link(lhs, rhs);
    return link != nullptr ? link->one_way_delay : unknown_link_delay;
}

std::vector<vm_address> addresses(const std::vector<rpc::entry_vm>& entry_vms)
{
    std::vector<vm_address> result;
    result.reserve(entry_vms.size());
    for (const auto& it : entry_vms) {
        result.push_back(it.id.address);
    }
    return result;
}

class routing_view_builder {
public:
    routing_view_builder(std::shared_ptr<const steering::configuration> config,
                         const membership::member_view& members)
        : members_(members), view_(std::make_shared<routing_view>())
    {
        view_->config = std::move(config);
        view_->local_region = members.self.region;
        view_->local_domain = members.self.failure_domain;
        for (const auto& it : members.leaving) {
            leaving_backends_.insert(it.backend);
        }
    }

    std::shared_ptr<routing_view> build()
    {
        add_entry_candidates();
        add_loads();
        add_shift_share();
        for (const auto& it : view_->config->services) {
            add_service(it);
        }
        return std::move(view_);
    }

private:
    void add_entry_vm(const rpc::entry_vm& it, const failure_domain_name& domain)
    {
        view_->entry_candidates.push_back({it.id, domain, true, false});
        view_->http_ports[it.id.address] = it.http_port;
    }

    void add_entry_candidates()
    {
        for (const auto& it : members_.entry_vms) {
            add_entry_vm(it, view_->local_domain);
        }
        for (const auto& it : members_.summaries) {
            if (!it.usable) {
                continue;
            }
            for (const auto& vm : it.summary->entry_vms) {
                add_entry_vm(vm, it.summary->failure_domain);
            }
        }
    }

    void add_loads()
    {
        for (const auto& it : members_.members) {
            if (!it.last_contact) {
                continue;
            }
            for (const auto& load : it.entry.homes) {
                view_->loads.push_back({load, *it.last_contact});
            }
        }
    }

    /// Determines this daemon's share of shift caps, which are divided among the configured entry
    /// VMs. Shares are numbered by failure domain in configuration order and then by address, so
    /// that all daemons number them alike.
    void add_shift_share()
    {
        std::vector<vm_address> domain_addresses = {members_.self.id.address};
        for (const auto& it : members_.members) {
            domain_addresses.push_back(it.entry.id.address);
        }
        std::sort(domain_addresses.begin(), domain_addresses.end());
        const auto self =
            std::find(domain_addresses.begin(), domain_addresses.end(), members_.self.id.address);
        const auto index = static_cast<std::uint32_t>(self - domain_addresses.begin());
        std::uint32_t total_vms = 0;
        std::uint32_t first_index = 0;
        std::uint32_t configured_vms = 0;
        for (const auto& it : view_->config->topology.failure_domains) {
            if (it.name == view_->local_domain) {
                first_index = total_vms;
                configured_vms = it.entry_vms;
            }
            total_vms += it.entry_vms;
        }
        // A VM beyond the configured number gets no share; otherwise the shares would exceed the
        // cap.
        view_->has_shift_share = index < configured_vms;
        view_->shift_share_index = first_index + index;
        view_->shift_share_count = std::max(total_vms, 1U);
    }

    void add_service(const steering::service& service)
    {
        service_view result;
        result.service = &service;
        for (const auto& it : service.upstreams) {
            if (it.failure_domain == view_->local_domain) {
                const auto home = membership::home_of(it.name, addresses(members_.entry_vms));
                const bool leaving = it.leaving || leaving_backends_.count(it.name) > 0 || !home;
                result.local_backends.push_back(
                    {it.name, it.slots, home.value_or(vm_address()), leaving});
            }
        }
        for (const auto& it : members_.summaries) {
            if (it.usable) {
                add_remote(service, *it.summary, result);
            }
        }
        std::stable_sort(
            result.remote_domains.begin(), result.remote_domains.end(),
            [](const auto& lhs, const auto& rhs) { return lhs.one_way_delay < rhs.one_way_delay; });
        view_->services.emplace(service.name, std::move(result));
    }

    void add_remote(const steering::service& service, const rpc::domain_summary& summary,
                    service_view& result)
    {
        remote_domain remote;
        remote.name = summary.failure_domain;
        remote.region = summary.region;
        remote.one_way_delay =
            delay_between(view_->config->topology, view_->local_region, summary.region);
        for (const auto& it : service.upstreams) {
            if (it.failure_domain != remote.name || it.leaving ||
                leaving_backends_.count(it.name) > 0) {
                continue;
            }
            const auto home = membership::home_of(it.name, addresses(summary.entry_vms));
            if (home &&
                std::find(remote.homes.begin(), remote.homes.end(), *home) == remote.homes.end()) {
                remote.homes.push_back(*home);
            }
        }
        const auto load = std::find_if(summary.services.begin(), summary.services.end(),
                                       [&](const auto& it) { return it.service == service.name; });
        if (load != summary.services.end()) {
            remote.spare_slots = load->spare_slots;
        }
        if (!remote.homes.empty()) {
            result.remote_domains.push_back(std::move(remote));
        }
    }

    const membership::member_view& members_;
    std::set<backend_server_name> leaving_backends_;
    std::shared_ptr<routing_view> view_;
};

} // namespace

std::shared_ptr<routing_view>
build_routing_view(std::shared_ptr<const steering::configuration> config,
                   const membership::member_view& members)
{
    return routing_view_builder(std::move(config), members).build();
}

std::vector<home_assignment> assigned_homes(const routing_view& view, vm_address self)
{
    std::vector<home_assignment> assignments;
    for (const auto& [name, service] : view.services) {
        const auto& upstreams = service.service->upstreams;
        std::uint32_t region_backends = 0;
        std::vector<std::pair<const steering::backend_server*, std::uint32_t>> assigned;
        for (const auto& it : upstreams) {
            const auto* domain = view.config->topology.find(it.failure_domain);
            if (domain == nullptr || domain->region != view.local_region) {
                continue;
            }
            const auto local =
                std::find_if(service.local_backends.begin(), service.local_backends.end(),
                             [&](const auto& other) { return other.name == it.name; });
            if (local != service.local_backends.end() && local->home == self) {
                assigned.emplace_back(&it, region_backends);
            }
            ++region_backends;
        }
        for (const auto& [backend, index] : assigned) {
            assignments.push_back(
                {*service.service,
                 *backend,
                 view.local_region,
                 {policy::cap_requests(*service.service), index, region_backends}});
        }
    }
    return assignments;
}

} // namespace toucan::daemon
