#include "store/fault_environment.hpp"

#include <algorithm>
#include <cerrno>

namespace indigovane::store {

class FaultFile : public File {
  public:
    FaultFile(FaultEnvironment& owner, std::shared_ptr<FaultEnvironment::Node> node, std::string name)
        : owner_(owner), node_(std::move(node)), name_(std::move(name)) {}
    IoStatus append(std::string_view bytes) override {
        int error = owner_.begin_step(FaultEnvironment::Step::write, name_);
        if (owner_.has_lost_power()) {
            // The write during which the power is lost may have reached the disk in part.
            if (owner_.step_count == owner_.power_loss_step) write(bytes);
            return {EIO, "power lost"};
        }
        if (error) {
            write(bytes.substr(0, bytes.size() / 2));
            return {error, "write " + name_};
        }
        write(bytes);
        return {};
    }
    IoStatus sync() override {
        int error = owner_.begin_step(FaultEnvironment::Step::sync, name_);
        if (owner_.has_lost_power()) return {EIO, "power lost"};
        if (error) {
            // Unsynced data may be lost for good, whatever follows.
            node_->sync_failed = true;
            return {error, "sync " + name_};
        }
        if (node_->sync_failed) return {};  // as in kernels, the sync succeeds although the pages are lost
        node_->synced = node_->contents;
        node_->unsynced.clear();
        return {};
    }
    IoStatus read(std::uint64_t offset, std::size_t length, std::string& out) override {
        bool inside = offset < node_->contents.size();
        out = inside ? node_->contents.substr(std::size_t(offset), length) : std::string();
        return {};
    }
    std::uint64_t size() const override { return node_->contents.size(); }

  private:
    void write(std::string_view bytes) {
        node_->unsynced.push_back({node_->contents.size(), std::string(bytes)});
        node_->contents += bytes;
    }
    FaultEnvironment& owner_;
    std::shared_ptr<FaultEnvironment::Node> node_;
    std::string name_;
};

int FaultEnvironment::begin_step(Step step, const std::string& name) {
    ++step_count;
    return inject_error ? inject_error(step, name) : 0;
}

IoStatus FaultEnvironment::create(const std::string& name, std::unique_ptr<File>& file) {
    int error = begin_step(Step::create, name);
    if (has_lost_power()) return {EIO, "power lost"};
    if (error) return {error, "create " + name};
    auto node = std::make_shared<Node>();
    current_[name] = node;
    unsynced_changes_.push_back({FolderChange::Type::create, "", name, node});
    file = std::make_unique<FaultFile>(*this, node, name);
    return {};
}

IoStatus FaultEnvironment::open(const std::string& name, std::unique_ptr<File>& file) {
    auto it = current_.find(name);
    if (it == current_.end()) return {ENOENT, "open " + name};
    file = std::make_unique<FaultFile>(*this, it->second, name);
    return {};
}

IoStatus FaultEnvironment::rename(const std::string& from, const std::string& to) {
    int error = begin_step(Step::rename, from);
    if (has_lost_power()) return {EIO, "power lost"};
    auto it = current_.find(from);
    if (it == current_.end()) return {ENOENT, "rename " + from};
    if (error) return {error, "rename " + from};
    auto node = it->second;
    current_.erase(it);
    current_[to] = node;
    unsynced_changes_.push_back({FolderChange::Type::rename, from, to, node});
    return {};
}

IoStatus FaultEnvironment::remove(const std::string& name) {
    int error = begin_step(Step::remove, name);
    if (has_lost_power()) return {EIO, "power lost"};
    if (error) return {error, "remove " + name};
    if (!current_.erase(name)) return {ENOENT, "remove " + name};
    unsynced_changes_.push_back({FolderChange::Type::remove, name, "", nullptr});
    return {};
}

IoStatus FaultEnvironment::sync_folder() {
    int error = begin_step(Step::sync_folder, "");
    if (has_lost_power()) return {EIO, "power lost"};
    if (error) return {error, "sync the folder"};
    synced_ = current_;
    unsynced_changes_.clear();
    return {};
}

IoStatus FaultEnvironment::list(std::vector<std::string>& names) {
    names.clear();
    for (auto& [name, node] : current_) names.push_back(name);
    return {};
}

IoStatus FaultEnvironment::lock(std::unique_ptr<FolderLock>& lock, bool) {
    struct OwnedLock : FolderLock {
        explicit OwnedLock(std::shared_ptr<bool> flag) : locked(std::move(flag)) { *locked = true; }
        ~OwnedLock() override { *locked = false; }
        std::shared_ptr<bool> locked;
    };
    if (*locked_) return {EWOULDBLOCK, "lock"};
    lock = std::make_unique<OwnedLock>(locked_);
    return {};
}

// Each unsynced write is lost, complete, its first half, or its second half with zeros before it.
std::string FaultEnvironment::contents_after_crash(const Node& node, const Choose& choose) {
    enum WriteOutcome : std::size_t { lost, complete, first_half, second_half, outcome_count };
    std::string contents = node.synced;
    for (const Write& write : node.unsynced) {
        std::size_t outcome = choose(outcome_count);
        if (outcome == lost) continue;
        auto offset = std::size_t(write.offset);
        std::string part = write.bytes;
        std::size_t half = part.size() / 2;
        if (outcome == first_half) part.resize(half);
        if (outcome == second_half) std::fill_n(part.begin(), half, '\0');
        std::size_t end = offset + part.size();
        if (contents.size() < end) contents.resize(end, '\0');
        contents.replace(offset, part.size(), part);
    }
    return contents;
}

std::unique_ptr<FaultEnvironment> FaultEnvironment::after_crash(const Choose& choose) const {
    // The changes of the folder reach the disk in order, up to any of them.
    Folder folder = synced_;
    std::size_t done_count = unsynced_changes_.empty() ? 0 : choose(unsynced_changes_.size() + 1);
    for (std::size_t i = 0; i < done_count; ++i) {
        const FolderChange& change = unsynced_changes_[i];
        if (change.type != FolderChange::Type::create) folder.erase(change.from);
        if (change.type != FolderChange::Type::remove) folder[change.to] = change.node;
    }
    auto after = std::make_unique<FaultEnvironment>();
    std::map<const Node*, std::string> contents;
    for (auto& [name, node] : folder) {
        if (contents.count(node.get()) == 0) contents[node.get()] = contents_after_crash(*node, choose);
        after->set_file(name, contents[node.get()]);
    }
    return after;
}

std::unique_ptr<FaultEnvironment> FaultEnvironment::after_kill() const {
    auto after = std::make_unique<FaultEnvironment>();
    for (auto& [name, node] : current_) after->set_file(name, node->contents);
    return after;
}

std::map<std::string, std::string> FaultEnvironment::files() const {
    std::map<std::string, std::string> out;
    for (auto& [name, node] : current_) out[name] = node->contents;
    return out;
}

void FaultEnvironment::set_file(const std::string& name, const std::string& bytes) {
    auto node = std::make_shared<Node>();
    node->synced = bytes;
    node->contents = bytes;
    current_[name] = node;
    synced_[name] = node;
}

void FaultEnvironment::remove_file(const std::string& name) {
    current_.erase(name);
    synced_.erase(name);
}

}  // namespace indigovane::store
