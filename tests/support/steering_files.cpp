#include "support/steering_files.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>

namespace toucan::test {
namespace {

std::string places_text(const deployment_plan& plan)
{
    std::string out;
    std::set<std::string> regions;
    for (const auto& it : plan.domains) {
        if (regions.insert(it.region).second) {
            out += fmt::format("[[region]]\nname = \"{}\"\n", it.region);
        }
    }
    for (const auto& it : plan.domains) {
        out += fmt::format("\n[[failure_domain]]\nname = \"{}\"\nregion = \"{}\"\nentry_vms = {}\n",
                           it.name, it.region, it.entry_vms);
    }
    for (auto lhs = regions.begin(); lhs != regions.end(); ++lhs) {
        for (auto rhs = std::next(lhs); rhs != regions.end(); ++rhs) {
            out += fmt::format("\n[[link]]\nbetween = [\"{}\", \"{}\"]\n"
                               "mbit_per_s = 4000\none_way_delay_ms = 55\n",
                               *lhs, *rhs);
        }
    }
    for (std::size_t it = 0; it < plan.domains.size(); ++it) {
        out += fmt::format("\n[[client_blocks]]\nblocks = [\"{}\"]\nfailure_domain = \"{}\"\n",
                           client_block_of(it), plan.domains[it].name);
    }
    return out;
}

std::string service_text(const service_plan& it, const std::vector<backend_vm>& backends)
{
    auto out =
        fmt::format("[service]\nname = \"{}\"\nobjective = \"{}\"\nclass = \"{}\"\n"
                    "deadline_ms = {}\nrate = {:.1f}\nheadroom = {:.3f}\n"
                    "retry_share = {:.3f}\n\n[service.shift_cap]\nshare = {:.3f}\ninterval_s = {}\n"
                    "\n[[service.operation]]\nmethod = \"POST\"\npath = \"/orders\"\n"
                    "idempotent = false\n",
                    it.name, it.objective, it.request_class, it.default_deadline_ms, it.rate,
                    it.headroom, it.retry_share, it.shift_share, it.shift_interval_s);
    for (const auto& vm : backends) {
        if (vm.service == it.name) {
            out += fmt::format("\n[[service.upstream]]\nname = \"{}\"\naddress = \"{}\"\n"
                               "failure_domain = \"{}\"\nslots = {}\nconnections = {}\n"
                               "leaving = {}\n",
                               vm.name, vm.address.to_string(), vm.failure_domain, it.slots,
                               it.connections, it.leaving.contains(vm.name));
        }
    }
    return out;
}

} // namespace

void write_steering_files(const std::string& folder, const deployment_plan& plan,
                          const std::vector<backend_vm>& backends)
{
    std::ofstream(folder + "/places.toml") << places_text(plan);
    for (const auto& it : plan.services) {
        std::ofstream(folder + "/" + it.name + ".toml") << service_text(it, backends);
    }
}

std::string client_block_of(std::size_t domain_index)
{
    return fmt::format("10.{}.0.0/24", domain_index + 1);
}

} // namespace toucan::test
