// FaultEnvironment: a folder in memory that fails like a faulty disk, for tests and to rehearse faults. A
// crash keeps everything that was synced and any part of what was not: each unsynced write is complete, torn
// or lost, in any combination; unsynced renames, creations and removals are done in order up to any of them,
// as on a journalling file system. Used by one thread at a time.
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

    // Called before each step that changes something. If it returns an errno value, the step fails; 0 lets it
    // succeed. A write that fails leaves its first half.
    enum class Step : std::uint8_t { create, write, sync, rename, remove, sync_folder };
    std::function<int(Step, const std::string& name)> inject_error;
    // Number of steps so far. From step number `power_loss_step` on, nothing reaches the disk; 0 means no
    // power loss.
    std::uint64_t step_count = 0;
    std::uint64_t power_loss_step = 0;
    bool has_lost_power() const { return power_loss_step != 0 && step_count >= power_loss_step; }

    // Returns a state in which the folder may be found after a crash at this moment. `choose(n)` returns a
    // number below n; all possible choices together give all states.
    using Choose = std::function<std::size_t(std::size_t)>;
    std::unique_ptr<FaultEnvironment> after_crash(const Choose& choose) const;
    // Returns the state after the process was killed and the machine keeps running: everything written is
    // there.
    std::unique_ptr<FaultEnvironment> after_kill() const;

    // Contents of all files as readers see them, by name.
    std::map<std::string, std::string> files() const;
    void set_file(const std::string& name, const std::string& bytes);
    void remove_file(const std::string& name);

  private:
    friend class FaultFile;
    struct Write {
        std::uint64_t offset = 0;
        std::string bytes;
    };
    struct Node {
        std::string synced;           // contents that are certainly on disk
        std::vector<Write> unsynced;  // writes since the last successful sync
        std::string contents;         // as readers see them
        bool sync_failed = false;     // after a failed sync, later syncs guarantee nothing
    };
    struct FolderChange {
        enum class Type : std::uint8_t { create, rename, remove } type;
        std::string from;
        std::string to;
        std::shared_ptr<Node> node;
    };
    using Folder = std::map<std::string, std::shared_ptr<Node>>;

    // Counts a step. Returns an errno value if it must fail, else 0.
    int begin_step(Step step, const std::string& name);
    static std::string contents_after_crash(const Node& node, const Choose& choose);

    Folder current_;
    Folder synced_;
    std::vector<FolderChange> unsynced_changes_;
    std::shared_ptr<bool> locked_ = std::make_shared<bool>(false);
};

}  // namespace indigovane::store
