// How often a key was asked for lately, in four bits a counter: count-min with conservative update, halved at
// intervals (Einziger, Friedman, Manes: "TinyLFU: A Highly Efficient Cache Admission Policy", 2017).
#pragma once

#include <algorithm>
#include <bit>
#include <cstdint>
#include <vector>

namespace indigovane::statement {

class FrequencySketch {
  public:
    // `keys`: about as many as the cache holds. Sixteen counters to a word, four rows: 8 bytes a key at most.
    explicit FrequencySketch(std::size_t keys = 1024) { resize(keys); }

    void resize(std::size_t keys) {
        std::size_t table = std::bit_ceil(std::max<std::size_t>(keys, 64));
        words_.assign(table, 0);
        sample_ = 10 * table;
        additions_ = 0;
    }

    // 0 to 15; may be too high by collisions, never too low since the last halving.
    unsigned estimate(std::uint64_t hash) const {
        unsigned least = 15;
        for (unsigned row = 0; row < kRows; ++row) least = std::min(least, counter(hash, row));
        return least;
    }

    void add(std::uint64_t hash) {
        unsigned least = estimate(hash);
        if (least < 15)
            for (unsigned row = 0; row < kRows; ++row)
                if (counter(hash, row) == least)
                    words_[word(hash, row)] += std::uint64_t(1) << shift(hash, row);
        if (++additions_ >= sample_) halve();
    }

    std::size_t bytes() const { return words_.size() * sizeof(std::uint64_t); }

  private:
    static constexpr unsigned kRows = 4;
    static std::uint64_t mix(std::uint64_t hash, unsigned row) {
        hash += 0x9e3779b97f4a7c15u * (row + 1);
        hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9u;
        return hash ^ (hash >> 27);
    }
    std::size_t word(std::uint64_t hash, unsigned row) const { return mix(hash, row) & (words_.size() - 1); }
    static unsigned shift(std::uint64_t hash, unsigned row) {
        return unsigned(mix(hash, row) >> 40 & 3) * 16 + row * 4;
    }
    unsigned counter(std::uint64_t hash, unsigned row) const {
        return unsigned(words_[word(hash, row)] >> shift(hash, row) & 15);
    }
    void halve() {
        for (std::uint64_t& w : words_) w = w >> 1 & 0x7777777777777777u;
        additions_ /= 2;
    }

    std::vector<std::uint64_t> words_;
    std::size_t sample_ = 0, additions_ = 0;
};

}  // namespace indigovane::statement
