#pragma once

#include <cstdlib>
#include <iostream>
#include <string>

namespace toucan::test {

/// Whether a test is listed in KNOWN-RED.txt and left out of this run: scripts/test.sh names these
/// tests in the environment variable TOUCAN_KNOWN_RED, separated by semicolons, and runs them by
/// themselves afterwards. Prints the name of a test that is left out.
/// @param name full name of the test.
inline bool known_red(const std::string& name)
{
    const char* value = std::getenv("TOUCAN_KNOWN_RED"); // NOLINT(concurrency-mt-unsafe)
    const auto all = value == nullptr ? std::string() : ';' + std::string(value) + ';';
    const bool listed = all.find(';' + name + ';') != std::string::npos;
    if (listed) {
        std::cout << name << " : known red, not run here\n";
    }
    return listed;
}

} // namespace toucan::test
