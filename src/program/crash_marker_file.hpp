// The crash marker of store/positions.hpp on disk: a file of one digit in the memory-backed scratch folder,
// so it outlasts the process and not the machine.
#pragma once

#include <string>

#include "store/positions.hpp"

namespace indigovane::program {

class CrashMarkerFile {
  public:
    // An empty folder: there is nowhere to store one.
    CrashMarkerFile(const std::string& folder, const std::string& name);

    // Lapsed where it is unknown: nothing proves that there was none.
    store::CrashMarker read() const;
    // In place and small, which never waits for a disk. False: it could not be stored.
    bool write(store::CrashMarker marker) const;

  private:
    std::string path_;
};

}  // namespace indigovane::program
