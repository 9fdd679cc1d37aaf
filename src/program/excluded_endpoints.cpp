#include "program/excluded_endpoints.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <stdexcept>

namespace indigovane::program {

namespace {
// Held while the file is read, changed and replaced: two processes may be called at once.
class Lock {
  public:
    explicit Lock(const std::string& path) : fd_(::open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600)) {
        if (fd_ < 0 || ::flock(fd_, LOCK_EX) != 0) throw std::runtime_error("can't lock '" + path + "'");
    }
    ~Lock() {
        if (fd_ >= 0) ::close(fd_);
    }
    Lock(const Lock&) = delete;
    Lock& operator=(const Lock&) = delete;

  private:
    int fd_;
};

std::string identity(const std::string& path) {
    struct stat s;
    if (::stat(path.c_str(), &s) != 0) return {};
    return std::to_string(s.st_ino) + "." + std::to_string(s.st_mtim.tv_sec) + "." +
           std::to_string(s.st_mtim.tv_nsec) + "." + std::to_string(s.st_size);
}
}  // namespace

ExcludedEndpoints::ExcludedEndpoints(const std::string& folder, const std::string& name) {
    if (folder.empty()) return;
    path_ = folder + "/" + name + ".down";
    load();
}

bool ExcludedEndpoints::load() {
    seen_ = identity(path_);
    std::set<std::string> stored;
    std::ifstream in(path_);
    for (std::string line; std::getline(in, line);)
        if (!line.empty()) stored.insert(line);
    bool changed = stored != uids_;
    uids_ = std::move(stored);
    return changed;
}

bool ExcludedEndpoints::stored() const {
    return !path_.empty() && ::access(path_.c_str(), F_OK) == 0;
}

bool ExcludedEndpoints::refresh() {
    return !path_.empty() && identity(path_) != seen_ && load();
}

void ExcludedEndpoints::change(const std::string& uid, bool out) {
    auto apply = [&](std::set<std::string>& set) { out ? void(set.insert(uid)) : void(set.erase(uid)); };
    if (path_.empty()) return apply(uids_);
    Lock lock(path_ + ".lock");
    load();
    std::set<std::string> next = uids_;
    apply(next);
    if (next == uids_) return;
    std::string fresh = path_ + ".new";
    {
        std::ofstream file(fresh, std::ios::trunc);
        for (const std::string& line : next) file << line << "\n";
        file.flush();
        if (!file) throw std::runtime_error("can't write '" + fresh + "'");
    }
    if (std::rename(fresh.c_str(), path_.c_str()) != 0)
        throw std::runtime_error("can't replace '" + path_ + "'");
    load();
}

}  // namespace indigovane::program
