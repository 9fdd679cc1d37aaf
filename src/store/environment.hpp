// Environment: the store's access to its folder (files, syncing, renaming, a lock). It is an interface so
// that tests can cause every failure and every power loss. File names are relative to the store's folder.
//
// Threads: an environment and its files are used by one thread at a time.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "store/io_status.hpp"

namespace indigovane::store {

// A file that is open either for appending or for reading. The destructor closes it.
class File {
  public:
    File() = default;
    virtual ~File() = default;
    File(const File&) = delete;
    File& operator=(const File&) = delete;

    // After an error, any part of the bytes may have been written.
    virtual IoStatus append(std::string_view bytes) = 0;
    // After an error it is unknown which bytes are on disk, even if a later sync succeeds.
    virtual IoStatus sync() = 0;
    // `out` is shorter than `length` if the file ends earlier. `offset` and `length` are in bytes.
    virtual IoStatus read(std::uint64_t offset, std::size_t length, std::string& out) = 0;
    virtual std::uint64_t size() const = 0;  // bytes
};

// An exclusive lock on the folder, held while the object exists.
class FolderLock {
  public:
    FolderLock() = default;
    virtual ~FolderLock() = default;
    FolderLock(const FolderLock&) = delete;
    FolderLock& operator=(const FolderLock&) = delete;
};

class Environment {
  public:
    Environment() = default;
    virtual ~Environment() = default;
    Environment(const Environment&) = delete;
    Environment& operator=(const Environment&) = delete;

    // Opens an empty file for appending and replaces an existing one. `file` is set only on success.
    virtual IoStatus create(const std::string& name, std::unique_ptr<File>& file) = 0;
    // Opens a file for reading. Fails with std::errc::no_such_file_or_directory if it does not exist.
    virtual IoStatus open(const std::string& name, std::unique_ptr<File>& file) = 0;
    virtual IoStatus rename(const std::string& from, const std::string& to) = 0;
    virtual IoStatus remove(const std::string& name) = 0;
    // Makes creations, renames and removals durable.
    virtual IoStatus sync_folder() = 0;
    // The names of all files in the folder, in no particular order.
    virtual IoStatus list(std::vector<std::string>& names) = 0;
    // Takes the folder's lock, which has one owner at a time over all processes. Fails with
    // std::errc::operation_would_block if another owner holds it. With `create` a missing lock file is
    // created; otherwise, if it is missing, `lock` is null and nothing is written.
    virtual IoStatus lock(std::unique_ptr<FolderLock>& lock, bool create) = 0;
    IoStatus lock(std::unique_ptr<FolderLock>& out) { return lock(out, true); }
};

// Opens a folder, and creates it first if it does not exist but its parent does. Symbolic links in the folder
// are never followed, and only regular files are opened.
IoStatus open_folder(const std::string& path, std::unique_ptr<Environment>& environment);

// Properties of a folder that an operator should know before it is used.
struct FolderCheck {
    // An error if the path is not a folder, is not writable or belongs to another user.
    IoStatus status;
    // The file system is tmpfs or ramfs, whose contents are lost when the machine reboots.
    bool in_memory = false;
};
FolderCheck check_folder(const std::string& path);

// Reads the complete contents of a file.
IoStatus read_file(Environment& environment, const std::string& name, std::string& contents);

}  // namespace indigovane::store
