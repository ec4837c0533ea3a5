#include "toucan/platform/http_object_store.h"

#include "http_pool.h"
#include "percent_encode.h"
#include "toucan/base/content_hash.h"
#include "toucan/base/last_reason.h"

#include <fmt/format.h>

#include <utility>
#include <variant>

namespace toucan::platform {

namespace {

constexpr int status_ok = 200;
constexpr int put_attempts = 3;

std::string object_path(const std::string& hash)
{
    return fmt::format("/objects/{}", percent_encode(hash));
}

std::string failure_reason(const std::string& hash, const blocking_http_client::result& result)
{
    return fmt::format("object {}: {}", hash, describe(result));
}

/// @return the response if its status is 200, else null.
const http_response* successful(const blocking_http_client::result& it)
{
    const auto* response = std::get_if<http_response>(&it);
    return response != nullptr && response->status == status_ok ? response : nullptr;
}

} // namespace

http_object_store::http_object_store(const vm_address& address, std::chrono::milliseconds timeout,
                                     broken_response_hook broken)
    : pool_(std::make_unique<http_pool>(address, timeout, std::move(broken)))
{
}

http_object_store::~http_object_store() = default;

std::optional<std::string> http_object_store::get(const std::string& hash)
{
    const auto result = pool_->call({"GET", object_path(hash), {}, {}});
    const auto* response = successful(result);
    if (response == nullptr) {
        return fail(failure_reason(hash, result));
    }
    if (content_hash(response->body) != hash) {
        return fail(fmt::format("object {}: the content does not match the hash", hash));
    }
    return response->body;
}

bool http_object_store::put(const std::string& hash, const std::string& bytes)
{
    const http_request request{
        "PUT", object_path(hash), {{"Content-Type", "application/octet-stream"}}, bytes};
    for (int attempt = 0; attempt < put_attempts; ++attempt) {
        const auto result = pool_->call(request);
        if (successful(result) != nullptr) {
            return true;
        }
        fail(failure_reason(hash, result));
    }
    return false;
}

} // namespace toucan::platform
