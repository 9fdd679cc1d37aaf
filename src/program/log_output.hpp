// Where log lines go: a descriptor of a file, a pipe or a terminal. Writing never blocks: a reader that
// stalls must not stall the process, so a line that doesn't fit now is lost, and the caller gets to know.
#pragma once

#include <string_view>

namespace indigovane::program {

class LogOutput {
  public:
    // Does not own the descriptor and changes none of its flags: other processes may share it.
    explicit LogOutput(int descriptor) : descriptor_(descriptor) {}

    // Writes the line and a line feed. Lines over kLongest bytes are cut there. False: it was not written.
    bool write_line(std::string_view line);

    // A pipe that is ready for writing takes so many bytes without blocking (POSIX: PIPE_BUF).
    static constexpr std::size_t kLongest = 4096;

  private:
    bool has_capacity() const;

    int descriptor_;
};

}  // namespace indigovane::program
