// A folder in memory that loses, tears and refuses as a bad disk does: for tests, and for whoever wants to
// rehearse a fault. A crash leaves what was synced and any part of what was not: each unsynced write
// complete, torn or lost, in any combination; unsynced renames, creations and removals done in order up to
// any of them (as a journalling file system has it). Used by one thread at a time.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "store/environment.hpp"

namespace indigovane::store {

class FaultEnvironment : public Environment {
  public:
    IoStatus create(const std::string& name, std::unique_ptr<File>& file) override;
    IoStatus open(const std::string& name, std::unique_ptr<File>& file) override;
    IoStatus rename(const std::string& from, const std::string& to) override;
    IoStatus remove(const std::string& name) override;
    IoStatus sync_folder() override;
    IoStatus list(std::vector<std::string>& names) override;
    using Environment::lock;
    IoStatus lock(std::unique_ptr<FolderLock>& lock, bool create) override;

    // Called before each step that changes something; an errno makes it fail, 0 lets it go on. A write that
    // fails leaves its first half.
    enum class Step : std::uint8_t { create, write, sync, rename, remove, sync_folder };
    std::function<int(Step, const std::string& name)> fail;
    // Every step counts; from the `stop_at`th on nothing reaches the disk: the power is gone. 0: never.
    std::uint64_t steps = 0;
    std::uint64_t stop_at = 0;
    bool out_of_power() const { return stop_at != 0 && steps >= stop_at; }

    // What may be found after a crash now. `choose(n)` gives a number below n: all its answers together give
    // all states.
    using Choose = std::function<std::size_t(std::size_t)>;
    std::unique_ptr<FaultEnvironment> crash(const Choose& choose) const;
    // What is found after the process has died and the machine has not: all that was written.
    std::unique_ptr<FaultEnvironment> kill() const;

    std::map<std::string, std::string> files() const;  // as readers see them
    void set_file(const std::string& name, const std::string& bytes);
    void remove_file(const std::string& name);

  private:
    friend class FaultFile;
    struct Write {
        std::uint64_t offset = 0;
        std::string bytes;
    };
    struct Node {
        std::string synced;           // what is on disk for certain
        std::vector<Write> unsynced;  // since the last sync that succeeded
        std::string contents;         // as readers see it
        bool sync_failed = false;     // later syncs make nothing certain
    };
    struct FolderChange {
        enum class Kind : std::uint8_t { create, rename, remove } kind;
        std::string from;
        std::string to;
        std::shared_ptr<Node> node;
    };
    using Folder = std::map<std::string, std::shared_ptr<Node>>;

    int step(Step what, const std::string& name);
    static std::string contents_after_crash(const Node& node, const Choose& choose);

    Folder current_;
    Folder synced_;
    std::vector<FolderChange> unsynced_changes_;
    std::shared_ptr<bool> locked_ = std::make_shared<bool>(false);
};

}  // namespace indigovane::store
