// The file of the crash marker (store/positions.hpp): one digit, in the memory-backed scratch folder. The
// marker outlasts the process but not a restart of the machine.
#pragma once

#include <string>

#include "store/positions.hpp"

namespace indigovane::program {

class CrashMarkerFile {
  public:
    // If `folder` is empty, no marker can be stored.
    CrashMarkerFile(const std::string& folder, const std::string& name);

    // Returns CrashMarker::none if there is no file, and CrashMarker::beyond_lease if the marker is unknown:
    // then nothing proves that no commit is missing.
    store::CrashMarker read() const;
    // Writes the file in place, which never waits for a disk. Returns false if the marker could not be
    // stored.
    bool write(store::CrashMarker marker) const;

  private:
    std::string path_;
};

}  // namespace indigovane::program
