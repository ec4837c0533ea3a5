#pragma once

#include "toucan/base/config.h"
#include "toucan/base/vm_address.h"
#include "toucan/platform/broken_response_hook.h"
#include "toucan/platform/object_store.h"

#include <chrono>
#include <memory>

namespace toucan::platform {

class http_pool;

/// Object store over HTTP: `GET|PUT /objects/<hash>`. `put` makes up to 3 attempts without a delay.
/// Thread-safe.
class http_object_store final : public object_store {
public:
    /// @param address HTTP address of the platform.
    /// @param timeout applies separately to connecting, to sending and to each wait for a reply.
    /// @param broken called for a response that arrived but is not used; may be empty.
    explicit http_object_store(const vm_address& address,
                               std::chrono::milliseconds timeout = config::platform_timeout,
                               broken_response_hook broken = {});
    http_object_store(const http_object_store&) = delete;
    http_object_store& operator=(const http_object_store&) = delete;
    ~http_object_store() override;

    std::optional<std::string> get(const std::string& hash) override;
    bool put(const std::string& hash, const std::string& bytes) override;

private:
    std::unique_ptr<http_pool> pool_;
};

} // namespace toucan::platform
