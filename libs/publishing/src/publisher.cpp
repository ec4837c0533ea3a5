#include "toucan/publishing/publisher.h"

#include "head_write.h"
#include "toucan/base/config.h"
#include "toucan/base/content_hash.h"
#include "toucan/base/last_reason.h"

#include <absl/container/flat_hash_set.h>
#include <fmt/format.h>

#include <random>
#include <thread>
#include <utility>

namespace toucan::publishing {

namespace {

std::string random_publisher_id()
{
    std::random_device random;
    return fmt::format("{:08x}{:08x}{:08x}{:08x}", random(), random(), random(), random());
}

} // namespace

publisher::publisher(platform::table_service& table, platform::object_store& objects,
                     std::string name)
    : publisher(table, objects, std::move(name), options())
{
}

publisher::publisher(platform::table_service& table, platform::object_store& objects,
                     std::string name, options settings)
    : table_(table), objects_(objects), name_(std::move(name)), options_(std::move(settings))
{
    if (!options_.sleep) {
        options_.sleep = [](std::chrono::milliseconds duration) {
            std::this_thread::sleep_for(duration);
        };
    }
}

bool publisher::upload(const std::string& hash, const std::string& bytes)
{
    // The first publish operation writes more objects than the platform accepts per second, so
    // rejected writes are retried.
    auto backoff = options_.initial_backoff;
    for (int it = 1; !objects_.put(hash, bytes); ++it) {
        if (it >= options_.max_attempts) {
            return false;
        }
        options_.sleep(backoff);
        backoff *= 2;
    }
    return true;
}

publish_result publisher::publish(const steering::steering_source& source)
{
    const auto read = table_.read(head_key);
    if (const auto* it = std::get_if<platform::read_failed>(&read); it != nullptr) {
        return not_accepted{fmt::format("cannot read the head row: {}", it->reason)};
    }
    head_row row;
    row.version = 1;
    row.publisher_id = random_publisher_id();
    row.publisher_name = name_;
    std::uint64_t revision = 0;
    steering::manifest parent;
    bool parent_known = true;
    if (const auto* it = std::get_if<platform::table_row>(&read); it != nullptr) {
        const auto head = decode_head_row(it->value);
        if (!head) {
            return not_accepted{last_reason()};
        }
        revision = it->revision;
        row.version = head->version + 1;
        row.parent_manifest_hash = head->manifest_hash;
        row.parent_publisher_id = head->publisher_id;
        const auto text = objects_.get(head->manifest_hash);
        auto decoded = text ? steering::decode_manifest(*text) : std::nullopt;
        parent_known = decoded.has_value();
        if (decoded) {
            parent = std::move(*decoded);
        }
    }

    const auto pieces = steering::make_pieces(source);
    const auto manifest = steering::make_manifest(pieces);
    const auto manifest_text = encode(manifest);
    row.manifest_hash = content_hash(manifest_text);
    if (parent_known) {
        auto changes = difference(parent, manifest);
        if (changes.size() <= config::max_changed_pieces_in_head) {
            row.changes = std::move(changes);
        }
    }

    // The objects of the parent are already in the object store, because it was published.
    absl::flat_hash_set<std::string> stored_hashes;
    for (const auto& it : parent.entries) {
        stored_hashes.insert(it.hash);
    }
    for (std::size_t i = 0; i < pieces.size(); ++i) {
        const auto& hash = manifest.entries[i].hash;
        if (stored_hashes.insert(hash).second && !upload(hash, pieces[i].content)) {
            return not_accepted{
                fmt::format("cannot upload piece {}: {}", pieces[i].name, last_reason())};
        }
    }
    if (!upload(row.manifest_hash, manifest_text)) {
        return not_accepted{fmt::format("cannot upload the manifest: {}", last_reason())};
    }
    return head_write(table_, revision, std::move(row), options_).run();
}

} // namespace toucan::publishing
