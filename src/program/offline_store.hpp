// A store that no process of the pooler has open, for the command line: its records as recovery finds them,
// and a rewrite of all of them. Reading never writes to the folder, whatever its state.
#pragma once

#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "store/recovery.hpp"
#include "store/store.hpp"
#include "store/writer.hpp"

namespace indigovane::program {

// what() says why, without the folder's name.
struct OfflineStoreError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class OfflineStore {
  public:
    enum class Access {
        read,
        rewrite,
        create  // as rewrite; the folder may be empty, or not there yet
    };
    struct Entry {
        store::Record record;
        std::uint64_t sequence = 0;
    };
    using Key = std::pair<store::Space, std::string>;

    // Locks the folder for as long as this lives. `salvage`: recovery goes past damage. Throws
    // OfflineStoreError where the folder can't be opened, or another process has it.
    OfflineStore(const std::string& folder, bool salvage, Access access);

    // Complete only where recovered().usable().
    const std::map<Key, Entry>& entries() const { return entries_; }  // without expired ones
    const store::RecoveryResult& recovered() const { return recovered_; }

    // Puts a new generation with these records in the place of the old one: after a crash there is the one or
    // the other. `store_number` is for a store that is new. Returns its bytes on disk; throws
    // OfflineStoreError.
    std::uint64_t rewrite(std::vector<store::Record> records, std::uint64_t store_number);

  private:
    void recover_entries(bool salvage);

    std::unique_ptr<store::Environment> environment_;
    std::unique_ptr<store::FolderLock> lock_;
    store::RecoveryResult recovered_;
    std::map<Key, Entry> entries_;
};

}  // namespace indigovane::program
