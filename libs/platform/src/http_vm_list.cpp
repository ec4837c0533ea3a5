#include "toucan/platform/http_vm_list.h"

#include "http_pool.h"
#include "toucan/base/last_reason.h"
#include "toucan/platform/vm_list_text.h"

#include <fmt/format.h>

namespace toucan::platform {

http_vm_list::http_vm_list(const vm_address& address, std::chrono::milliseconds timeout)
    : pool_(std::make_unique<http_pool>(address, timeout))
{
}

http_vm_list::~http_vm_list() = default;

std::optional<std::vector<vm_entry>> http_vm_list::fetch()
{
    constexpr int status_ok = 200;
    const auto result = pool_->run([](httplib::Client& it) { return it.Get("/vms"); });
    if (!result) {
        return fail(fmt::format("VM list: the platform did not answer ({})",
                                httplib::to_string(result.error())));
    }
    if (result->status != status_ok) {
        return fail(fmt::format("VM list: the platform answered with status {}", result->status));
    }
    return decode_vm_list(result->body);
}

} // namespace toucan::platform
