#pragma once

#include <iostream>
#include <random>
#include <string>
#include <vector>

namespace toucan::steering {

/// Calls a reader with mutated copies of a valid text and, every eighth time, with random bytes.
/// The test fails if the reader crashes or throws.
/// @param what name of the reader, printed with the seed.
/// @param seed fixed by the test, so that a failure can be reproduced.
/// @param valid text that the reader accepts.
/// @param rounds number of texts.
/// @param read called with each text.
template <typename F>
void run_random_texts(const char* what, unsigned seed, const std::string& valid, int rounds, F read)
{
    std::cout << " [" << what << " seed " << seed << "]" << std::flush;
    std::mt19937 random(seed);
    const auto random_below = [&](std::size_t n) {
        return static_cast<std::size_t>(random()) % n;
    };
    const std::string tokens[] = {"[",  "]",    "{",     "}",  "\"",
                                  ",",  ":",    "=",     "-1", "1e999",
                                  "\n", "null", "false", "[[", "99999999999999999999"};
    for (int round = 0; round < rounds; ++round) {
        std::string text = valid;
        if (round % 8 == 0) {
            text.assign(random_below(200), ' ');
            for (auto& it : text) {
                it = static_cast<char>(random_below(256));
            }
        }
        for (auto edits = random_below(6); edits > 0 && !text.empty(); --edits) {
            const auto at = random_below(text.size());
            switch (random_below(4)) {
            case 0:
                text[at] = static_cast<char>(random_below(256));
                break;
            case 1:
                text.erase(at, 1 + random_below(20));
                break;
            case 2:
                text.insert(at, tokens[random_below(std::size(tokens))]);
                break;
            default:
                text.insert(at, text.substr(random_below(text.size()), 1 + random_below(40)));
                break;
            }
        }
        read(text);
    }
}

} // namespace toucan::steering
