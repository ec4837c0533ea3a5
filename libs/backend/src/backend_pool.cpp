#include "toucan/backend/backend_pool.h"

#include <utility>

namespace toucan::backend {

backend_pool::backend_pool(const clock& time, broken_response_hook broken)
    : clock_(time), broken_(std::move(broken))
{
}

void backend_pool::apply(const steering::configuration& it)
{
    absl::flat_hash_map<vm_address, std::shared_ptr<backend_client>> updated;
    const absl::MutexLock lock(&mutex_);
    for (const auto& service : it.services) {
        for (const auto& server : service.upstreams) {
            auto& client = updated[server.address];
            const auto existing = clients_.find(server.address);
            if (existing == clients_.end()) {
                client = std::make_shared<backend_client>(server.address, server.connections,
                                                          clock_, broken_);
                continue;
            }
            client = existing->second;
            client->set_max_connections(server.connections);
        }
    }
    clients_.swap(updated);
}

std::shared_ptr<backend_client> backend_pool::find(vm_address address) const
{
    const absl::MutexLock lock(&mutex_);
    const auto it = clients_.find(address);
    return it == clients_.end() ? nullptr : it->second;
}

std::size_t backend_pool::size() const
{
    const absl::MutexLock lock(&mutex_);
    return clients_.size();
}

} // namespace toucan::backend
