#include "toucan/policy/refusal.h"

namespace toucan::policy {

std::string_view to_string(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::no_backend:
        return "no backend server available";
    case refusal_reason::deadline:
        return "deadline cannot be met";
    case refusal_reason::queue_full:
        return "queue full";
    case refusal_reason::displaced:
        return "displaced by an urgent request";
    case refusal_reason::no_credit:
        return "no credit for another failure domain";
    case refusal_reason::shift_cap:
        return "shift cap reached";
    case refusal_reason::link_budget:
        return "link budget used up";
    }
    return "refused";
}

} // namespace toucan::policy
