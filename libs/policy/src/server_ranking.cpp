#include "toucan/policy/server_ranking.h"

#include <algorithm>

namespace toucan::policy {

namespace {

/// Mixes the bits of a hash (finalizer of MurmurHash3).
std::uint64_t mix_bits(std::uint64_t it)
{
    it ^= it >> 33U;
    it *= 0xff51afd7ed558ccdULL;
    it ^= it >> 33U;
    it *= 0xc4ceb9fe1a85ec53ULL;
    return it ^ (it >> 33U);
}

/// Rendezvous order of one object. Its mixed hash is computed once for many servers.
class object_order {
public:
    explicit object_order(std::uint64_t object) : mixed_(mix_bits(object)) {}

    [[nodiscard]] std::uint64_t weight(std::uint64_t server) const
    {
        return mix_bits(server ^ mixed_);
    }
    bool operator()(std::uint64_t lhs, std::uint64_t rhs) const
    {
        return weight(lhs) > weight(rhs);
    }

private:
    std::uint64_t mixed_;
};

void keep_first(std::vector<std::uint64_t>& servers, std::uint64_t object, std::size_t count)
{
    const auto kept = std::min(count, servers.size());
    std::partial_sort(servers.begin(), servers.begin() + static_cast<std::ptrdiff_t>(kept),
                      servers.end(), object_order(object));
    servers.resize(kept);
}

} // namespace

std::uint64_t rendezvous_weight(std::uint64_t server, std::uint64_t object)
{
    return object_order(object).weight(server);
}

double unit_position(std::uint64_t server, std::uint64_t object)
{
    constexpr double unit = 1.0 / 9007199254740992.0; // 2^-53, one step of a double in [0, 1)
    return static_cast<double>(mix_bits(object ^ mix_bits(server)) >> 11U) * unit;
}

void server_ranking::add(std::uint64_t server)
{
    servers_.push_back(server);
    for (auto& [object, kept] : kept_by_object_) {
        insert(kept, object, server);
    }
}

void server_ranking::insert(std::vector<std::uint64_t>& kept, std::uint64_t object,
                            std::uint64_t server)
{
    const auto position = std::upper_bound(kept.begin(), kept.end(), server, object_order(object));
    kept.insert(position, server);
    if (kept.size() > kept_servers) {
        kept.pop_back();
    }
}

void server_ranking::remove(std::uint64_t server)
{
    std::erase(servers_, server);
    // An object that loses a kept server is ranked again when it is next used: the server that
    // moves up is not among the kept ones.
    absl::erase_if(kept_by_object_, [&](const auto& it) {
        const auto& kept = it.second;
        return std::find(kept.begin(), kept.end(), server) != kept.end();
    });
}

absl::Span<const std::uint64_t> server_ranking::first(std::uint64_t object)
{
    if (kept_by_object_.size() >= max_objects && !kept_by_object_.contains(object)) {
        kept_by_object_.clear();
    }
    const auto [it, created] = kept_by_object_.try_emplace(object);
    if (created) {
        it->second = servers_;
        keep_first(it->second, object, kept_servers);
        it->second.shrink_to_fit();
    }
    return it->second;
}

std::vector<std::uint64_t>
server_ranking::first_eligible(std::uint64_t object, std::size_t count,
                               const std::function<bool(std::uint64_t)>& eligible) const
{
    std::vector<std::uint64_t> all;
    std::copy_if(servers_.begin(), servers_.end(), std::back_inserter(all), eligible);
    keep_first(all, object, count);
    return all;
}

std::vector<std::uint64_t> server_ranking::sample(std::uint64_t seed) const
{
    std::vector<std::uint64_t> drawn;
    const auto wanted = std::min(kept_servers, servers_.size());
    for (std::uint64_t n = 0; drawn.size() < wanted; ++n) {
        // Mixed twice, so that seeds in sequence do not draw neighbouring positions. Small sets
        // are completed in order, because random positions would repeat.
        const auto position =
            n < 2 * kept_servers ? mix_bits(seed + mix_bits(n)) : n - 2 * kept_servers;
        const auto server = servers_[position % servers_.size()];
        if (std::find(drawn.begin(), drawn.end(), server) == drawn.end()) {
            drawn.push_back(server);
        }
    }
    return drawn;
}

} // namespace toucan::policy
