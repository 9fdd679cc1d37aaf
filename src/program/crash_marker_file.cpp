#include "program/crash_marker_file.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>

#include "transport/channel.hpp"

namespace indigovane::program {

using store::CrashMarker;

CrashMarkerFile::CrashMarkerFile(const std::string& folder, const std::string& name)
    : path_(folder.empty() ? "" : folder + "/" + name + ".witness") {}

CrashMarker CrashMarkerFile::read() const {
    if (path_.empty()) return CrashMarker::beyond_lease;
    std::ifstream in(path_);
    if (!in) return CrashMarker::none;
    int value = -1;
    in >> value;
    return value >= 0 && value <= 2 ? CrashMarker(value) : CrashMarker::beyond_lease;
}

bool CrashMarkerFile::write(CrashMarker marker) const {
    if (path_.empty()) return false;
    if (marker == CrashMarker::none) return ::unlink(path_.c_str()) == 0 || errno == ENOENT;
    transport::Descriptor file(::open(path_.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    if (!file) return false;
    char digit = char('0' + int(marker));
    return ::write(file.get(), &digit, 1) == 1;
}

}  // namespace indigovane::program
