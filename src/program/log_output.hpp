// Writes log lines to a descriptor of a file, a pipe or a terminal. Writing never blocks, because a reader
// that stalls must not stall the process: a line that can't be written at once is lost, and the caller is
// told.
#pragma once

#include <string_view>

namespace indigovane::program {

class LogOutput {
  public:
    // Does not own the descriptor. Its flags are not changed, because other processes may share it.
    explicit LogOutput(int descriptor) : descriptor_(descriptor) {}

    // Writes the line and a line feed, at most kMaxLineBytes together: a longer line is truncated. Returns
    // false if it could not be written completely.
    bool write_line(std::string_view line);

    // A pipe that is ready for writing accepts this many bytes without blocking (POSIX: PIPE_BUF).
    static constexpr std::size_t kMaxLineBytes = 4096;

  private:
    bool is_writable() const;

    int descriptor_;
};

}  // namespace indigovane::program
