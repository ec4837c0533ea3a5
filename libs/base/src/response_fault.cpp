#include "toucan/base/response_fault.h"

namespace toucan {

std::string_view name_of(response_fault it)
{
    switch (it) {
    case response_fault::head:
        return "head";
    case response_fault::status:
        return "status";
    case response_fault::interim:
        return "interim";
    case response_fault::framing:
        return "framing";
    case response_fault::limit:
        return "limit";
    case response_fault::early_end:
        return "early_end";
    case response_fault::other_request:
        return "other_request";
    case response_fault::unproven:
        return "unproven";
    }
    return "unknown";
}

} // namespace toucan
