#include "store/fault_environment.hpp"

#include <algorithm>
#include <cerrno>

namespace indigovane::store {

class FaultFile : public File {
  public:
    FaultFile(FaultEnvironment& owner, std::shared_ptr<FaultEnvironment::Node> node, std::string name)
        : owner_(owner), node_(std::move(node)), name_(std::move(name)) {}
    IoStatus append(std::string_view bytes) override {
        int error = owner_.step(FaultEnvironment::Step::write, name_);
        if (owner_.out_of_power()) {
            // The very write at which the power fails may have reached the disk in part.
            if (owner_.steps == owner_.stop_at) write(bytes);
            return {EIO, "no power"};
        }
        if (error) {
            write(bytes.substr(0, bytes.size() / 2));
            return {error, "write " + name_};
        }
        write(bytes);
        return {};
    }
    IoStatus sync() override {
        int error = owner_.step(FaultEnvironment::Step::sync, name_);
        if (owner_.out_of_power()) return {EIO, "no power"};
        if (error) {
            // What was loose may be lost for good, and stays so whatever comes after.
            node_->given_up = true;
            return {error, "sync " + name_};
        }
        ++owner_.syncs;
        if (node_->given_up) return {};  // as kernels do: the next sync succeeds, though the pages are gone
        for (const auto& w : node_->loose) owner_.synced_bytes += w.bytes.size();
        node_->synced = node_->all;
        node_->loose.clear();
        return {};
    }
    IoStatus read(std::uint64_t at, std::size_t length, std::string& out) override {
        out = at < node_->all.size() ? node_->all.substr(std::size_t(at), length) : std::string();
        return {};
    }
    std::uint64_t size() const override { return node_->all.size(); }

  private:
    void write(std::string_view bytes) {
        node_->loose.push_back({node_->all.size(), std::string(bytes)});
        node_->all += bytes;
    }
    FaultEnvironment& owner_;
    std::shared_ptr<FaultEnvironment::Node> node_;
    std::string name_;
};

int FaultEnvironment::step(Step what, const std::string& name) {
    ++steps;
    return fail ? fail(what, name) : 0;
}

IoStatus FaultEnvironment::create(const std::string& name, std::unique_ptr<File>& out) {
    int error = step(Step::create, name);
    if (out_of_power()) return {EIO, "no power"};
    if (error) return {error, "create " + name};
    auto node = std::make_shared<Node>();
    now_[name] = node;
    loose_.push_back({Change::Kind::create, "", name, node});
    out = std::make_unique<FaultFile>(*this, node, name);
    return {};
}

IoStatus FaultEnvironment::open(const std::string& name, std::unique_ptr<File>& out) {
    auto it = now_.find(name);
    if (it == now_.end()) return {ENOENT, "open " + name};
    out = std::make_unique<FaultFile>(*this, it->second, name);
    return {};
}

IoStatus FaultEnvironment::rename(const std::string& from, const std::string& to) {
    int error = step(Step::rename, from);
    if (out_of_power()) return {EIO, "no power"};
    auto it = now_.find(from);
    if (it == now_.end()) return {ENOENT, "rename " + from};
    if (error) return {error, "rename " + from};
    auto node = it->second;
    now_.erase(it);
    now_[to] = node;
    loose_.push_back({Change::Kind::rename, from, to, node});
    return {};
}

IoStatus FaultEnvironment::remove(const std::string& name) {
    int error = step(Step::remove, name);
    if (out_of_power()) return {EIO, "no power"};
    if (error) return {error, "remove " + name};
    if (!now_.erase(name)) return {ENOENT, "remove " + name};
    loose_.push_back({Change::Kind::remove, name, "", nullptr});
    return {};
}

IoStatus FaultEnvironment::sync_folder() {
    int error = step(Step::sync_folder, "");
    if (out_of_power()) return {EIO, "no power"};
    if (error) return {error, "sync the folder"};
    disk_ = now_;
    loose_.clear();
    return {};
}

IoStatus FaultEnvironment::list(std::vector<std::string>& names) {
    names.clear();
    for (auto& [name, node] : now_) names.push_back(name);
    return {};
}

IoStatus FaultEnvironment::lock(std::unique_ptr<FolderLock>& out, bool) {
    struct OwnedLock : FolderLock {
        explicit OwnedLock(std::shared_ptr<bool> l) : locked(std::move(l)) { *locked = true; }
        ~OwnedLock() override { *locked = false; }
        std::shared_ptr<bool> locked;
    };
    if (*locked_) return {EWOULDBLOCK, "lock"};
    out = std::make_unique<OwnedLock>(locked_);
    return {};
}

std::unique_ptr<FaultEnvironment> FaultEnvironment::crash(
    const std::function<std::size_t(std::size_t)>& choose) const {
    auto after = std::make_unique<FaultEnvironment>();
    // The folder's changes reach the disk in order, up to any of them.
    auto folder = disk_;
    std::size_t done = loose_.empty() ? 0 : choose(loose_.size() + 1);
    for (std::size_t i = 0; i < done; ++i) {
        const Change& c = loose_[i];
        if (c.kind == Change::Kind::create) folder[c.to] = c.node;
        if (c.kind == Change::Kind::remove) folder.erase(c.from);
        if (c.kind == Change::Kind::rename) {
            folder.erase(c.from);
            folder[c.to] = c.node;
        }
    }
    std::map<const Node*, std::string> contents;
    for (auto& [name, node] : folder) {
        auto [it, fresh] = contents.try_emplace(node.get(), node->synced);
        if (fresh)
            for (const Write& w : node->loose) {
                std::string& bytes = it->second;
                std::size_t how =
                    choose(4);  // lost, whole, its first half, its second half (and zeros before it)
                if (how == 0) continue;
                if (bytes.size() < w.at) bytes.resize(std::size_t(w.at), '\0');
                std::string part = w.bytes;
                if (how == 2) part.resize(part.size() / 2);
                if (how == 3) std::fill(part.begin(), part.begin() + std::ptrdiff_t(part.size() / 2), '\0');
                if (bytes.size() < w.at + part.size()) bytes.resize(std::size_t(w.at) + part.size(), '\0');
                bytes.replace(std::size_t(w.at), part.size(), part);
            }
        after->set_file(name, it->second);
    }
    return after;
}

std::unique_ptr<FaultEnvironment> FaultEnvironment::kill() const {
    auto after = std::make_unique<FaultEnvironment>();
    for (auto& [name, node] : now_) after->set_file(name, node->all);
    return after;
}

std::map<std::string, std::string> FaultEnvironment::files() const {
    std::map<std::string, std::string> out;
    for (auto& [name, node] : now_) out[name] = node->all;
    return out;
}

void FaultEnvironment::set_file(const std::string& name, const std::string& bytes) {
    auto node = std::make_shared<Node>();
    node->synced = node->all = bytes;
    now_[name] = disk_[name] = node;
}

void FaultEnvironment::remove_file(const std::string& name) {
    now_.erase(name);
    disk_.erase(name);
}

}  // namespace indigovane::store
