// Owns a file descriptor of the operating system and closes it.
#pragma once

#include <unistd.h>

#include <utility>

namespace indigovane::store {

class FileDescriptor {
  public:
    explicit FileDescriptor(int descriptor = -1) : descriptor_(descriptor) {}
    ~FileDescriptor() { reset(); }
    FileDescriptor(FileDescriptor&& other) noexcept : descriptor_(other.release()) {}
    FileDescriptor& operator=(FileDescriptor&& other) noexcept {
        if (this != &other) {
            reset();
            descriptor_ = other.release();
        }
        return *this;
    }
    FileDescriptor(const FileDescriptor&) = delete;
    FileDescriptor& operator=(const FileDescriptor&) = delete;

    bool valid() const { return descriptor_ >= 0; }
    int get() const { return descriptor_; }
    // Gives up ownership: the caller must close the descriptor.
    int release() { return std::exchange(descriptor_, -1); }

  private:
    void reset() {
        if (valid()) ::close(release());
    }
    int descriptor_;
};

}  // namespace indigovane::store
