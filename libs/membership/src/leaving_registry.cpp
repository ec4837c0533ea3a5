#include "toucan/membership/leaving_registry.h"

namespace toucan::membership {

void leaving_registry::note_leaving(const rpc::leaving_backend& signal, steady_time now)
{
    auto& known = records_[signal.backend];
    if (signal.run != incarnation() && signal.run < known.run) {
        return;
    }
    if (signal.run > known.run) {
        // A signal without an incarnation was about this one if none was known before.
        if (known.run != incarnation()) {
            known.since.reset();
        }
        known.run = signal.run;
    }
    if (!known.since) {
        known.since = now;
    }
}

void leaving_registry::note_running(const backend_server_name& backend, incarnation run)
{
    auto& known = records_[backend];
    if (run > known.run) {
        if (known.run != incarnation()) {
            known.since.reset();
        }
        known.run = run;
    }
}

std::optional<steady_time> leaving_registry::leaving_since(const backend_server_name& backend) const
{
    const auto it = records_.find(backend);
    return it == records_.end() ? std::nullopt : it->second.since;
}

std::vector<rpc::leaving_backend> leaving_registry::leaving() const
{
    std::vector<rpc::leaving_backend> out;
    for (const auto& [backend, it] : records_) {
        if (it.since) {
            out.push_back({backend, it.run});
        }
    }
    return out;
}

} // namespace toucan::membership
