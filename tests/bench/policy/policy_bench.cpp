// Usage: policy_bench [FILE] [SEED] [THREADS]
// Example: build/tests/bench/policy/policy_bench docs/policy-benchmark.md 7 3
// Writes the results table of the policy benchmark to FILE.
#include "simulation.h"

#include <fmt/format.h>

#include <atomic>
#include <exception>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

namespace toucan::bench {

namespace {

/// A policy under comparison.
struct candidate {
    const char* name;
    choice_kind choice;
    bool home_queue;
    cross_kind cross;
    bool cap_divided;
    bool reserve;
};

/// One run and its result: a row of the table.
struct row {
    deployment target;
    const char* event;
    const char* reports;
    candidate policy;
    scenario parameters;
    result measured;
};

std::vector<row> all_rows(std::uint64_t seed)
{
    const std::vector<candidate> local_candidates{
        {"static shares", choice_kind::static_shares, false, cross_kind::none, true, true},
        {"power of two choices on reported load", choice_kind::reported, false, cross_kind::none,
         true, true},
        {"idle-slot tokens", choice_kind::idle_tokens, false, cross_kind::none, true, true},
        {"home queue, static shares", choice_kind::static_shares, true, cross_kind::none, true,
         true},
        {"home queue, power of two choices on reported load", choice_kind::reported, true,
         cross_kind::none, true, true},
        {"home queue, idle-slot tokens", choice_kind::idle_tokens, true, cross_kind::none, true,
         true},
        {"**home queue, power of two choices, corrected**", choice_kind::power_of_two, true,
         cross_kind::none, true, true}};
    const std::vector<candidate> cross_domain_candidates{
        {"stay in the domain", choice_kind::power_of_two, true, cross_kind::none, true, true},
        {"reported load, cap by each alone", choice_kind::power_of_two, true, cross_kind::reported,
         false, true},
        {"reported load, cap divided", choice_kind::power_of_two, true, cross_kind::reported, true,
         true},
        {"credit, cap by each alone", choice_kind::power_of_two, true, cross_kind::credit, false,
         true},
        {"credit, cap divided, reserved", choice_kind::power_of_two, true, cross_kind::credit, true,
         true},
        {"**credit, cap divided, first in queue**", choice_kind::power_of_two, true,
         cross_kind::credit, true, false}};
    struct named_event {
        event_kind kind;
        const char* name;
    };
    struct named_reports {
        measurement kind;
        const char* name;
    };
    std::vector<row> rows;
    for (const auto& target : both_deployments()) {
        for (const auto& event :
             {named_event{event_kind::steady, "steady"}, named_event{event_kind::surge, "surge"},
              named_event{event_kind::region_lost, "region lost"}}) {
            for (const double load : {0.6, 0.8, 0.95, 1.2, 2.0}) {
                for (const auto& reports : {named_reports{measurement::fresh, "fresh"},
                                            named_reports{measurement::lagging, "lagging"},
                                            named_reports{measurement::missing, "missing"}}) {
                    for (const auto& it : event.kind == event_kind::steady
                                              ? local_candidates
                                              : cross_domain_candidates) {
                        rows.push_back({target,
                                        event.name,
                                        reports.name,
                                        it,
                                        {event.kind, load, reports.kind, it.choice, it.home_queue,
                                         it.cross, it.reserve, it.cap_divided, seed},
                                        {}});
                    }
                }
            }
        }
    }
    return rows;
}

void write_table(const std::string& file, std::uint64_t seed, const std::vector<row>& rows)
{
    std::ofstream out(file);
    out << "# Policy benchmark\n\n"
        << fmt::format("Made by `build/tests/bench/policy/policy_bench docs/policy-benchmark.md "
                       "{}`. The second argument is the seed.\n\n",
                       seed)
        << "| Organisation | Event | Load % | Reports | Policy | p50 ms | p99 ms | Refused urgent "
           "% "
           "| Refused deferrable % | Peak use of region % | Peak use of link % | Peak shift growth "
           "/ cap | Drain ms |\n|---|---|--:|---|---|--:|--:|--:|--:|--:|--:|--:|--:|\n";
    for (const auto& it : rows) {
        const auto& m = it.measured;
        out << fmt::format("| {} | {} | {:.0f} | {} | {} | {:.0f} | {:.0f} | {:.2f} | {:.2f} | "
                           "{:.0f} | {:.1f} | {:.2f} | {:.0f} |\n",
                           it.target.name, it.event, it.parameters.load * 100, it.reports,
                           it.policy.name, m.p50_ms, m.p99_ms, m.refused_urgent * 100,
                           m.refused_deferrable * 100, m.region_use * 100, m.link_use * 100,
                           m.shift_growth, m.drain_ms);
    }
}

} // namespace

} // namespace toucan::bench

int main(int argc, char** argv)
{
    try {
        const std::vector<std::string> args(argv, argv + argc);
        const std::string file = args.size() > 1 ? args[1] : "docs/policy-benchmark.md";
        const std::uint64_t seed = args.size() > 2 ? std::stoull(args[2]) : 7;
        const std::size_t threads = args.size() > 3 ? std::stoull(args[3]) : 3;
        auto rows = toucan::bench::all_rows(seed);
        std::atomic<std::size_t> next{0};
        std::vector<std::jthread> pool;
        for (std::size_t n = 0; n < threads; ++n) {
            pool.emplace_back([&] {
                for (auto it = next++; it < rows.size(); it = next++) {
                    rows[it].measured =
                        toucan::bench::simulation(rows[it].target, rows[it].parameters).run();
                }
            });
        }
        pool.clear();
        toucan::bench::write_table(file, seed, rows);
        std::cout << rows.size() << " runs with seed " << seed << " written to " << file << '\n';
        return 0;
    }
    catch (const std::exception& ex) {
        std::cerr << "policy_bench: " << ex.what() << '\n';
        return 1;
    }
}
