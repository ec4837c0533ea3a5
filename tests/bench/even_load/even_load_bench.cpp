#include "even_load_simulation.h"

#include <fmt/format.h>

#include <array>
#include <cstdlib>

/// Prints how evenly the load is spread over the backend servers with several ways to place
/// requests, after a start, a step of demand, with a slow server and after its return, and with a
/// popular object.
namespace toucan::policy {

namespace {

struct way {
    placement how;
    const char* name;
};

constexpr std::array<way, 4> ways{{{placement::as_before, "as before"},
                                   {placement::two_choices, "two choices"},
                                   {placement::shedding, "shedding"},
                                   {placement::kept, "kept share"}}};

void print(const char* moment, const even_load_result& it, double server = 0)
{
    fmt::print("  {:<24} {:>6.2f} {:>6.2f} {:>7.2f} {:>7.2f} {:>7.2f} {:>6.3f} {:>6.3f} {:>6.2f}",
               moment, it.busiest, it.variation, 100 * it.cold, 100 * it.above_slots, 100 * it.late,
               it.share_range, it.disagreement, it.utilization);
    fmt::print("{}\n", server > 0 ? fmt::format(" {:>6.2f}", server) : "");
}

void run(const way& it, std::size_t daemons, double load, int unit_ms, std::size_t objects)
{
    fmt::print("{}, {} daemons, load {}, {} objects\n", it.name, daemons, load, objects);
    even_load_setup setup;
    setup.how = it.how;
    setup.daemons = daemons;
    setup.load = load;
    setup.objects = objects;
    even_load_simulation simulation(setup);
    print("unit 1", simulation.measure(unit_ms));
    simulation.run(2 * unit_ms);
    print("units 4 to 6", simulation.measure(3 * unit_ms));
    if (load < 0.5) {
        simulation.set_load(1.5 * load);
        for (const auto* moment : {"demand x 1.5, unit 1", "unit 2", "unit 3", "unit 4"}) {
            print(moment, simulation.measure(unit_ms));
        }
        simulation.set_load(load);
        print("demand as before, unit 1", simulation.measure(unit_ms));
        simulation.run(2 * unit_ms);
        print("unit 4", simulation.measure(unit_ms));
    }
    const auto slow = simulation.busiest();
    simulation.set_slow(slow, 2.5);
    for (const auto* moment : {"slow server, unit 1", "unit 2", "unit 3"}) {
        const auto result = simulation.measure(unit_ms);
        print(moment, result, simulation.utilization(slow));
    }
    simulation.set_slow(slow, 1);
    const auto returning = slow == 0 ? 1 : slow - 1;
    simulation.remove(returning);
    simulation.run(2 * unit_ms);
    simulation.add(returning);
    for (const auto* moment : {"server returns, unit 1", "unit 2", "unit 3"}) {
        const auto result = simulation.measure(unit_ms);
        print(moment, result, simulation.utilization(returning));
    }
    simulation.set_popular_share(0.6 / (load * even_load_simulation::servers));
    for (const auto* moment : {"popular object, unit 1", "unit 2", "unit 3"}) {
        const auto result = simulation.measure(unit_ms);
        print(moment, result, static_cast<double>(result.popular_holders));
    }
}

} // namespace

} // namespace toucan::policy

/// @param argv number of daemons, load, milliseconds of a unit and number of objects.
int main(int argc, char** argv)
{
    if (argc != 5) {
        fmt::print(stderr, "usage: even_load_bench DAEMONS LOAD UNIT_MS OBJECTS\n");
        return 2;
    }
    fmt::print("  {:<24} {:>6} {:>6} {:>7} {:>7} {:>7} {:>6} {:>6} {:>6} {:>6}\n", "", "busy",
               "var", "cold %", "above %", "late %", "range", "differ", "util", "server");
    for (const auto& it : toucan::policy::ways) {
        toucan::policy::run(it, std::strtoul(argv[1], nullptr, 10), std::strtod(argv[2], nullptr),
                            std::atoi(argv[3]), std::strtoul(argv[4], nullptr, 10));
    }
    return 0;
}
