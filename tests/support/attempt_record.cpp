#include "support/attempt_record.h"

namespace toucan::test {

const char* to_string(attempt_outcome it)
{
    switch (it) {
    case attempt_outcome::completed:
        return "completed";
    case attempt_outcome::not_run:
        return "not-run";
    case attempt_outcome::unknown:
        return "unknown";
    case attempt_outcome::connection_error:
        return "connection error";
    case attempt_outcome::bad_answer:
        return "bad answer";
    }
    return "";
}

} // namespace toucan::test
