#include "broken_responses.h"

#include "event_log.h"

#include <fmt/format.h>

namespace toucan::edge {

namespace {

std::string_view name_of(response_source it)
{
    switch (it) {
    case response_source::backend:
        return "backend";
    case response_source::store:
        return "store";
    case response_source::daemon:
        return "daemon";
    }
    return "unknown";
}

} // namespace

void count_broken_response(metrics& all, response_source from, response_fault fault)
{
    ++all.count(fmt::format("toucan_edge_broken_responses_total{{from=\"{}\",fault=\"{}\"}}",
                            name_of(from), name_of(fault)));
}

void report_broken_response(metrics& all, response_source from, response_fault fault,
                            const std::string& reason)
{
    count_broken_response(all, from, fault);
    log_request_event("broken_response", "from={} fault={} reason=\"{}\"", name_of(from),
                      name_of(fault), reason);
}

} // namespace toucan::edge
