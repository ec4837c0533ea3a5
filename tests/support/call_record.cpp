#include "support/call_record.h"

namespace toucan::test {

const char* to_string(told it)
{
    switch (it) {
    case told::completed:
        return "completed";
    case told::not_run:
        return "not-run";
    case told::unknown:
        return "unknown";
    case told::connection_error:
        return "connection error";
    case told::bad_answer:
        return "bad answer";
    }
    return "";
}

} // namespace toucan::test
