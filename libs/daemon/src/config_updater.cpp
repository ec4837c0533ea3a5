#include "config_updater.h"

#include "toucan/base/content_hash.h"
#include "toucan/base/log.h"
#include "toucan/publishing/head_row.h"

#include <chrono>
#include <utility>
#include <variant>

namespace toucan::daemon {

namespace {

constexpr std::chrono::milliseconds fetch_timeout{3000};
/// Objects requested in one call; keeps the reply far below the message size limit.
constexpr std::size_t objects_per_fetch = 32;

} // namespace

config_updater::config_updater(publishing::configuration_store& store,
                               platform::table_service* table, platform::object_store* objects,
                               rpc::daemon_client& peers)
    : store_(store), table_(table), objects_(objects), peers_(peers)
{
}

void config_updater::poll_platform()
{
    if (table_ == nullptr) {
        return;
    }
    const auto result = table_->read(publishing::head_key);
    const auto* failed = std::get_if<platform::read_failed>(&result);
    {
        const absl::MutexLock lock(&mutex_);
        if ((failed != nullptr) != platform_failing_) {
            platform_failing_ = failed != nullptr;
            log(log_part::platform)
                .warn("head row on the platform {}", failed != nullptr
                                                         ? "cannot be read: " + failed->reason
                                                         : "can be read again");
        }
        platform_answered_ = platform_answered_ || failed == nullptr;
    }
    if (const auto* row = std::get_if<platform::table_row>(&result)) {
        offer(
            row->value, [this](const auto& hashes) { return fetch_from_platform(hashes); },
            "platform");
    }
}

void config_updater::pull(vm_address peer)
{
    const auto reply = peers_.fetch(peer, {true, {}}, fetch_timeout);
    const auto* head = std::get_if<rpc::fetch_reply>(&reply);
    if (head == nullptr || head->head.empty()) {
        return;
    }
    const auto from_peer = [&](const std::vector<std::string>& hashes) {
        std::vector<std::string> found;
        for (std::size_t begin = 0; begin < hashes.size(); begin += objects_per_fetch) {
            const auto end = std::min(hashes.size(), begin + objects_per_fetch);
            rpc::fetch_request request;
            request.hashes.assign(hashes.begin() + static_cast<std::ptrdiff_t>(begin),
                                  hashes.begin() + static_cast<std::ptrdiff_t>(end));
            auto objects = peers_.fetch(peer, request, fetch_timeout);
            auto* batch = std::get_if<rpc::fetch_reply>(&objects);
            if (batch == nullptr) {
                break;
            }
            std::move(batch->objects.begin(), batch->objects.end(), std::back_inserter(found));
        }
        // The platform provides the objects that the peer does not have. The store verifies all
        // hashes.
        if (found.size() < hashes.size()) {
            auto rest = fetch_from_platform(hashes);
            std::move(rest.begin(), rest.end(), std::back_inserter(found));
        }
        return found;
    };
    offer(head->head, from_peer, peer.to_string());
}

std::vector<std::string>
config_updater::fetch_from_platform(const std::vector<std::string>& hashes) const
{
    std::vector<std::string> found;
    if (objects_ == nullptr) {
        return found;
    }
    for (const auto& it : hashes) {
        if (auto bytes = objects_->get(it)) {
            found.push_back(*std::move(bytes));
        }
    }
    return found;
}

void config_updater::offer(const std::string& head, const publishing::object_source& source,
                           const std::string& source_name)
{
    const auto result = store_.offer(head, source);
    switch (result.verdict) {
    case publishing::apply_verdict::applied:
        log(log_part::config)
            .info("configuration version {} now in force, received from {}", result.version,
                  source_name);
        break;
    case publishing::apply_verdict::refused:
    case publishing::apply_verdict::incomplete:
        log(log_part::config)
            .warn("configuration offered by {} not applied: {}", source_name, result.reason);
        break;
    case publishing::apply_verdict::in_force:
    case publishing::apply_verdict::lower_version:
        break;
    }
}

rpc::fetch_reply config_updater::handle_fetch(const rpc::fetch_request& request) const
{
    rpc::fetch_reply reply;
    if (request.head_wanted) {
        reply.head = store_.head_text();
    }
    for (const auto& it : request.hashes) {
        if (auto bytes = store_.object(it)) {
            reply.objects.push_back(*std::move(bytes));
        }
    }
    return reply;
}

bool config_updater::platform_answered() const
{
    const absl::MutexLock lock(&mutex_);
    return platform_answered_;
}

} // namespace toucan::daemon
