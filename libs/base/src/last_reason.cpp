#include "toucan/base/last_reason.h"

#include <utility>

namespace toucan {

namespace {

std::string& thread_reason()
{
    thread_local std::string reason;
    return reason;
}

} // namespace

std::nullopt_t fail(std::string reason)
{
    thread_reason() = std::move(reason);
    return std::nullopt;
}

const std::string& last_reason()
{
    return thread_reason();
}

} // namespace toucan
