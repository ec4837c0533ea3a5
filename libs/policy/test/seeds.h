#pragma once

#include <functional>
#include <iostream>
#include <random>

namespace toucan::policy {

/// Runs a property test with fixed seeds. Each seed is printed first, so that it precedes a failure
/// in the output.
inline void for_each_seed(const char* property, const std::function<void(std::mt19937_64&)>& body)
{
    for (const unsigned seed : {11U, 23U, 47U, 101U, 2027U}) {
        std::cout << "[policy] " << property << " seed " << seed << '\n';
        std::mt19937_64 random(seed);
        body(random);
    }
}

/// @return a random number from 0 to `below` - 1.
inline unsigned draw(std::mt19937_64& random, unsigned below)
{
    return static_cast<unsigned>(random() % below);
}

} // namespace toucan::policy
