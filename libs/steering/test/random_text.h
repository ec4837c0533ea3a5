#pragma once

#include <iostream>
#include <random>
#include <string>
#include <vector>

namespace toucan::steering {

/// Feeds a reader with damaged copies of valid text and with random bytes. The seed is fixed and
/// printed; a crash or an exception fails the test.
/// @param read called with each text.
template <typename F>
void feed_random_text(const char* what, unsigned seed, const std::string& valid, int rounds, F read)
{
    std::cout << " [" << what << " seed " << seed << "]" << std::flush;
    std::mt19937 random(seed);
    const auto below = [&](std::size_t n) {
        return static_cast<std::size_t>(random()) % n;
    };
    const std::string tokens[] = {"[",  "]",    "{",     "}",  "\"",
                                  ",",  ":",    "=",     "-1", "1e999",
                                  "\n", "null", "false", "[[", "99999999999999999999"};
    for (int round = 0; round < rounds; ++round) {
        std::string text = valid;
        if (round % 8 == 0) {
            text.assign(below(200), ' ');
            for (auto& it : text) {
                it = static_cast<char>(below(256));
            }
        }
        for (auto edits = below(6); edits > 0 && !text.empty(); --edits) {
            const auto at = below(text.size());
            switch (below(4)) {
            case 0:
                text[at] = static_cast<char>(below(256));
                break;
            case 1:
                text.erase(at, 1 + below(20));
                break;
            case 2:
                text.insert(at, tokens[below(std::size(tokens))]);
                break;
            default:
                text.insert(at, text.substr(below(text.size()), 1 + below(40)));
                break;
            }
        }
        read(text);
    }
}

} // namespace toucan::steering
