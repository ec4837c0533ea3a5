#pragma once

#include <filesystem>
#include <string>

namespace toucan::test {

/// Creates a temporary folder. The destructor removes it with its content unless the environment
/// variable `TOUCAN_TEST_KEEP` is set.
class temporary_folder {
public:
    temporary_folder();
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    ~temporary_folder();

    [[nodiscard]] std::string path() const { return path_; }
    /// @return path of a file in the folder.
    [[nodiscard]] std::string file(const std::string& name) const { return path_ / name; }

private:
    std::filesystem::path path_;
};

} // namespace toucan::test
