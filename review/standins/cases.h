#pragma once

#include "deployment.h"

namespace toucan::review {

/// Exit status of a case.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

/// Each function runs one case on a deployment without machines.
/// @param trouble whether the disruption of the case takes place.
int run_slow_reader_case(deployment& all, bool trouble);
int run_pipeline_case(deployment& all, bool trouble);
int run_memory_case(deployment& all, bool trouble);
int run_refusal_case(deployment& all, bool trouble);
int run_last_machine_case(deployment& all, bool trouble);
int run_lost_answer_case(deployment& all, bool trouble);
int run_kept_limits_case(deployment& all, bool trouble);

} // namespace toucan::review
