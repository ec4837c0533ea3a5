#include "toucan/backend/dispatch_result.h"

#include <utility>

namespace toucan::backend {

outcome to_outcome(dispatch_result it)
{
    if (auto* done = std::get_if<responded>(&it)) {
        return completed{std::move(done->response)};
    }
    if (auto* unsent = std::get_if<not_sent>(&it)) {
        return not_run{std::move(unsent->reason)};
    }
    if (const auto* refused = std::get_if<shed>(&it)) {
        return not_run{"backend server sheds load", refused->retry_after};
    }
    if (auto* broken = std::get_if<cut_short>(&it)) {
        return unknown{std::move(broken->reason)};
    }
    return unknown{std::get<timed_out>(std::move(it)).reason};
}

} // namespace toucan::backend
