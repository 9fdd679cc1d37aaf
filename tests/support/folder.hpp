// A temporary folder, removed with its contents at the end of its scope.
#pragma once

#include <stdlib.h>

#include <filesystem>
#include <string>

namespace indigovane::testing {

// A folder of its own, as $TMPDIR is.
struct Folder {
    Folder() {
        std::string name = (std::filesystem::temp_directory_path() / "indigovane-XXXXXX").string();
        path = ::mkdtemp(name.data());
    }
    ~Folder() { std::filesystem::remove_all(path); }
    std::string path;
};

}  // namespace indigovane::testing
