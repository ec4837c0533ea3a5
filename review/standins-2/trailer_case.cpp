// Case 6: a request in chunks that ends with very many short fields.
#include "memory_case.h"

namespace {

constexpr std::size_t field_bytes = 10'000'000;

std::string bad_request(bool as_fields)
{
    std::string out = std::string("POST /check/x HTTP/1.1\r\nHost: ") + rig::deployment::host +
                      "\r\nX-Attempt-Id: bad\r\nX-Deadline-Ms: 2000\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n";
    std::string fields;
    while (fields.size() < field_bytes) {
        fields += "a:\r\n";
    }
    if (as_fields) {
        return out + "5\r\nhello\r\n0\r\n" + fields + "\r\n";
    }
    // The same bytes as the body.
    constexpr std::size_t chunk = 0x10000;
    for (std::size_t n = 0; n < fields.size(); n += chunk) {
        const auto part = fields.substr(n, chunk);
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", part.size());
        out += size + part + "\r\n";
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
