// A store that no pooler has open, for the command line: gives the records that recovery finds, and can
// rewrite them all. Reading never writes to the folder, whatever its state.
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

// what() gives the reason without the folder's name.
struct OfflineStoreError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class OfflineStore {
  public:
    enum class Access {
        read,
        rewrite,
        create  // as rewrite, but the folder may be empty or missing
    };
    struct Entry {
        store::Record record;
        std::uint64_t sequence = 0;
    };
    using Key = std::pair<store::Space, std::string>;

    // Locks the folder until this object is destroyed. With `salvage`, recovery skips damaged parts. Throws
    // OfflineStoreError if the folder can't be opened or another process has the store open.
    OfflineStore(const std::string& folder, bool salvage, Access access);

    // The live records without expired ones. They are complete only if recovered().usable().
    const std::map<Key, Entry>& entries() const { return entries_; }
    const store::RecoveryResult& recovered() const { return recovered_; }

    // Replaces the store's generation by a new one with these records. After a crash the folder has either
    // the old or the new generation. `store_number` is used only for a new store. Returns the new
    // generation's bytes on disk. Throws OfflineStoreError.
    std::uint64_t rewrite(std::vector<store::Record> records, std::uint64_t store_number);

  private:
    void recover_entries(bool salvage);

    std::unique_ptr<store::Environment> environment_;
    std::unique_ptr<store::FolderLock> lock_;
    store::RecoveryResult recovered_;
    std::map<Key, Entry> entries_;
};

}  // namespace indigovane::program
