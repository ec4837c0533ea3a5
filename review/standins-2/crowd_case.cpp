// Case 7: a crowd of callers whose requests are legal in size but made of very many short fields.
#include "crowd_case.h"

namespace {

constexpr std::size_t list_elements = 14000;
constexpr std::size_t empty_fields = 230;

/// A request of about 15,000 bytes; the limit on headers is 16,384 bytes. Its path has no route.
std::string crowd_request(bool many_fields)
{
    std::string head = std::string("GET /nowhere/x HTTP/1.1\r\nHost: ") + rig::deployment::host +
                       "\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: 2000\r\n";
    if (!many_fields) {
        return head + "X-Long: " + std::string(list_elements + 4 * empty_fields, 'a') + "\r\n\r\n";
    }
    head += "Connection: " + std::string(list_elements, ',') + "a\r\n";
    for (std::size_t n = 0; n < empty_fields; ++n) {
        head += "a:\r\n";
    }
    return head + "\r\n";
}

} // namespace

int main(int argc, char** argv)
{
    return rig::run_case(argc, argv, [](rig::deployment& it) {
        return rig::play_crowd_case(it, {48, crowd_request(true), crowd_request(false)});
    });
}
