#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <sys/vfs.h>

#include <cerrno>
#include <utility>

#include "store/environment.hpp"
#include "store/file_descriptor.hpp"

namespace indigovane::store {

namespace {

constexpr mode_t kFolderMode = 0700;
constexpr mode_t kFileMode = 0600;
constexpr const char* kLockFile = "LOCK";
// Values of f_type, see statfs(2).
constexpr std::uint64_t kTmpfsMagic = 0x01021994;
constexpr std::uint64_t kRamfsMagic = 0x858458f6;

// Returns the error of the call that has just failed, from errno.
IoStatus failure(const char* call, const std::string& name) {
    return {errno, std::string(call) + " " + name};
}

class PosixFile : public File {
  public:
    PosixFile(FileDescriptor descriptor, std::string name, std::uint64_t size)
        : descriptor_(std::move(descriptor)), name_(std::move(name)), size_(size) {}

    IoStatus append(std::string_view bytes) override {
        while (!bytes.empty()) {
            ssize_t written = ::write(descriptor_.get(), bytes.data(), bytes.size());
            if (written < 0 && errno == EINTR) continue;
            if (written < 0) return failure("write", name_);
            size_ += std::uint64_t(written);
            bytes.remove_prefix(std::size_t(written));
        }
        return {};
    }
    IoStatus sync() override {
        return ::fdatasync(descriptor_.get()) < 0 ? failure("sync", name_) : IoStatus{};
    }
    IoStatus read(std::uint64_t offset, std::size_t length, std::string& out) override {
        out.resize(length);
        std::size_t filled = 0;
        while (filled < length) {
            ssize_t count =
                ::pread(descriptor_.get(), out.data() + filled, length - filled, off_t(offset + filled));
            if (count < 0 && errno == EINTR) continue;
            if (count < 0) return failure("read", name_);
            if (count == 0) break;
            filled += std::size_t(count);
        }
        out.resize(filled);
        return {};
    }
    std::uint64_t size() const override { return size_; }

  private:
    FileDescriptor descriptor_;
    std::string name_;
    std::uint64_t size_;
};

class PosixFolderLock : public FolderLock {
  public:
    explicit PosixFolderLock(FileDescriptor descriptor) : descriptor_(std::move(descriptor)) {}

  private:
    FileDescriptor descriptor_;  // closing it releases the lock
};

struct CloseFolder {
    void operator()(DIR* folder) const { ::closedir(folder); }
};

class PosixEnvironment : public Environment {
  public:
    explicit PosixEnvironment(FileDescriptor folder) : folder_(std::move(folder)) {}

    IoStatus create(const std::string& name, std::unique_ptr<File>& file) override {
        FileDescriptor descriptor = open_at(name, O_WRONLY | O_CREAT | O_TRUNC);
        if (!descriptor.valid()) return failure("create", name);
        file = std::make_unique<PosixFile>(std::move(descriptor), name, 0);
        return {};
    }
    IoStatus open(const std::string& name, std::unique_ptr<File>& file) override {
        FileDescriptor descriptor = open_at(name, O_RDONLY | O_NONBLOCK);
        if (!descriptor.valid()) return failure("open", name);
        struct stat status {};
        if (::fstat(descriptor.get(), &status) < 0 || !S_ISREG(status.st_mode))
            return {EINVAL, "open " + name + " (not a regular file)"};
        file = std::make_unique<PosixFile>(std::move(descriptor), name, std::uint64_t(status.st_size));
        return {};
    }
    IoStatus rename(const std::string& from, const std::string& to) override {
        int result = ::renameat(folder_.get(), from.c_str(), folder_.get(), to.c_str());
        return result < 0 ? failure("rename", from) : IoStatus{};
    }
    IoStatus remove(const std::string& name) override {
        return ::unlinkat(folder_.get(), name.c_str(), 0) < 0 ? failure("remove", name) : IoStatus{};
    }
    IoStatus sync_folder() override {
        return ::fsync(folder_.get()) < 0 ? failure("sync", "the folder") : IoStatus{};
    }
    IoStatus list(std::vector<std::string>& names) override {
        names.clear();
        FileDescriptor descriptor(::openat(folder_.get(), ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC));
        if (!descriptor.valid()) return failure("list", "the folder");
        std::unique_ptr<DIR, CloseFolder> folder(::fdopendir(descriptor.get()));
        if (!folder) return failure("list", "the folder");
        descriptor.release();  // the DIR stream closes it from now on
        while (dirent* entry = ::readdir(folder.get()))
            if (std::string_view name = entry->d_name; name != "." && name != "..") names.emplace_back(name);
        return {};
    }
    IoStatus lock(std::unique_ptr<FolderLock>& lock, bool create) override {
        FileDescriptor descriptor = open_at(kLockFile, create ? O_RDWR | O_CREAT : O_RDONLY);
        if (!descriptor.valid() && !create && errno == ENOENT) {
            lock = nullptr;
            return {};
        }
        if (!descriptor.valid()) return failure("open", kLockFile);
        if (::flock(descriptor.get(), LOCK_EX | LOCK_NB) < 0) return failure("lock", kLockFile);
        lock = std::make_unique<PosixFolderLock>(std::move(descriptor));
        return {};
    }

  private:
    FileDescriptor open_at(const std::string& name, int flags) const {
        return FileDescriptor(
            ::openat(folder_.get(), name.c_str(), flags | O_CLOEXEC | O_NOFOLLOW, kFileMode));
    }

    FileDescriptor folder_;
};

}  // namespace

IoStatus open_folder(const std::string& path, std::unique_ptr<Environment>& environment) {
    if (::mkdir(path.c_str(), kFolderMode) < 0 && errno != EEXIST) return failure("create", path);
    FileDescriptor folder(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!folder.valid()) return failure("open", path);
    environment = std::make_unique<PosixEnvironment>(std::move(folder));
    return {};
}

FolderCheck check_folder(const std::string& path) {
    FolderCheck check;
    struct stat status {};
    if (::stat(path.c_str(), &status) < 0) {
        check.status = failure("stat", path);
        return check;
    }
    if (!S_ISDIR(status.st_mode)) {
        check.status = {ENOTDIR, path};
        return check;
    }
    if (status.st_uid != ::geteuid())
        check.status = {EPERM, path + " belongs to another user"};
    else if (::access(path.c_str(), R_OK | W_OK | X_OK) < 0)
        check.status = failure("access", path);
    struct statfs file_system {};
    if (::statfs(path.c_str(), &file_system) == 0) {
        std::uint64_t type = std::uint64_t(file_system.f_type) & 0xffffffffu;
        check.in_memory = type == kTmpfsMagic || type == kRamfsMagic;
    }
    return check;
}

IoStatus read_file(Environment& environment, const std::string& name, std::string& contents) {
    std::unique_ptr<File> file;
    if (IoStatus status = environment.open(name, file); !status.ok()) return status;
    return file->read(0, std::size_t(file->size()), contents);
}

}  // namespace indigovane::store
