#include "connection_endings.h"

#include "event_log.h"

#include <numeric>
#include <utility>

namespace toucan::edge {

namespace {

/// Longer requests are not identified: they would hold memory after their connection has ended.
constexpr std::size_t max_discarded_header_bytes = 16U << 10U;
constexpr std::size_t max_discarded_body_bytes = 16U << 10U;

constexpr std::array<std::string_view, connection_end_count> names{
    "caller", "response", "idle", "stop", "rejection", "eviction"};

std::size_t index_of(connection_end it)
{
    return static_cast<std::size_t>(it);
}

} // namespace

std::string_view name_of(connection_end it)
{
    return names.at(index_of(it));
}

void connection_endings::record_end(connection_end reason, milliseconds age, std::uint64_t requests)
{
    ++counters_.ended.at(index_of(reason));
    if (verbose_) {
        log_request_event("connection_ended", "port={} reason={} age_ms={} requests={}", port_,
                          name_of(reason), age.count(), requests);
    }
}

void connection_endings::record_unanswered(connection_end reason, const parsed_request& it,
                                           milliseconds since_end)
{
    ++counters_.unanswered.at(index_of(reason));
    log_request_event("unanswered", "id={} port={} reason={} method={} after_end_ms={}",
                      find_header(it.request.headers, id_header_), port_, name_of(reason),
                      it.request.method, since_end.count());
}

void connection_endings::record_unread()
{
    ++counters_.unread;
    log_request_event("connection_unread", "port={}", port_);
}

std::uint64_t connection_endings::unanswered() const
{
    return std::accumulate(counters_.unanswered.begin(), counters_.unanswered.end(),
                           std::uint64_t{0});
}

std::string connection_endings::render() const
{
    std::string text;
    for (std::size_t n = 0; n < connection_end_count; ++n) {
        text += fmt::format(
            "toucan_edge_connections_ended_total{{port=\"{0}\",reason=\"{1}\"}} {2}\n"
            "toucan_edge_requests_unanswered_total{{port=\"{0}\",reason=\"{1}\"}} {3}\n",
            port_, names.at(n), counters_.ended.at(n), counters_.unanswered.at(n));
    }
    return text + fmt::format("toucan_edge_discarded_bytes_total{{port=\"{0}\"}} {1}\n"
                              "toucan_edge_connections_unread_total{{port=\"{0}\"}} {2}\n",
                              port_, counters_.discarded_bytes, counters_.unread);
}

void discarded_input::add(const parsed_request& it)
{
    endings_->record_unanswered(reason_, it, milliseconds(0));
}

void discarded_input::add_buffered(std::string& in)
{
    find_requests(in);
}

void discarded_input::add_late(std::string& in)
{
    endings_->record_discarded(in.size());
    find_requests(in);
}

void discarded_input::find_requests(std::string& in)
{
    // What follows a rejected request may be the rest of its body.
    while (!in.empty() && !unreadable_ && reason_ != connection_end::rejection) {
        if (!reader_) {
            reader_.emplace(max_discarded_header_bytes, max_discarded_body_bytes);
        }
        const auto state = reader_->feed(in);
        if (state == parse_state::incomplete) {
            break;
        }
        if (state == parse_state::bad) {
            unreadable_ = true;
            break;
        }
        endings_->record_unanswered(reason_, reader_->take(),
                                    std::chrono::duration_cast<milliseconds>(time_.now() - ended_));
    }
    in.clear();
}

} // namespace toucan::edge
