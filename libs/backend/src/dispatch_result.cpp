#include "toucan/backend/dispatch_result.h"

#include <utility>

namespace toucan::backend {

outcome to_outcome(dispatch_result it)
{
    if (auto* received = std::get_if<responded>(&it)) {
        return completed{std::move(received->response)};
    }
    if (auto* unsent = std::get_if<not_sent>(&it)) {
        return not_run{std::move(unsent->reason)};
    }
    if (const auto* rejected = std::get_if<shed>(&it)) {
        return not_run{"backend server sheds load", rejected->retry_after};
    }
    if (auto* failed = std::get_if<interrupted>(&it)) {
        return unknown{std::move(failed->reason)};
    }
    return unknown{std::get<timed_out>(std::move(it)).reason};
}

} // namespace toucan::backend
