#include "toucan/membership/leaving_registry.h"

namespace toucan::membership {

void leaving_registry::record_leaving(const rpc::leaving_backend& signal, steady_time now)
{
    auto& known = records_[signal.backend];
    if (signal.run != incarnation() && signal.run < known.run) {
        return;
    }
    if (signal.run > known.run) {
        // If no incarnation was known before, an earlier signal without one applies to this one.
        if (known.run != incarnation()) {
            known.leaving_since.reset();
        }
        known.run = signal.run;
    }
    if (!known.leaving_since) {
        known.leaving_since = now;
    }
}

void leaving_registry::record_running(const backend_server_name& backend, incarnation run)
{
    auto& known = records_[backend];
    if (run > known.run) {
        if (known.run != incarnation()) {
            known.leaving_since.reset();
        }
        known.run = run;
    }
}

std::optional<steady_time> leaving_registry::leaving_since(const backend_server_name& backend) const
{
    const auto it = records_.find(backend);
    return it == records_.end() ? std::nullopt : it->second.leaving_since;
}

std::vector<rpc::leaving_backend> leaving_registry::leaving() const
{
    std::vector<rpc::leaving_backend> out;
    for (const auto& [backend, it] : records_) {
        if (it.leaving_since) {
            out.push_back({backend, it.run});
        }
    }
    return out;
}

} // namespace toucan::membership
