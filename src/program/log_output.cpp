#include "program/log_output.hpp"

#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <string>

namespace indigovane::program {

bool LogOutput::is_writable() const {
    pollfd polled{descriptor_, POLLOUT, 0};
    int ready = ::poll(&polled, 1, 0);
    if (ready < 0) return errno == EINTR;  // interrupted: write() will show it
    return ready > 0;
}

bool LogOutput::write_line(std::string_view line) {
    std::string bytes(line.substr(0, kMaxLineBytes - 1));
    bytes += '\n';
    std::size_t written = 0;
    while (written < bytes.size()) {
        if (!is_writable()) return false;
        ssize_t count = ::write(descriptor_, bytes.data() + written, bytes.size() - written);
        if (count < 0 && errno == EINTR) continue;
        if (count <= 0) return false;
        written += std::size_t(count);
    }
    return true;
}

}  // namespace indigovane::program
