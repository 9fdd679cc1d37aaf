// Judgements by canonical text: bounded in bytes, and not to be flushed by shapes that are used once.
//
// A window (1% of the bytes) takes what is new. What falls out of it enters the main part only if the sketch
// says that it was asked for more often than the one that would leave (W-TinyLFU). The main part is a
// segmented LRU: 80% of it is for entries that were asked for again.
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
        std::uint64_t hits = 0, misses = 0, admitted = 0, rejected = 0, evicted = 0;
    };
    // `seed`: of the hash, so that nobody can choose texts that meet in one slot.
    ShapeCache(std::size_t bytes, std::uint64_t seed);
    ~ShapeCache();
    ShapeCache(const ShapeCache&) = delete;
    ShapeCache& operator=(const ShapeCache&) = delete;

    // Texts are compared whole: equal hashes never give another text's judgement. Valid until the next call.
    const StatementProfile* find(std::string_view text);
    // Valid until the next call. Texts longer than a hundredth of the cache are not kept: the judgement is
    // returned from a place of its own.
    const StatementProfile* put(std::string_view text, StatementProfile profile);
    void clear();

    std::size_t bytes() const { return bytes_; }  // what entries and tables take, sketch included
    std::size_t size() const { return size_; }
    const Counts& counts() const { return counts_; }

  private:
    enum class Part : std::uint8_t { window, probation, retained };
    struct Entry {  // its text follows it in memory
        StatementProfile profile;
        std::uint64_t hash = 0;
        Entry *newer = nullptr, *older = nullptr, *chain = nullptr;
        std::uint32_t length = 0, bytes = 0;
        Part part = Part::window;
        std::string_view text() const { return {reinterpret_cast<const char*>(this + 1), length}; }
    };
    struct Queue {  // from the newest to the oldest
        Entry *newest = nullptr, *oldest = nullptr;
        std::size_t bytes = 0;
    };
    Queue& queue(Part part) { return queues_[std::size_t(part)]; }
    void link(Entry* e, Part part);
    void unlink(Entry* e);
    void erase(Entry* e);
    void touch(Entry* e);
    void shrink();
    void grow_table();
    Entry*& slot(std::uint64_t hash) { return table_[hash & (table_.size() - 1)]; }

    std::size_t most_, window_most_, protected_most_;
    std::uint64_t seed_;
    FrequencySketch sketch_;
    std::vector<Entry*> table_;
    Queue queues_[3];
    std::size_t bytes_ = 0, size_ = 0;
    StatementProfile unkept_;
    Counts counts_;
};

}  // namespace indigovane::statement
