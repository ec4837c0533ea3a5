#pragma once

#include "toucan/base/config.h"
#include "toucan/base/vm_address.h"
#include "toucan/platform/broken_response_hook.h"
#include "toucan/platform/table_service.h"

#include <chrono>
#include <memory>

namespace toucan::platform {

class http_pool;

/// Table service over HTTP: `GET|PUT /table/<key>`. Thread-safe.
class http_table_service final : public table_service {
public:
    /// @param address HTTP address of the platform.
    /// @param timeout applies separately to connecting, to sending and to each wait for a reply.
    /// @param broken called for a response that arrived but is not used; may be empty.
    explicit http_table_service(const vm_address& address,
                                std::chrono::milliseconds timeout = config::platform_timeout,
                                broken_response_hook broken = {});
    http_table_service(const http_table_service&) = delete;
    http_table_service& operator=(const http_table_service&) = delete;
    ~http_table_service() override;

    read_result read(const std::string& key) override;
    write_result compare_and_set(const std::string& key, std::uint64_t expected_revision,
                                 const std::string& value) override;

private:
    std::unique_ptr<http_pool> pool_;
};

} // namespace toucan::platform
