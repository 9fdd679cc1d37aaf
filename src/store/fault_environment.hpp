// A folder in memory that loses, tears and refuses as a bad disk does: for tests, and for whoever wants to
// rehearse one. A crash keeps what was synced and any part of what was not: each unsynced write whole, torn
// or lost, in any combination, each unsynced rename, creation and removal done or not, in order (as a
// journalling file system has it).
#pragma once

#include <functional>
#include <map>
#include <random>

#include "store/environment.hpp"

namespace indigovane::store {

class FaultEnvironment : public Environment {
  public:
    struct Write {
        std::uint64_t at = 0;
        std::string bytes;
    };
    struct Node {
        std::string synced;        // what is on disk for certain
        std::vector<Write> loose;  // since the last sync that succeeded
        std::string all;           // what a reader sees now
        bool given_up = false;     // a sync has failed: later ones make nothing certain
    };
    struct Change {  // of the folder, since it was last synced
        enum class Kind { create, rename, remove } kind;
        std::string from, to;
        std::shared_ptr<Node> node;
    };

    IoStatus create(const std::string& name, std::unique_ptr<File>& out) override;
    IoStatus open(const std::string& name, std::unique_ptr<File>& out) override;
    IoStatus rename(const std::string& from, const std::string& to) override;
    IoStatus remove(const std::string& name) override;
    IoStatus sync_folder() override;
    IoStatus list(std::vector<std::string>& names) override;
    using Environment::lock;
    IoStatus lock(std::unique_ptr<FolderLock>& lock, bool create) override;

    // Called before each step that changes something; an errno makes it fail. A `write` that fails leaves its
    // first half.
    enum class Step { create, write, sync, rename, remove, sync_folder };
    std::function<int(Step, const std::string& name)> fail;
    // Every step counts; after `stop_at` of them nothing reaches the disk any more: the power is gone. 0:
    // never.
    std::uint64_t steps = 0, stop_at = 0;
    bool out_of_power() const { return stop_at != 0 && steps >= stop_at; }

    // What may be found after a crash now. `choose(n)` gives a number below n: all its answers together are
    // all states.
    std::unique_ptr<FaultEnvironment> crash(const std::function<std::size_t(std::size_t)>& choose) const;
    // The process dies, the machine does not: all that was written is there.
    std::unique_ptr<FaultEnvironment> kill() const;

    std::map<std::string, std::string> files() const;  // as readers see them
    void set_file(const std::string& name, const std::string& bytes);
    void remove_file(const std::string& name);
    std::uint64_t synced_bytes = 0, syncs = 0;

  private:
    friend class FaultFile;
    int step(Step what, const std::string& name);
    std::map<std::string, std::shared_ptr<Node>> now_, disk_;  // the folder as it is; as it is on disk
    std::vector<Change> loose_;
    std::shared_ptr<bool> locked_ = std::make_shared<bool>(false);
};

}  // namespace indigovane::store
