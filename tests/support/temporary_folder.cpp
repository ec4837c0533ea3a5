#include "support/temporary_folder.h"

#include <cstdlib>
#include <iostream>
#include <stdexcept>

namespace toucan::test {

temporary_folder::temporary_folder()
{
    auto name = (std::filesystem::temp_directory_path() / "toucan-test-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary folder");
    }
    path_ = name;
}

temporary_folder::~temporary_folder()
{
    if (std::getenv("TOUCAN_TEST_KEEP") != nullptr) {
        std::cerr << "kept " << path_ << '\n';
        return;
    }
    std::error_code ec;
    std::filesystem::remove_all(path_, ec);
}

} // namespace toucan::test
