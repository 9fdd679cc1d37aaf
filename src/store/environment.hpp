// What the store needs of a machine: files, syncing, renaming, a lock. All of it behind one interface, so
// that tests can bring about every failure and every power loss. Paths are within the store's folder.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace indigovane::store {

struct IoStatus {
    int code = 0;      // errno; 0: well
    std::string what;  // the call and the file
    bool ok() const { return code == 0; }
    std::string text() const;
};

// Opened to be written at its end, or to be read; not both.
class File {
  public:
    virtual ~File() = default;
    virtual IoStatus append(
        std::string_view bytes) = 0;  // all of them, or an error with any part of them written
    virtual IoStatus sync() = 0;      // after an error nothing is known of what is on disk
    virtual IoStatus read(std::uint64_t at, std::size_t length, std::string& out) = 0;  // shorter at the end
    virtual std::uint64_t size() const = 0;
};

class Lock {
  public:
    virtual ~Lock() = default;
};

class Environment {
  public:
    virtual ~Environment() = default;
    virtual IoStatus create(const std::string& name,
                            std::unique_ptr<File>& out) = 0;  // empty, whatever was there
    virtual IoStatus open(const std::string& name,
                          std::unique_ptr<File>& out) = 0;  // ENOENT where there is none
    virtual IoStatus rename(const std::string& from, const std::string& to) = 0;
    virtual IoStatus remove(const std::string& name) = 0;
    virtual IoStatus sync_folder() = 0;  // makes creations, renames and removals last
    virtual IoStatus list(std::vector<std::string>& names) = 0;
    // One holder at a time, over all processes; EWOULDBLOCK where another has it. It ends with its holder.
    // `make`: the file for it is made; without, where there is none, nobody holds it and nothing is written.
    virtual IoStatus lock(std::unique_ptr<Lock>& out, bool make = true) = 0;
};

// The folder is made where its parent exists. It never follows a link out of it, and opens no file that is
// none.
IoStatus open_folder(const std::string& path, std::unique_ptr<Environment>& out);

// What an operator should know before a folder is used.
struct FolderCheck {
    IoStatus status;         // not writable, no folder, another's
    bool in_memory = false;  // tmpfs or ramfs: nothing there outlasts the machine
};
FolderCheck check_folder(const std::string& path);

}  // namespace indigovane::store
