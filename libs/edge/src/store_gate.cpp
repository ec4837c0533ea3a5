#include "store_gate.h"

#include <fmt/format.h>

#include <utility>

namespace toucan::edge {

namespace {

metrics::counter& calls(metrics& all, const char* call)
{
    return all.count(fmt::format("toucan_edge_store_calls_total{{call=\"{}\"}}", call));
}

bool answered(table_error it)
{
    return it == table_error::none || it == table_error::history_lost ||
           it == table_error::conflict;
}

} // namespace

store_gate::store_gate(asio::io_context& loop, const clock& time, table_client& store, metrics& all)
    : loop_(loop), time_(time), store_(store), reads_(calls(all, "read")),
      watches_(calls(all, "watch")), writes_(calls(all, "write")), removals_(calls(all, "remove")),
      failed_(all.count("toucan_edge_store_calls_failed_total")),
      held_back_(all.count("toucan_edge_store_calls_held_back_total")),
      rows_(all.count("toucan_edge_store_rows_total"))
{
}

std::string store_gate::activity() const
{
    return fmt::format("reads={} watches={} writes={} removals={} failed={} held_back={} rows={}",
                       reads_.load(), watches_.load(), writes_.load(), removals_.load(),
                       failed_.load(), held_back_.load(), rows_.load());
}

void store_gate::pass(metrics::counter& count, handler done,
                      const std::function<void(handler)>& call)
{
    const bool probe = pacing_.failing();
    if (!pacing_.try_call(time_.now())) {
        ++held_back_;
        asio::post(loop_, [done = std::move(done)] {
            done({table_error::rejected, "held back while the store fails", {}, 0});
        });
        return;
    }
    ++count;
    call([this, probe, done = std::move(done)](table_result result) {
        if (answered(result.error)) {
            pacing_.record_success();
            rows_ += result.rows.size();
        }
        else {
            ++failed_;
            pacing_.record_failure(probe, absl::Uniform(random_, 0.0, 1.0), time_.now());
        }
        done(std::move(result));
    });
}

void store_gate::read(const std::string& table, handler done)
{
    pass(reads_, std::move(done), [&](handler it) { store_.read(table, std::move(it)); });
}

void store_gate::read_range(const std::string& table, const std::string& prefix, handler done)
{
    pass(reads_, std::move(done),
         [&](handler it) { store_.read_range(table, prefix, std::move(it)); });
}

void store_gate::watch(const std::string& table, std::uint64_t after, const watch_options& options,
                       handler done)
{
    pass(watches_, std::move(done),
         [&](handler it) { store_.watch(table, after, options, std::move(it)); });
}

void store_gate::write(const std::string& table, const std::string& key, const std::string& value,
                       handler done)
{
    pass(writes_, std::move(done),
         [&](handler it) { store_.write(table, key, value, std::move(it)); });
}

void store_gate::remove(const std::string& table, const std::string& key, std::uint64_t version,
                        handler done)
{
    pass(removals_, std::move(done),
         [&](handler it) { store_.remove(table, key, version, std::move(it)); });
}

} // namespace toucan::edge
