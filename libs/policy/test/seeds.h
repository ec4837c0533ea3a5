#pragma once

#include <functional>
#include <iostream>
#include <random>

namespace toucan::policy {

/// Runs a property under fixed seeds. The seed is printed first, so that it stands above a failure.
inline void for_each_seed(const char* property, const std::function<void(std::mt19937_64&)>& body)
{
    for (const unsigned seed : {11U, 23U, 47U, 101U, 2027U}) {
        std::cout << "[policy] " << property << " seed " << seed << '\n';
        std::mt19937_64 random(seed);
        body(random);
    }
}

/// @return a number from 0 to `below` - 1.
inline unsigned draw(std::mt19937_64& random, unsigned below)
{
    return static_cast<unsigned>(random() % below);
}

} // namespace toucan::policy
