#include "toucan/publishing/configuration_store.h"

#include "toucan/base/content_hash.h"
#include "toucan/base/last_reason.h"
#include "toucan/base/log.h"
#include "toucan/steering/build_configuration.h"

#include <fmt/format.h>

#include <malloc.h>

#include <utility>

namespace toucan::publishing {

namespace {

using object_map = absl::flat_hash_map<std::string, std::shared_ptr<const std::string>>;

/// Fetches objects and verifies their hashes. Objects that were not requested, which includes
/// objects with damaged content, are discarded.
/// @param objects receives the objects.
/// @return hash of the first missing object, or empty text.
std::string fetch(const std::vector<std::string>& hashes, const object_source& source,
                  object_map& objects)
{
    if (hashes.empty()) {
        return {};
    }
    object_map found;
    for (auto& it : source(hashes)) {
        auto hash = content_hash(it);
        // The object stays in memory as long as its configuration is in force.
        it.shrink_to_fit();
        found.emplace(std::move(hash), std::make_shared<const std::string>(std::move(it)));
    }
    for (const auto& hash : hashes) {
        const auto it = found.find(hash);
        if (it == found.end()) {
            return hash;
        }
        objects.insert(*it);
    }
    return {};
}

} // namespace

std::shared_ptr<const configuration_store::state> configuration_store::snapshot() const
{
    const absl::MutexLock lock(&mutex_);
    return state_;
}

std::shared_ptr<const steering::configuration> configuration_store::current() const
{
    const auto active = snapshot();
    return active ? active->config : nullptr;
}

std::uint64_t configuration_store::version() const
{
    const auto active = snapshot();
    return active ? active->head.version : 0;
}

std::string configuration_store::head_text() const
{
    const auto active = snapshot();
    return active ? active->head_text : std::string();
}

std::optional<std::string> configuration_store::object(const std::string& hash) const
{
    const auto active = snapshot();
    if (!active) {
        return fail("no configuration is in force");
    }
    const auto it = active->objects.find(hash);
    if (it == active->objects.end()) {
        return fail("the object is not part of the configuration in force");
    }
    return *it->second;
}

std::optional<apply_result> configuration_store::check_version(const state* active,
                                                               const head_row& head)
{
    if (active == nullptr || head.version > active->head.version) {
        return std::nullopt;
    }
    const auto version = active->head.version;
    if (head.version < version) {
        return apply_result{apply_verdict::lower_version, version,
                            fmt::format("version {} is lower than {}", head.version, version)};
    }
    if (head == active->head) {
        return apply_result{apply_verdict::in_force, version, {}};
    }
    log(log_part::config)
        .error("Refusing head row of version {} from {}: version {} from {} is already in force.",
               version, head.publisher_name, version, active->head.publisher_name);
    return apply_result{
        apply_verdict::refused, version,
        fmt::format("a different head row of version {} is already in force", version)};
}

std::optional<steering::manifest> configuration_store::load_manifest(const state* active,
                                                                     const head_row& head,
                                                                     const object_source& source,
                                                                     object_map& objects,
                                                                     apply_verdict& failure)
{
    failure = apply_verdict::refused;
    if (active != nullptr && head.changes &&
        head.parent_manifest_hash == active->head.manifest_hash) {
        const auto parent =
            steering::decode_manifest(*active->objects.at(head.parent_manifest_hash));
        if (parent) {
            auto value = apply_changes(*parent, *head.changes);
            auto text = encode(value);
            if (content_hash(text) == head.manifest_hash) {
                objects.emplace(head.manifest_hash,
                                std::make_shared<const std::string>(std::move(text)));
                return value;
            }
        }
    }
    if (active != nullptr && active->head.manifest_hash == head.manifest_hash) {
        objects.insert(*active->objects.find(head.manifest_hash));
    }
    else if (!fetch({head.manifest_hash}, source, objects).empty()) {
        failure = apply_verdict::incomplete;
        return fail("the manifest is not available");
    }
    return steering::decode_manifest(*objects.at(head.manifest_hash));
}

apply_result configuration_store::offer(const std::string& head_text, const object_source& source)
{
    const auto head = decode_head_row(head_text);
    if (!head) {
        return {apply_verdict::refused, version(), last_reason()};
    }
    auto base = snapshot();
    if (auto result = check_version(base.get(), *head); result) {
        return std::move(*result);
    }

    object_map objects;
    auto failure = apply_verdict::refused;
    const auto manifest = load_manifest(base.get(), *head, source, objects, failure);
    if (!manifest) {
        return {failure, version(), last_reason()};
    }
    std::vector<std::string> missing;
    for (const auto& it : manifest->entries) {
        const auto held = base ? base->objects.find(it.hash) : object_map::const_iterator();
        if (base && held != base->objects.end()) {
            objects.insert(*held);
        }
        else if (objects.find(it.hash) == objects.end()) {
            missing.push_back(it.hash);
        }
    }
    if (const auto hash = fetch(missing, source, objects); !hash.empty()) {
        return {apply_verdict::incomplete, version(),
                fmt::format("object {} is not available", hash)};
    }

    const absl::MutexLock building(&build_mutex_);
    // Another thread may have applied a configuration during the fetch. The state changes only
    // while `build_mutex_` is held, so the result of this check stays valid until the state is
    // replaced.
    auto active = snapshot();
    if (auto result = check_version(active.get(), *head); result) {
        return std::move(*result);
    }
    auto result = build(*head, head_text, *manifest, std::move(objects), active.get());
    if (result.verdict == apply_verdict::applied) {
        log(log_part::config)
            .info("Configuration version {} published by {} is in force.", head->version,
                  head->publisher_name);
        // Building frees several megabytes, which glibc would otherwise retain. A daemon is limited
        // to 32 MB in total.
        base.reset();
        active.reset();
        malloc_trim(0);
    }
    return result;
}

apply_result configuration_store::build(const head_row& head, const std::string& head_text,
                                        const steering::manifest& manifest, object_map objects,
                                        const state* active)
{
    std::optional<steering::manifest> previous_manifest;
    std::optional<steering::built_configuration> previous;
    if (active != nullptr) {
        previous_manifest =
            steering::decode_manifest(*active->objects.at(active->head.manifest_hash));
        if (previous_manifest) {
            previous.emplace(steering::built_configuration{*active->config, *previous_manifest});
        }
    }
    const auto read = [&](const steering::manifest_entry& entry) {
        const auto it = objects.find(entry.hash);
        return it == objects.end() ? nullptr : it->second;
    };
    auto config = steering::build_configuration(head.version, manifest, read, previous);
    if (!config) {
        log(log_part::config)
            .error("Refusing configuration version {} published by {}: {}.", head.version,
                   head.publisher_name, last_reason());
        return {apply_verdict::refused, active != nullptr ? active->head.version : 0,
                last_reason()};
    }
    auto next = std::make_shared<state>();
    next->config = std::make_shared<const steering::configuration>(std::move(*config));
    next->head = head;
    next->head_text = head_text;
    next->objects = std::move(objects);
    const absl::MutexLock lock(&mutex_);
    state_ = std::move(next);
    return {apply_verdict::applied, head.version, {}};
}

} // namespace toucan::publishing
