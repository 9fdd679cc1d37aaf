#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <sys/vfs.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "store/environment.hpp"

namespace indigovane::store {

namespace {

IoStatus failed(const char* call, const std::string& name) {
    return {errno, std::string(call) + " " + name};
}

class PosixFile : public File {
  public:
    PosixFile(int fd, std::string name, std::uint64_t size) : fd_(fd), name_(std::move(name)), size_(size) {}
    ~PosixFile() override { ::close(fd_); }
    IoStatus append(std::string_view bytes) override {
        while (!bytes.empty()) {
            ssize_t n = ::write(fd_, bytes.data(), bytes.size());
            if (n < 0 && errno == EINTR) continue;
            if (n < 0) return failed("write", name_);
            size_ += std::uint64_t(n);
            bytes.remove_prefix(std::size_t(n));
        }
        return {};
    }
    IoStatus sync() override { return ::fdatasync(fd_) < 0 ? failed("sync", name_) : IoStatus{}; }
    IoStatus read(std::uint64_t at, std::size_t length, std::string& out) override {
        out.resize(length);
        std::size_t got = 0;
        while (got < length) {
            ssize_t n = ::pread(fd_, out.data() + got, length - got, off_t(at + got));
            if (n < 0 && errno == EINTR) continue;
            if (n < 0) return failed("read", name_);
            if (n == 0) break;
            got += std::size_t(n);
        }
        out.resize(got);
        return {};
    }
    std::uint64_t size() const override { return size_; }

  private:
    int fd_;
    std::string name_;
    std::uint64_t size_;
};

class PosixLock : public Lock {
  public:
    explicit PosixLock(int fd) : fd_(fd) {}
    ~PosixLock() override { ::close(fd_); }

  private:
    int fd_;
};

class PosixEnvironment : public Environment {
  public:
    explicit PosixEnvironment(int folder) : folder_(folder) {}
    ~PosixEnvironment() override { ::close(folder_); }

    IoStatus create(const std::string& name, std::unique_ptr<File>& out) override {
        int fd = ::openat(folder_, name.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC | O_NOFOLLOW, 0600);
        if (fd < 0) return failed("create", name);
        out = std::make_unique<PosixFile>(fd, name, 0);
        return {};
    }
    IoStatus open(const std::string& name, std::unique_ptr<File>& out) override {
        int fd = ::openat(folder_, name.c_str(), O_RDONLY | O_CLOEXEC | O_NOFOLLOW | O_NONBLOCK);
        if (fd < 0) return failed("open", name);
        struct stat s {};
        if (::fstat(fd, &s) < 0 || !S_ISREG(s.st_mode)) {
            ::close(fd);
            return {EINVAL, "open " + name + " (no plain file)"};
        }
        out = std::make_unique<PosixFile>(fd, name, std::uint64_t(s.st_size));
        return {};
    }
    IoStatus rename(const std::string& from, const std::string& to) override {
        return ::renameat(folder_, from.c_str(), folder_, to.c_str()) < 0 ? failed("rename", from)
                                                                          : IoStatus{};
    }
    IoStatus remove(const std::string& name) override {
        return ::unlinkat(folder_, name.c_str(), 0) < 0 ? failed("remove", name) : IoStatus{};
    }
    IoStatus sync_folder() override {
        return ::fsync(folder_) < 0 ? failed("sync", "the folder") : IoStatus{};
    }
    IoStatus list(std::vector<std::string>& names) override {
        names.clear();
        int fd = ::openat(folder_, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        DIR* dir = fd < 0 ? nullptr : ::fdopendir(fd);
        if (!dir) {
            if (fd >= 0) ::close(fd);
            return failed("list", "the folder");
        }
        while (dirent* e = ::readdir(dir))
            if (std::string_view name = e->d_name; name != "." && name != "..") names.emplace_back(name);
        ::closedir(dir);
        return {};
    }
    IoStatus lock(std::unique_ptr<Lock>& out, bool make) override {
        int fd =
            ::openat(folder_, "LOCK", (make ? O_RDWR | O_CREAT : O_RDONLY) | O_CLOEXEC | O_NOFOLLOW, 0600);
        if (fd < 0 && !make && errno == ENOENT) {
            out = nullptr;
            return {};
        }
        if (fd < 0) return failed("open", "LOCK");
        if (::flock(fd, LOCK_EX | LOCK_NB) < 0) {
            IoStatus s = failed("lock", "LOCK");
            ::close(fd);
            return s;
        }
        out = std::make_unique<PosixLock>(fd);
        return {};
    }

  private:
    int folder_;
};

}  // namespace

std::string IoStatus::text() const {
    return ok() ? "well" : what + ": " + std::strerror(code);
}

IoStatus open_folder(const std::string& path, std::unique_ptr<Environment>& out) {
    if (::mkdir(path.c_str(), 0700) < 0 && errno != EEXIST) return failed("make", path);
    int fd = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) return failed("open", path);
    out = std::make_unique<PosixEnvironment>(fd);
    return {};
}

FolderCheck check_folder(const std::string& path) {
    FolderCheck check;
    struct stat s {};
    if (::stat(path.c_str(), &s) < 0) {
        check.status = failed("look at", path);
        return check;
    }
    if (!S_ISDIR(s.st_mode)) {
        check.status = {ENOTDIR, path};
        return check;
    }
    if (s.st_uid != ::geteuid())
        check.status = {EPERM, path + " belongs to another user"};
    else if (::access(path.c_str(), R_OK | W_OK | X_OK) < 0)
        check.status = failed("write to", path);
    struct statfs f {};
    constexpr long tmpfs = 0x01021994, ramfs = 0x858458f6;
    if (::statfs(path.c_str(), &f) == 0)
        check.in_memory =
            long(f.f_type) == tmpfs || (std::uint64_t(f.f_type) & 0xffffffffu) == std::uint64_t(ramfs);
    return check;
}

}  // namespace indigovane::store
