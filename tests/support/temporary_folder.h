#pragma once

#include <filesystem>
#include <string>

namespace toucan::test {

/// A folder that is removed with its content. It is kept if `TOUCAN_TEST_KEEP` is set.
class temporary_folder {
public:
    temporary_folder();
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    ~temporary_folder();

    [[nodiscard]] std::string path() const { return path_; }
    /// @param name file in the folder.
    [[nodiscard]] std::string file(const std::string& name) const { return path_ / name; }

private:
    std::filesystem::path path_;
};

} // namespace toucan::test
