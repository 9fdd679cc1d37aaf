// Estimates how often a key was looked up recently. It is a count-min sketch with counters of four bits and
// conservative updates, whose counters are halved at intervals (Einziger, Friedman, Manes: "TinyLFU: A Highly
// Efficient Cache Admission Policy", 2017).
#pragma once

#include <algorithm>
#include <bit>
#include <cstdint>
#include <vector>

namespace indigovane::statement {

class FrequencySketch {
  public:
    // `keys`: the approximate number of entries of the cache. Takes one word of 8 bytes per key, rounded up
    // to a power of two and to 64 words at least. A word holds sixteen counters, four for each of the four
    // rows.
    explicit FrequencySketch(std::size_t keys = 1024) { resize(keys); }

    void resize(std::size_t keys) {
        std::size_t word_count = std::bit_ceil(std::max<std::size_t>(keys, 64));
        words_.assign(word_count, 0);
        max_additions_ = 10 * word_count;
        additions_ = 0;
    }

    // From 0 to 15. Collisions may make it too high; it is never lower than the number of additions since the
    // last halving, up to 15.
    unsigned estimate(std::uint64_t hash) const {
        unsigned lowest = 15;
        for (unsigned row = 0; row < kRows; ++row) lowest = std::min(lowest, counter(hash, row));
        return lowest;
    }

    void add(std::uint64_t hash) {
        unsigned lowest = estimate(hash);
        if (lowest < 15)
            for (unsigned row = 0; row < kRows; ++row)
                if (counter(hash, row) == lowest)
                    words_[word_index(hash, row)] += std::uint64_t(1) << shift(hash, row);
        if (++additions_ >= max_additions_) halve();
    }

    std::size_t bytes() const { return words_.size() * sizeof(std::uint64_t); }

  private:
    static constexpr unsigned kRows = 4;
    static std::uint64_t row_hash(std::uint64_t hash, unsigned row) {
        hash += 0x9e3779b97f4a7c15u * (row + 1);
        hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9u;
        return hash ^ (hash >> 27);
    }
    std::size_t word_index(std::uint64_t hash, unsigned row) const {
        return row_hash(hash, row) & (words_.size() - 1);
    }
    static unsigned shift(std::uint64_t hash, unsigned row) {
        return unsigned(row_hash(hash, row) >> 40 & 3) * 16 + row * 4;
    }
    unsigned counter(std::uint64_t hash, unsigned row) const {
        return unsigned(words_[word_index(hash, row)] >> shift(hash, row) & 15);
    }
    void halve() {
        for (std::uint64_t& word : words_) word = word >> 1 & 0x7777777777777777u;
        additions_ /= 2;
    }

    std::vector<std::uint64_t> words_;
    std::size_t max_additions_ = 0, additions_ = 0;
};

}  // namespace indigovane::statement
