// Caches statement profiles by canonical text. Its memory is limited, and shapes that are used only once do
// not evict those that are used often.
//
// The replacement policy is W-TinyLFU. New entries go to a window of 1% of the bytes. An entry that leaves
// the window enters the main part only if, by the frequency sketch, it was looked up more often than the
// entry that it would evict. The main part is a segmented LRU: 80% of it is for entries that were looked up
// again.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "statement/frequency_sketch.hpp"
#include "statement/statement_profile.hpp"

namespace indigovane::statement {

class ShapeCache {
  public:
    struct Counts {
        // Lookups that found an entry or none; entries that the main part admitted or rejected; entries
        // evicted from the main part.
        std::uint64_t hits = 0, misses = 0, admitted = 0, rejected = 0, evicted = 0;
    };
    // `bytes`: the limit for bytes(), raised to 64 KiB if it is lower. `seed` is the seed of the hash: if it
    // is secret, clients can't choose texts that collide in one slot.
    ShapeCache(std::size_t bytes, std::uint64_t seed);
    ~ShapeCache();
    ShapeCache(const ShapeCache&) = delete;
    ShapeCache& operator=(const ShapeCache&) = delete;

    // Compares whole texts, so that a hash collision never returns the profile of another text. Returns
    // nullptr if there is no entry. The result is valid until the next call.
    const StatementProfile* find(std::string_view text);
    // An entry larger than the window is not cached; the returned profile is then a separate copy. The result
    // is valid until the next call.
    const StatementProfile* put(std::string_view text, StatementProfile profile);
    void clear();

    // Memory of the entries, the hash table and the frequency sketch.
    std::size_t bytes() const { return bytes_; }
    std::size_t size() const { return size_; }
    const Counts& counts() const { return counts_; }

  private:
    // The main part consists of `probation` and `retained`. Entries that were looked up again are retained.
    enum class Part : std::uint8_t { window, probation, retained };
    // The canonical text follows the entry in memory.
    struct Entry {
        StatementProfile profile;
        std::uint64_t hash = 0;
        // Neighbours in the queue; the next entry in the same slot of the hash table.
        Entry *newer = nullptr, *older = nullptr, *next_in_slot = nullptr;
        // Length of the text; memory of the whole entry.
        std::uint32_t length = 0, bytes = 0;
        Part part = Part::window;
        std::string_view text() const { return {reinterpret_cast<const char*>(this + 1), length}; }
    };
    // Doubly linked list of the entries of a part, ordered by their last use.
    struct Queue {
        Entry *newest = nullptr, *oldest = nullptr;
        std::size_t bytes = 0;
    };
    Queue& queue(Part part) { return queues_[std::size_t(part)]; }
    void link(Entry* entry, Part part);
    void unlink(Entry* entry);
    void erase(Entry* entry);
    void promote(Entry* entry);
    void enforce_limits();
    void grow_table();
    Entry*& slot(std::uint64_t hash) { return table_[hash & (table_.size() - 1)]; }

    std::size_t max_bytes_, max_window_bytes_, max_retained_bytes_;
    std::uint64_t seed_;
    FrequencySketch sketch_;
    std::vector<Entry*> table_;
    Queue queues_[3];
    std::size_t bytes_ = 0, size_ = 0;
    StatementProfile uncached_profile_;  // the last one that was too large for the cache
    Counts counts_;
};

}  // namespace indigovane::statement
