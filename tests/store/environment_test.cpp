// Tests of the store's folder on a real file system: errors have a type and a text, and descriptors and locks
// are released with their owners.
#include "store/environment.hpp"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>

#include "store/file_descriptor.hpp"

namespace indigovane::store {
namespace {

struct TemporaryFolder {
    std::string path = (std::filesystem::temp_directory_path() / "store-environment-XXXXXX").string();
    TemporaryFolder() { REQUIRE(::mkdtemp(path.data())); }
    ~TemporaryFolder() { std::filesystem::remove_all(path); }
};

TEST_CASE("a folder lock has one owner at a time and is released with it") {
    TemporaryFolder folder;
    std::unique_ptr<Environment> first;
    std::unique_ptr<Environment> second;
    REQUIRE(open_folder(folder.path, first).ok());
    REQUIRE(open_folder(folder.path, second).ok());
    std::unique_ptr<FolderLock> lock;
    REQUIRE(first->lock(lock).ok());
    std::unique_ptr<FolderLock> other;
    CHECK(second->lock(other).is(std::errc::operation_would_block));
    lock.reset();
    CHECK(second->lock(other).ok());
}

TEST_CASE("the text of an error names the call, the file and the reason") {
    TemporaryFolder folder;
    std::unique_ptr<Environment> environment;
    REQUIRE(open_folder(folder.path, environment).ok());
    std::unique_ptr<File> file;
    IoStatus status = environment->open("missing", file);
    CHECK(status.is(std::errc::no_such_file_or_directory));
    CHECK(status.text() == "open missing: No such file or directory");
    CHECK(IoStatus().text() == "well");
}

TEST_CASE("appended bytes are read back, up to the end of the file") {
    TemporaryFolder folder;
    std::unique_ptr<Environment> environment;
    REQUIRE(open_folder(folder.path, environment).ok());
    std::unique_ptr<File> file;
    REQUIRE(environment->create("name", file).ok());
    REQUIRE(file->append("contents").ok());
    REQUIRE(file->sync().ok());
    std::string contents;
    REQUIRE(read_file(*environment, "name", contents).ok());
    CHECK(contents == "contents");
    std::vector<std::string> names;
    REQUIRE(environment->list(names).ok());
    CHECK(names == std::vector<std::string>{"name"});
}

TEST_CASE("a file descriptor is closed only by its last owner") {
    int number = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    REQUIRE(number >= 0);
    {
        FileDescriptor owner(number);
        FileDescriptor next(std::move(owner));
        CHECK_FALSE(owner.valid());
        CHECK(::fcntl(next.get(), F_GETFD) >= 0);
    }
    CHECK(::fcntl(number, F_GETFD) < 0);
}

}  // namespace
}  // namespace indigovane::store
