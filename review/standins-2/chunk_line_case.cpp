// Case 8: a request in chunks whose first chunk line does not end.
#include "memory_case.h"

namespace {

constexpr std::size_t line_bytes = 150'000'000;

std::string bad_request(bool in_one_line)
{
    const std::string head = std::string("POST /check/x HTTP/1.1\r\nHost: ") +
                             rig::deployment::host +
                             "\r\nX-Attempt-Id: bad\r\nX-Deadline-Ms: 2000\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    if (in_one_line) {
        return head + "5;a=" + std::string(line_bytes, 'a') + "\r\nhello\r\n0\r\n\r\n";
    }
    // The same number of bytes as a body, which is far over the limit.
    std::string out = head;
    constexpr std::size_t chunk = 0x10000;
    while (out.size() < line_bytes) {
        out += "10000\r\n" + std::string(chunk, 'a') + "\r\n";
    }
    return out + "0\r\n\r\n";
}

} // namespace

int main(int argc, char** argv)
{
    return rig::run_case(argc, argv, [](rig::deployment& it) {
        return rig::play_memory_case(it, bad_request(it.trouble));
    });
}
