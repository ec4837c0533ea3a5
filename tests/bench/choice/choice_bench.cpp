#include "toucan/base/stable_hash.h"
#include "toucan/policy/backend_choice.h"
#include "toucan/policy/server_ranking.h"

#include <fmt/format.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <random>
#include <vector>

/// Prints the processor time of one choice of a backend server at several deployment sizes, with
/// kept rankings and by ranking all servers for each choice.
namespace toucan::policy {

namespace {

using std::chrono::nanoseconds;

constexpr std::array<std::size_t, 4> server_counts{30, 300, 3000, 12000};
constexpr std::size_t object_count = 500;
constexpr std::size_t kept_choices = 200'000;
constexpr std::size_t full_choices = 500;
constexpr std::uint64_t seed = 7;

backend_option option_of(std::uint64_t server)
{
    backend_option it;
    it.id = server;
    it.slots = 9;
    it.load = static_cast<double>(server % 8);
    return it;
}

template <typename Choose>
nanoseconds time_per_call(std::size_t calls, Choose choose)
{
    std::mt19937_64 random(seed);
    std::uint64_t chosen = 0;
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t n = 0; n < calls; ++n) {
        chosen ^= choose(stable_hash(std::to_string(random() % object_count)));
    }
    const auto elapsed = std::chrono::steady_clock::now() - start;
    // Printing the result keeps the compiler from removing the calls.
    fmt::print(stderr, "checksum {}\n", chosen);
    return std::chrono::duration_cast<nanoseconds>(elapsed) / static_cast<std::int64_t>(calls);
}

void run(std::size_t servers)
{
    std::mt19937_64 random(seed);
    server_ranking ranking;
    std::vector<backend_option> all;
    for (std::size_t n = 0; n < servers; ++n) {
        const auto server = random();
        ranking.add(server);
        all.push_back(option_of(server));
    }
    const load_bounds bounds{1, 0.5, 0.25};
    const auto kept = time_per_call(kept_choices, [&](std::uint64_t object) {
        std::vector<ranked_tier> tiers(1);
        tiers[0].spread = 2;
        for (const auto server : ranking.first(object)) {
            tiers[0].options.push_back(option_of(server));
        }
        const auto* it = choose_ranked(tiers, bounds);
        return it == nullptr ? 0 : it->id;
    });
    const std::vector<std::uint32_t> spread{2};
    const auto full = time_per_call(full_choices, [&](std::uint64_t object) {
        const auto it = choose_backend(all, object, bounds, spread);
        return it ? all[*it].id : 0;
    });
    fmt::print("{:>7} servers: {:>6} ns with kept rankings, {:>9} ns with all servers ranked\n",
               servers, kept.count(), full.count());
}

} // namespace

} // namespace toucan::policy

int main()
{
    for (const auto servers : toucan::policy::server_counts) {
        toucan::policy::run(servers);
    }
    return 0;
}
