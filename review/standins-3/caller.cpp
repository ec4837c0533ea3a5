#include "caller.h"

#include "configuration.h"

#include <cstdlib>

namespace review {

std::string request_head(const std::string& method, const std::string& path, const std::string& id,
                         const std::string& more, unsigned limit_ms)
{
    return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(limit_ms) + "\r\n" + more + "\r\n";
}

bool with_trouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace review
