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

/// Adds those objects that were asked for; anything else that the source returned is dropped.
/// @return the first object that is missing, or empty text.
std::string fetch(const std::vector<std::string>& hashes, const object_source& source,
                  object_map& objects)
{
    if (hashes.empty()) {
        return {};
    }
    object_map found;
    for (auto& it : source(hashes)) {
        auto hash = content_hash(it);
        // The object is held for as long as it is in force.
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

std::shared_ptr<const configuration_store::state> configuration_store::in_force() const
{
    const absl::MutexLock lock(&mutex_);
    return state_;
}

std::shared_ptr<const steering::configuration> configuration_store::current() const
{
    const auto now = in_force();
    return now ? now->config : nullptr;
}

std::uint64_t configuration_store::version() const
{
    const auto now = in_force();
    return now ? now->head.version : 0;
}

std::string configuration_store::head_text() const
{
    const auto now = in_force();
    return now ? now->head_text : std::string();
}

std::optional<std::string> configuration_store::object(const std::string& hash) const
{
    const auto now = in_force();
    if (!now) {
        return fail("no configuration is in force");
    }
    const auto it = now->objects.find(hash);
    if (it == now->objects.end()) {
        return fail("the object does not belong to the configuration in force");
    }
    return *it->second;
}

std::optional<apply_result> configuration_store::compare(const state* now, const head_row& head)
{
    if (now == nullptr || head.version > now->head.version) {
        return std::nullopt;
    }
    const auto version = now->head.version;
    if (head.version < version) {
        return apply_result{apply_verdict::lower_version, version,
                            fmt::format("version {} is lower than {}", head.version, version)};
    }
    if (head == now->head) {
        return apply_result{apply_verdict::in_force, version, {}};
    }
    log(log_part::config)
        .error("Version {} of {} was offered, but version {} of {} is in force.", version,
               head.publisher_name, version, now->head.publisher_name);
    return apply_result{apply_verdict::refused, version,
                        fmt::format("another head row of version {} is in force", version)};
}

std::optional<steering::manifest> configuration_store::find_manifest(const state* now,
                                                                     const head_row& head,
                                                                     const object_source& source,
                                                                     object_map& objects,
                                                                     apply_verdict& failure)
{
    failure = apply_verdict::refused;
    if (now != nullptr && head.changes && head.parent_manifest_hash == now->head.manifest_hash) {
        const auto parent = steering::decode_manifest(*now->objects.at(head.parent_manifest_hash));
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
    if (now != nullptr && now->head.manifest_hash == head.manifest_hash) {
        objects.insert(*now->objects.find(head.manifest_hash));
    }
    else if (!fetch({head.manifest_hash}, source, objects).empty()) {
        failure = apply_verdict::incomplete;
        return fail("the manifest is missing");
    }
    return steering::decode_manifest(*objects.at(head.manifest_hash));
}

apply_result configuration_store::offer(const std::string& head_text, const object_source& source)
{
    const auto head = decode_head_row(head_text);
    if (!head) {
        return {apply_verdict::refused, version(), last_reason()};
    }
    auto base = in_force();
    if (auto result = compare(base.get(), *head); result) {
        return std::move(*result);
    }

    object_map objects;
    auto failure = apply_verdict::refused;
    const auto manifest = find_manifest(base.get(), *head, source, objects, failure);
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
                fmt::format("the object {} is missing", hash)};
    }

    const absl::MutexLock building(&build_mutex_);
    // Another offer may have been applied while this one fetched. Only holders of `build_mutex_`
    // change the state, so this comparison holds until the swap.
    auto now = in_force();
    if (auto result = compare(now.get(), *head); result) {
        return std::move(*result);
    }
    auto result = build(*head, head_text, *manifest, std::move(objects), now.get());
    if (result.verdict == apply_verdict::applied) {
        log(log_part::config)
            .info("Version {} of {} is in force.", head->version, head->publisher_name);
        // Building frees megabytes that glibc would keep, and a daemon has 32 MB in all.
        base.reset();
        now.reset();
        malloc_trim(0);
    }
    return result;
}

apply_result configuration_store::build(const head_row& head, const std::string& head_text,
                                        const steering::manifest& manifest, object_map objects,
                                        const state* now)
{
    std::optional<steering::manifest> previous_manifest;
    std::optional<steering::built_configuration> previous;
    if (now != nullptr) {
        previous_manifest = steering::decode_manifest(*now->objects.at(now->head.manifest_hash));
        if (previous_manifest) {
            previous.emplace(steering::built_configuration{*now->config, *previous_manifest});
        }
    }
    const auto read = [&](const steering::manifest_entry& entry) {
        const auto it = objects.find(entry.hash);
        return it == objects.end() ? nullptr : it->second;
    };
    auto config = steering::build_configuration(head.version, manifest, read, previous);
    if (!config) {
        log(log_part::config)
            .error("Version {} of {} cannot be used: {}.", head.version, head.publisher_name,
                   last_reason());
        return {apply_verdict::refused, now != nullptr ? now->head.version : 0, last_reason()};
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
