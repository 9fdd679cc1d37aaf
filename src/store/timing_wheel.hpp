// What is due when, in seconds: a hierarchical timing wheel (Varghese and Lauck, 1987) of four levels with 64
// slots each. That is 194 days ahead; what is due later is looked at again then. An item costs 16 bytes and
// O(1) to add; due() costs what is due and the slots passed. Used by one thread.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <utility>
#include <vector>

namespace indigovane::store {

class TimingWheel {
  public:
    explicit TimingWheel(std::uint64_t now_s = 0) : now_s_(now_s) {}

    // At the next second where `at_s` has passed.
    void add(std::uint64_t key, std::uint64_t at_s) {
        place({key, at_s <= now_s_ ? now_s_ + 1 : at_s});
        ++size_;
    }
    // Calls visit(key, at_s) for each item that is due by now. Items can't be removed: the caller looks
    // whether a key is still to expire, and may add it again from within.
    template <typename Visitor>
    void due(std::uint64_t now_s, Visitor&& visit) {
        if (now_s > now_s_ + kSpanS) jump(now_s);
        while (now_s_ < now_s) {
            ++now_s_;
            for (unsigned level = 1; level < kLevels && begins_slot(level); ++level) cascade(level);
            for (const Item& item : std::exchange(slots_[0][now_s_ & kSlotMask], {})) {
                if (item.at_s > now_s_) {
                    place(item);
                    continue;
                }
                --size_;
                visit(item.key, item.at_s);
            }
        }
    }
    std::size_t size() const { return size_; }

  private:
    struct Item {
        std::uint64_t key = 0;
        std::uint64_t at_s = 0;
    };
    using Slot = std::vector<Item>;
    static constexpr unsigned kBits = 6;  // of a level
    static constexpr unsigned kLevels = 4;
    static constexpr std::uint64_t kSlots = 1 << kBits;
    static constexpr std::uint64_t kSlotMask = kSlots - 1;
    static constexpr std::uint64_t kSpanS = std::uint64_t(1) << (kBits * kLevels);

    // Seconds from one slot of the level to the next.
    static constexpr std::uint64_t step_s(unsigned level) { return std::uint64_t(1) << (kBits * level); }
    bool begins_slot(unsigned level) const { return (now_s_ & (step_s(level) - 1)) == 0; }
    Slot& slot(unsigned level, std::uint64_t at_s) {
        return slots_[level][at_s >> (kBits * level) & kSlotMask];
    }

    void place(const Item& item) {
        std::uint64_t at_s = std::min(item.at_s, now_s_ + kSpanS - 1);
        std::uint64_t ahead_s = at_s - now_s_;
        unsigned level = 0;
        while (level + 1 < kLevels && ahead_s >= step_s(level + 1)) ++level;
        slot(level, at_s).push_back(item);
    }
    // Distributes the level's current slot over the levels below.
    void cascade(unsigned level) {
        for (const Item& item : std::exchange(slot(level, now_s_), {})) {
            if (item.at_s <= now_s_)
                slot(0, now_s_).push_back(item);
            else
                place(item);
        }
    }
    // To just before `now_s`, for a clock that leaps: all items are placed anew, rather than second by
    // second.
    void jump(std::uint64_t now_s) {
        std::vector<Item> items;
        for (auto& level : slots_)
            for (Slot& slot : level) {
                items.insert(items.end(), slot.begin(), slot.end());
                slot.clear();
            }
        now_s_ = now_s - 1;
        for (const Item& item : items) place({item.key, std::max(item.at_s, now_s_ + 1)});
    }

    std::array<std::array<Slot, kSlots>, kLevels> slots_;
    std::uint64_t now_s_;
    std::size_t size_ = 0;
};

}  // namespace indigovane::store
