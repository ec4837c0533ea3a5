// Measures time and memory per operation key in the tables of the operations package.
// Usage: operations_bench [keys]
#include "toucan/base/system_clock.h"
#include "toucan/operations/operation_key.h"
#include "toucan/operations/operation_table.h"
#include "toucan/operations/witness_table.h"

#include <fmt/format.h>
#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace toucan;
using namespace toucan::operations;

constexpr std::uint64_t default_keys = 100'000;
constexpr std::uint64_t keys_per_prefix = 4;
const vm_id owner{{0x0a000001, 7000}, incarnation(0x65f1a2b3c4d5e6)};
const vm_id witness{{0x0a000002, 7000}, incarnation(0x65f1a2b3c4d5ff)};

operation_key key_of(std::uint64_t it)
{
    return {{owner, witness, 1 + it / keys_per_prefix}, it % keys_per_prefix};
}

/// @return bytes allocated on the heap, including mmapped blocks.
std::size_t allocated_bytes()
{
    const auto it = mallinfo2();
    return it.uordblks + it.hblkhd;
}

void measure(const std::string& name, std::uint64_t n, const std::function<void()>& work)
{
    const auto bytes_before = allocated_bytes();
    const auto start = std::chrono::steady_clock::now();
    work();
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - start;
    const auto grown = static_cast<double>(allocated_bytes()) - static_cast<double>(bytes_before);
    fmt::print("{:<44} {:>8.0f} ns {:>8.1f} bytes held\n", name,
               elapsed.count() / static_cast<double>(n), grown / static_cast<double>(n));
}

void run(std::uint64_t n)
{
    const system_clock time;
    const auto valid = [] {
        return key_validity::valid;
    };
    std::vector<std::string> texts;
    for (std::uint64_t it = 0; it < n; ++it) {
        texts.push_back(key_of(it).to_string());
    }
    std::size_t parsed = 0;
    measure("key parse", n, [&] {
        for (const auto& it : texts) {
            parsed += operation_key::parse(it) ? 1 : 0;
        }
    });
    const auto run_all = [&](operation_table& table, const outcome& result) {
        for (std::uint64_t it = 0; it < n; ++it) {
            const auto begun = table.begin(key_of(it), valid);
            if (const auto* started = std::get_if<operation_started>(&begun)) {
                table.finish(started->token, result);
            }
        }
    };
    operation_table::limits no_bodies;
    no_bodies.body_bytes = 0;
    operation_table table_without_bodies(time, no_bodies);
    measure("operation_table begin + finish, body dropped", n, [&] {
        run_all(table_without_bodies, completed{{200, {}, "ok"}});
    });
    operation_table operations(time);
    measure("operation_table begin + finish, unknown", n, [&] { run_all(operations, unknown{}); });
    measure("operation_table begin of a held key", n, [&] {
        for (std::uint64_t it = 0; it < n; ++it) {
            operations.begin(key_of(it), valid);
        }
    });
    std::optional<witness_table> intents(std::in_place, witness, time);
    measure("witness_table record_intent", n, [&] {
        for (std::uint64_t it = 0; it < n; ++it) {
            intents->record_intent(key_of(it));
        }
    });
    fmt::print("parsed {}, records {}, intents {}\n", parsed, operations.read_counts().records,
               intents->read_counts().intents);
}

} // namespace

int main(int argc, char** argv)
{
    const auto n = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : default_keys;
    fmt::print("command: {} {}\n", argv[0], n);
    run(n == 0 ? default_keys : n);
    return 0;
}
