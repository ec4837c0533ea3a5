// Case 10: a crowd of callers whose requests are legal in size and have a path of many slashes.
#include "crowd_case.h"

namespace {

constexpr int connections = 128;
constexpr std::size_t path_bytes = 15000;

/// A request of about 15,000 bytes; the limit on headers is 16,384 bytes. Its path has no route.
std::string crowd_request(char letter)
{
    return "GET /" + std::string(path_bytes, letter) +
           " HTTP/1.1\r\nHost: " + rig::deployment::host +
           "\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: 2000\r\n\r\n";
}

} // namespace

int main(int argc, char** argv)
{
    return rig::run_case(argc, argv, [](rig::deployment& it) {
        return rig::play_crowd_case(it, {connections, crowd_request('/'), crowd_request('a')});
    });
}
