#include "toucan/platform/http_vm_list.h"

#include "http_pool.h"
#include "toucan/base/last_reason.h"
#include "toucan/platform/vm_list_text.h"

#include <utility>
#include <variant>

namespace toucan::platform {

http_vm_list::http_vm_list(const vm_address& address, std::chrono::milliseconds timeout,
                           broken_response_hook broken)
    : pool_(std::make_unique<http_pool>(address, timeout, std::move(broken)))
{
}

http_vm_list::~http_vm_list() = default;

std::optional<std::vector<vm_entry>> http_vm_list::fetch()
{
    constexpr int status_ok = 200;
    const auto result = pool_->call({"GET", "/vms", {}, {}});
    const auto* response = std::get_if<http_response>(&result);
    if (response == nullptr || response->status != status_ok) {
        return fail("VM list: " + describe(result));
    }
    return decode_vm_list(response->body);
}

} // namespace toucan::platform
