// What the store needs of a machine: files, syncing, renaming, a lock. All of it behind one interface, so
// that tests can bring about every failure and every power loss. Names are those of files in the store's
// folder.
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

// Open for appending, or for reading; not both. Closed with its object.
class File {
  public:
    File() = default;
    virtual ~File() = default;
    File(const File&) = delete;
    File& operator=(const File&) = delete;

    // After an error any part of the bytes may have been written.
    virtual IoStatus append(std::string_view bytes) = 0;
    // After an error nothing is known of what is on disk, also if a later sync succeeds.
    virtual IoStatus sync() = 0;
    // `out` is shorter than `length` where the file ends before.
    virtual IoStatus read(std::uint64_t offset, std::size_t length, std::string& out) = 0;
    virtual std::uint64_t size() const = 0;  // bytes
};

// Held while the object exists.
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

    // Opens an empty file for appending, in place of one of that name. `file` is set on success only.
    virtual IoStatus create(const std::string& name, std::unique_ptr<File>& file) = 0;
    // Opens a file for reading; std::errc::no_such_file_or_directory where there is none.
    virtual IoStatus open(const std::string& name, std::unique_ptr<File>& file) = 0;
    virtual IoStatus rename(const std::string& from, const std::string& to) = 0;
    virtual IoStatus remove(const std::string& name) = 0;
    // Makes creations, renames and removals durable.
    virtual IoStatus sync_folder() = 0;
    virtual IoStatus list(std::vector<std::string>& names) = 0;
    // One owner at a time, over all processes; std::errc::operation_would_block where another has it.
    // `create`: its file is made; else, where there is none, `lock` is empty and nothing is written.
    virtual IoStatus lock(std::unique_ptr<FolderLock>& lock, bool create) = 0;
    IoStatus lock(std::unique_ptr<FolderLock>& out) { return lock(out, true); }
};

// The folder is made where its parent exists. Links out of it are never followed, and only plain files are
// opened.
IoStatus open_folder(const std::string& path, std::unique_ptr<Environment>& environment);

// What an operator should know before a folder is used.
struct FolderCheck {
    IoStatus status;         // not a folder, not writable, another user's
    bool in_memory = false;  // tmpfs or ramfs: nothing there outlasts the machine
};
FolderCheck check_folder(const std::string& path);

// The complete contents of a file.
IoStatus read_file(Environment& environment, const std::string& name, std::string& contents);

}  // namespace indigovane::store
