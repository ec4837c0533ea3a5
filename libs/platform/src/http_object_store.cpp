#include "toucan/platform/http_object_store.h"

#include "http_pool.h"
#include "percent_encode.h"
#include "toucan/base/content_hash.h"
#include "toucan/base/last_reason.h"

#include <fmt/format.h>

namespace toucan::platform {

namespace {

constexpr int status_ok = 200;
constexpr int put_attempts = 3;

std::string object_path(const std::string& hash)
{
    return fmt::format("/objects/{}", percent_encode(hash));
}

std::string failure_reason(const std::string& hash, const httplib::Result& result)
{
    return result ? fmt::format("object {}: the platform answered with status {}", hash,
                                result->status)
                  : fmt::format("object {}: the platform did not answer ({})", hash,
                                httplib::to_string(result.error()));
}

} // namespace

http_object_store::http_object_store(const vm_address& address, std::chrono::milliseconds timeout)
    : pool_(std::make_unique<http_pool>(address, timeout))
{
}

http_object_store::~http_object_store() = default;

std::optional<std::string> http_object_store::get(const std::string& hash)
{
    const auto result = pool_->run([&](httplib::Client& it) { return it.Get(object_path(hash)); });
    if (!result || result->status != status_ok) {
        return fail(failure_reason(hash, result));
    }
    if (content_hash(result->body) != hash) {
        return fail(fmt::format("object {}: the content does not match the hash", hash));
    }
    return result->body;
}

bool http_object_store::put(const std::string& hash, const std::string& bytes)
{
    for (int attempt = 0; attempt < put_attempts; ++attempt) {
        const auto result = pool_->run([&](httplib::Client& it) {
            return it.Put(object_path(hash), bytes, "application/octet-stream");
        });
        if (result && result->status == status_ok) {
            return true;
        }
        fail(failure_reason(hash, result));
    }
    return false;
}

} // namespace toucan::platform
