// What is due when, in seconds: a hierarchical timing wheel (Varghese and Lauck, 1987), four levels of 64
// slots: 194 days ahead, later is looked at again then. A key costs 16 bytes and O(1) to add; due() costs
// what is due and the slots passed.
#pragma once

#include <array>
#include <cstdint>
#include <utility>
#include <vector>

namespace indigovane::store {

class TimingWheel {
  public:
    explicit TimingWheel(std::uint64_t now = 0) : now_(now) {}

    void add(std::uint64_t key, std::uint64_t at) {
        place(key, at <= now_ ? now_ + 1 : at);
        ++size_;
    }
    // Calls back with each key that is due by `now`, with the time that it was added with. Keys can't be
    // removed: the caller looks whether it still stands, and may add it again from within.
    template <typename F>
    void due(std::uint64_t now, F&& f) {
        if (now > now_ + kSpan) now_ = jump(now);
        while (now_ < now) {
            ++now_;
            for (unsigned level = 1;
                 level < kLevels && (now_ & ((std::uint64_t(1) << (kBits * level)) - 1)) == 0; ++level)
                cascade(level);
            auto ready = std::move(slots_[0][now_ & (kSlots - 1)]);
            slots_[0][now_ & (kSlots - 1)].clear();
            for (auto [key, at] : ready) {
                if (at > now_) {
                    place(key, at);
                    continue;
                }
                --size_;
                f(key, at);
            }
        }
    }
    std::size_t size() const { return size_; }
    std::uint64_t now() const { return now_; }
    std::size_t bytes() const {
        std::size_t sum = sizeof *this;
        for (auto& level : slots_)
            for (auto& slot : level) sum += slot.capacity() * sizeof(slot[0]);
        return sum;
    }

  private:
    static constexpr unsigned kBits = 6, kLevels = 4;
    static constexpr std::uint64_t kSlots = 1 << kBits, kSpan = std::uint64_t(1) << (kBits * kLevels);
    using Item = std::pair<std::uint64_t, std::uint64_t>;

    void place(std::uint64_t key, std::uint64_t at) {
        std::uint64_t ahead = at - now_, when = ahead >= kSpan ? now_ + kSpan - 1 : at;
        ahead = when - now_;
        unsigned level = 0;
        while (level + 1 < kLevels && ahead >= std::uint64_t(1) << (kBits * (level + 1))) ++level;
        slots_[level][when >> (kBits * level) & (kSlots - 1)].push_back({key, at});
    }
    void cascade(unsigned level) {
        auto items = std::move(slots_[level][now_ >> (kBits * level) & (kSlots - 1)]);
        slots_[level][now_ >> (kBits * level) & (kSlots - 1)].clear();
        for (auto [key, at] : items) {
            if (at <= now_)
                slots_[0][now_ & (kSlots - 1)].push_back({key, at});
            else
                place(key, at);
        }
    }
    // A clock that leaps: all is taken out and placed anew, rather than second by second.
    std::uint64_t jump(std::uint64_t now) {
        std::vector<Item> all;
        for (auto& level : slots_)
            for (auto& slot : level) {
                all.insert(all.end(), slot.begin(), slot.end());
                slot.clear();
            }
        now_ = now - 1;
        for (auto [key, at] : all) place(key, at <= now_ ? now_ + 1 : at);
        return now_;
    }

    std::array<std::array<std::vector<Item>, kSlots>, kLevels> slots_;
    std::uint64_t now_;
    std::size_t size_ = 0;
};

}  // namespace indigovane::store
