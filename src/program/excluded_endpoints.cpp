#include "program/excluded_endpoints.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <stdexcept>

#include "transport/channel.hpp"

namespace indigovane::program {

namespace {

// Locks the file at `path`. The lock is held while the set is read, changed and replaced, because operators
// may call two processes at once. Closing the descriptor unlocks the file.
transport::Descriptor lock_file(const std::string& path) {
    transport::Descriptor file(::open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600));
    if (!file || ::flock(file.get(), LOCK_EX) != 0) throw std::runtime_error("can't lock '" + path + "'");
    return file;
}

// A text that changes when another process replaces the file; empty if there is no file.
std::string file_version(const std::string& path) {
    struct stat status {};
    if (::stat(path.c_str(), &status) != 0) return {};
    return std::to_string(status.st_ino) + "." + std::to_string(status.st_mtim.tv_sec) + "." +
           std::to_string(status.st_mtim.tv_nsec) + "." + std::to_string(status.st_size);
}

void apply(std::set<std::string>& uids, const std::string& uid, bool excluded) {
    if (excluded)
        uids.insert(uid);
    else
        uids.erase(uid);
}

}  // namespace

ExcludedEndpoints::ExcludedEndpoints(const std::string& folder, const std::string& name) {
    if (folder.empty()) return;
    path_ = folder + "/" + name + ".down";
    load();
}

bool ExcludedEndpoints::load() {
    loaded_version_ = file_version(path_);
    std::set<std::string> stored;
    std::ifstream input(path_);
    for (std::string line; std::getline(input, line);)
        if (!line.empty()) stored.insert(line);
    bool changed = stored != uids_;
    uids_ = std::move(stored);
    return changed;
}

// Replaces the file as a whole, so that a reader sees either the old set or the new one.
void ExcludedEndpoints::store(const std::set<std::string>& uids) {
    std::string new_path = path_ + ".new";
    {
        std::ofstream file(new_path, std::ios::trunc);
        for (const std::string& uid : uids) file << uid << "\n";
        file.flush();
        if (!file) throw std::runtime_error("can't write '" + new_path + "'");
    }
    if (std::rename(new_path.c_str(), path_.c_str()) != 0)
        throw std::runtime_error("can't replace '" + path_ + "'");
}

bool ExcludedEndpoints::has_stored_set() const {
    return !path_.empty() && ::access(path_.c_str(), F_OK) == 0;
}

bool ExcludedEndpoints::refresh() {
    return !path_.empty() && file_version(path_) != loaded_version_ && load();
}

void ExcludedEndpoints::change(const std::string& uid, bool excluded) {
    if (path_.empty()) return apply(uids_, uid, excluded);
    transport::Descriptor lock = lock_file(path_ + ".lock");
    load();
    std::set<std::string> changed = uids_;
    apply(changed, uid, excluded);
    if (changed == uids_) return;
    store(changed);
    load();
}

}  // namespace indigovane::program
