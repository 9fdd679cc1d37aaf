// TimingWheel: holds keys until they are due, with a resolution of one second. It is a hierarchical timing
// wheel (Varghese and Lauck, 1987) of four levels with 64 slots each, which reaches 194 days ahead; an item
// that is due later is placed again when those have passed. An item takes 16 bytes and O(1) time to add;
// advance() takes time proportional to the due items and the slots passed. Used by one thread.
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

    // Adds a key that is due at `due_s`, or in the next second if that has already passed.
    void add(std::uint64_t key, std::uint64_t due_s) {
        place({key, due_s <= now_s_ ? now_s_ + 1 : due_s});
        ++size_;
    }
    // Advances the time to `now_s` and calls visit(key, due_s) for each item that is due by then. Items can't
    // be removed: `visit` must check whether the key is still due, and may add it again.
    template <typename Visitor>
    void advance(std::uint64_t now_s, Visitor&& visit) {
        if (now_s > now_s_ + kSpanS) jump_to(now_s);
        while (now_s_ < now_s) {
            ++now_s_;
            for (unsigned level = 1; level < kLevels && begins_slot(level); ++level) cascade(level);
            for (const Item& item : std::exchange(slots_[0][now_s_ & kSlotMask], {})) {
                if (item.due_s > now_s_) {
                    place(item);
                    continue;
                }
                --size_;
                visit(item.key, item.due_s);
            }
        }
    }
    std::size_t size() const { return size_; }

  private:
    struct Item {
        std::uint64_t key = 0;
        std::uint64_t due_s = 0;
    };
    using Slot = std::vector<Item>;
    static constexpr unsigned kBits = 6;  // bits of the time per level
    static constexpr unsigned kLevels = 4;
    static constexpr std::uint64_t kSlots = 1 << kBits;
    static constexpr std::uint64_t kSlotMask = kSlots - 1;
    static constexpr std::uint64_t kSpanS = std::uint64_t(1) << (kBits * kLevels);

    // Seconds covered by one slot of the level.
    static constexpr std::uint64_t step_s(unsigned level) { return std::uint64_t(1) << (kBits * level); }
    bool begins_slot(unsigned level) const { return (now_s_ & (step_s(level) - 1)) == 0; }
    Slot& slot(unsigned level, std::uint64_t due_s) {
        return slots_[level][due_s >> (kBits * level) & kSlotMask];
    }

    void place(const Item& item) {
        std::uint64_t due_s = std::min(item.due_s, now_s_ + kSpanS - 1);
        std::uint64_t ahead_s = due_s - now_s_;
        unsigned level = 0;
        while (level + 1 < kLevels && ahead_s >= step_s(level + 1)) ++level;
        slot(level, due_s).push_back(item);
    }
    // Distributes the items of the level's current slot over the levels below.
    void cascade(unsigned level) {
        for (const Item& item : std::exchange(slot(level, now_s_), {})) {
            if (item.due_s <= now_s_)
                slot(0, now_s_).push_back(item);
            else
                place(item);
        }
    }
    // Sets the time to one second before `now_s` and places all items anew. Used when the clock leaps ahead,
    // as advancing second by second would take too long.
    void jump_to(std::uint64_t now_s) {
        std::vector<Item> items;
        for (auto& level : slots_)
            for (Slot& slot : level) {
                items.insert(items.end(), slot.begin(), slot.end());
                slot.clear();
            }
        now_s_ = now_s - 1;
        for (const Item& item : items) place({item.key, std::max(item.due_s, now_s_ + 1)});
    }

    std::array<std::array<Slot, kSlots>, kLevels> slots_;
    std::uint64_t now_s_;
    std::size_t size_ = 0;
};

}  // namespace indigovane::store
