#pragma once

#include "http.h"

#include <fstream>
#include <string>

namespace toucan::review {

/// Record of a case: what was sent, answered and run, one line each with its time.
class record {
public:
    explicit record(const std::string& path) : out_(path, std::ios::trunc) {}

    void line(const std::string& text)
    {
        const auto ms =
            std::chrono::duration_cast<milliseconds>(steady_clock::now() - started_).count();
        const std::lock_guard lock(mutex_);
        out_ << ms << " ms " << text << '\n' << std::flush;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    steady_time started_ = steady_clock::now();
};

} // namespace toucan::review
