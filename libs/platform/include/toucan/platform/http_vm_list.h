#pragma once

#include "toucan/base/config.h"
#include "toucan/base/vm_address.h"
#include "toucan/platform/broken_response_hook.h"
#include "toucan/platform/vm_list.h"

#include <chrono>
#include <memory>

namespace toucan::platform {

class http_pool;

/// VM list over HTTP: `GET /vms`. Thread-safe.
class http_vm_list final : public vm_list {
public:
    /// @param address HTTP address of the platform.
    /// @param timeout applies separately to connecting, to sending and to each wait for a reply.
    /// @param broken called for a response that arrived but is not used; may be empty.
    explicit http_vm_list(const vm_address& address,
                          std::chrono::milliseconds timeout = config::platform_timeout,
                          broken_response_hook broken = {});
    http_vm_list(const http_vm_list&) = delete;
    http_vm_list& operator=(const http_vm_list&) = delete;
    ~http_vm_list() override;

    std::optional<std::vector<vm_entry>> fetch() override;

private:
    std::unique_ptr<http_pool> pool_;
};

} // namespace toucan::platform
