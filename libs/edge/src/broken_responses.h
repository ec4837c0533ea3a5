#pragma once

#include "http_message.h"

#include "toucan/base/metrics.h"

#include <string>

namespace toucan::edge {

/// Who sent a response.
enum class response_source { backend, store, daemon };

/// Counts a response that arrived but is not used, in
/// `toucan_edge_broken_responses_total{from=...,fault=...}`.
void count_broken_response(metrics& all, response_source from, response_fault fault);

/// Counts and logs such a response of the store or of another daemon, which belongs to no request
/// of a caller.
void report_broken_response(metrics& all, response_source from, response_fault fault,
                            const std::string& reason);

} // namespace toucan::edge
