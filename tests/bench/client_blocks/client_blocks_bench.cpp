// Measures memory and time of the client block table, and of applying a configuration, at the
// target size of 720000 client blocks. Seeds are fixed.
#include "toucan/base/content_hash.h"
#include "toucan/publishing/configuration_store.h"
#include "toucan/steering/client_block_table.h"
#include "toucan/steering/manifest.h"
#include "toucan/steering/piece.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <chrono>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace toucan;
using namespace toucan::steering;
using bench_clock = std::chrono::steady_clock;

constexpr std::uint64_t seed = 720'000;
constexpr std::size_t lookups = 4'000'000;
constexpr unsigned failure_domains = 76;

double milliseconds_since(bench_clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(bench_clock::now() - start).count();
}

/// Reads a field of /proc/self/status, for example `VmRSS:` or `VmHWM:`.
/// @return value in KiB, 0 if the field is absent.
std::size_t status_kib(const std::string& field)
{
    std::ifstream in("/proc/self/status");
    std::string word;
    while (in >> word) {
        if (word == field) {
            std::size_t value = 0;
            in >> value;
            return value;
        }
    }
    return 0;
}

/// Generates distinct blocks: 90 % are /24, the others are /16 to /28 and may nest. Each has a
/// random failure domain.
std::vector<client_block> make_blocks(std::size_t n)
{
    std::mt19937_64 random(seed);
    std::set<std::pair<std::uint32_t, std::uint8_t>> used;
    std::vector<client_block> out;
    out.reserve(n);
    while (out.size() < n) {
        const auto percent = random() % 100;
        const auto length = static_cast<std::uint8_t>(percent < 90 ? 24 : 16 + random() % 13);
        const auto ip =
            static_cast<std::uint32_t>(random()) & (~std::uint32_t{0} << (32U - length));
        if (used.emplace(ip, length).second) {
            out.push_back(
                {ip, length,
                 failure_domain_name(fmt::format("domain-{}", random() % failure_domains))});
        }
    }
    return out;
}

steering_source make_source(std::vector<client_block> blocks)
{
    steering_source source;
    source.topology.regions.emplace_back("region");
    for (unsigned i = 0; i < failure_domains; ++i) {
        source.topology.failure_domains.push_back(
            {failure_domain_name(fmt::format("domain-{}", i)), region_name("region"), 1});
    }
    source.blocks = std::move(blocks);
    return source;
}

void measure_table(const std::vector<client_block>& blocks)
{
    const auto start = bench_clock::now();
    const client_block_table table(blocks);
    fmt::print("table build            {:>10.1f} ms\n", milliseconds_since(start));
    fmt::print("table memory           {:>10.2f} MiB for {} blocks\n",
               static_cast<double>(table.memory_bytes()) / (1U << 20U), table.size());

    std::mt19937 random(seed);
    std::vector<std::uint32_t> addresses(1U << 20U);
    for (auto& it : addresses) {
        it = random();
    }
    std::size_t found = 0;
    const auto lookup_start = bench_clock::now();
    for (std::size_t i = 0; i < lookups; ++i) {
        found += table.find(addresses[i % addresses.size()]) != nullptr ? 1 : 0;
    }
    fmt::print("lookup of random addresses {:>6.1f} ns ({} of {} found)\n",
               milliseconds_since(lookup_start) * 1e6 / lookups, found, lookups);
}

/// Writes two versions of a configuration to a folder: objects named by their hash, and the head
/// rows `head-1` and `head-2`. One block differs between the versions.
void write_versions(steering_source source, const std::string& folder)
{
    manifest parent;
    std::string parent_hash;
    for (std::uint64_t version = 1; version <= 2; ++version) {
        const auto pieces = make_pieces(source);
        const auto next = make_manifest(pieces);
        const auto text = encode(next);
        std::size_t bytes = text.size();
        for (const auto& it : pieces) {
            bytes += it.content.size();
            std::ofstream(folder + "/" + content_hash(it.content), std::ios::binary) << it.content;
        }
        const auto changes = difference(parent, next);
        fmt::print("version {}: {} pieces, {:.2f} MiB of objects, {} pieces changed\n", version,
                   pieces.size(), static_cast<double>(bytes) / (1U << 20U), changes.size());
        publishing::head_row head{version, "0", "bench", content_hash(text), parent_hash, {}, {}};
        if (version > 1) {
            head.changes = changes;
        }
        std::ofstream(folder + "/" + head.manifest_hash, std::ios::binary) << text;
        std::ofstream(fmt::format("{}/head-{}", folder, version), std::ios::binary) << encode(head);
        parent = next;
        parent_hash = head.manifest_hash;
        source.blocks.front().failure_domain = failure_domain_name("domain-0");
    }
}

std::string read_file(const std::string& path)
{
    std::ostringstream out;
    out << std::ifstream(path, std::ios::binary).rdbuf();
    return std::move(out).str();
}

/// Applies the versions in a folder and prints time and memory. The process must hold no other
/// data, because its resident memory is the measured value.
void measure_store(const std::string& folder)
{
    const auto before = status_kib("VmRSS:");
    publishing::configuration_store store;
    for (int version = 1; version <= 2; ++version) {
        std::size_t fetched_objects = 0;
        std::size_t bytes = 0;
        const auto head = read_file(fmt::format("{}/head-{}", folder, version));
        const auto start = bench_clock::now();
        const auto result = store.offer(head, [&](const std::vector<std::string>& hashes) {
            std::vector<std::string> out;
            out.reserve(hashes.size());
            for (const auto& it : hashes) {
                out.push_back(read_file(fmt::format("{}/{}", folder, it)));
                ++fetched_objects;
                bytes += out.back().size();
            }
            return out;
        });
        fmt::print("applied: version {}, {:.1f} ms, {} objects and {} bytes fetched {}\n",
                   store.version(), milliseconds_since(start), fetched_objects, bytes,
                   result.reason);
        fmt::print("resident memory above that at the start: {} KiB, peak {} KiB\n",
                   status_kib("VmRSS:") - before, status_kib("VmHWM:") - before);
    }
}

} // namespace

int main(int argc, char** argv)
{
    try {
        cxxopts::Options options("client_blocks_bench",
                                 "Measures the client block table and the configuration store.");
        options.add_options()("blocks", "number of client blocks",
                              cxxopts::value<std::string>()->default_value("720000"))(
            "write", "folder to write two versions to", cxxopts::value<std::string>())(
            "read", "folder of versions to apply", cxxopts::value<std::string>());
        const auto parsed = options.parse(argc, argv);
        // Parsed as a string, because GCC 12 reports a false -Wrestrict warning inside the integer
        // parser of cxxopts.
        const auto n = std::stoull(parsed["blocks"].as<std::string>());
        std::string command;
        for (int i = 0; i < argc; ++i) {
            command += fmt::format("{}{}", i == 0 ? "" : " ", argv[i]);
        }
        fmt::print("command: {}\nseed: {}\n", command, seed);
        if (parsed.count("read") > 0) {
            measure_store(parsed["read"].as<std::string>());
            return EXIT_SUCCESS;
        }
        auto blocks = make_blocks(n);
        measure_table(blocks);
        if (parsed.count("write") > 0) {
            write_versions(make_source(std::move(blocks)), parsed["write"].as<std::string>());
        }
        return EXIT_SUCCESS;
    }
    catch (const std::exception& ex) {
        std::cerr << "client_blocks_bench: " << ex.what() << '\n';
        return EXIT_FAILURE;
    }
}
