// Session positions: 64-bit keys in extendible hashing (Fagin and others, 1979) over small open-addressed
// pages. Pages are shared with snapshots and copied when written (copy on write), so a snapshot costs its
// directory and never delays a writer; growth splits one page at a time, so no put pays for a rehash of all.
// 24 bytes an entry, pages filled to 80% at most. The table is used by one thread; a snapshot may be read by
// another.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace indigovane::store {

struct SessionEntry {
    std::uint64_t key = 0;
    std::uint64_t value = 0;
    std::uint32_t sequence = 0;        // of its record, the last 32 bits
    std::uint32_t expires_s : 31 = 0;  // Unix, until 2038; 0: never
    std::uint32_t timed : 1 = 0;       // the owner's timing wheel has it
};
static_assert(sizeof(SessionEntry) == 24);

// One page: linear probing over 256 slots, by the hash's last bits; removal shifts back, so there are no
// tombstones.
struct SessionPage {
    static constexpr std::size_t kSlots = 256;
    static constexpr std::size_t kBitsPerWord = 64;
    std::uint32_t count = 0;
    std::uint32_t depth = 0;  // bits of the hash that all its keys share
    std::uint64_t seed = 0;
    std::array<std::uint64_t, kSlots / kBitsPerWord> used{};
    std::array<SessionEntry, kSlots> slots{};

    // Clients choose sessions' keys: without a seed that they don't know they could fill one page for ever,
    // and each split would double the directory.
    static std::uint64_t hash(std::uint64_t key, std::uint64_t seed) {
        std::uint64_t hash = key ^ seed;
        hash ^= hash >> 32;
        hash *= 0xd6e8feb86659fd93u;
        hash ^= hash >> 32;
        hash += seed;
        hash *= 0xd6e8feb86659fd93u;
        return hash ^ hash >> 32;
    }
    static std::size_t home(std::uint64_t hash) { return std::size_t(hash & (kSlots - 1)); }
    static std::size_t after(std::size_t slot) { return (slot + 1) & (kSlots - 1); }
    // Slots from one to the other, going up and around.
    static std::size_t distance(std::size_t from, std::size_t to) { return (to - from) & (kSlots - 1); }

    bool is_used(std::size_t slot) const { return used[slot / kBitsPerWord] >> (slot % kBitsPerWord) & 1; }
    void set_used(std::size_t slot) {
        used[slot / kBitsPerWord] |= std::uint64_t(1) << (slot % kBitsPerWord);
    }
    void set_free(std::size_t slot) {
        used[slot / kBitsPerWord] &= ~(std::uint64_t(1) << (slot % kBitsPerWord));
    }

    SessionEntry* find(std::uint64_t key, std::uint64_t hash) {
        for (std::size_t slot = home(hash); is_used(slot); slot = after(slot))
            if (slots[slot].key == key) return &slots[slot];
        return nullptr;
    }
    // Of a key that is not there; the page is not full.
    SessionEntry& insert(std::uint64_t key, std::uint64_t hash) {
        std::size_t slot = home(hash);
        while (is_used(slot)) slot = after(slot);
        slots[slot] = {};
        slots[slot].key = key;
        set_used(slot);
        ++count;
        return slots[slot];
    }
    // Of a key that is there.
    void erase(std::uint64_t key, std::uint64_t key_hash) {
        auto hole = std::size_t(find(key, key_hash) - slots.data());
        for (std::size_t slot = after(hole); is_used(slot); slot = after(slot)) {
            std::size_t slot_home = home(hash(slots[slot].key, seed));
            // It may move into the hole unless its home lies between the hole and itself.
            if (distance(slot_home, slot) >= distance(hole, slot)) {
                slots[hole] = slots[slot];
                hole = slot;
            }
        }
        set_free(hole);
        --count;
    }
};

class SessionTable {
  public:
    using Entry = SessionEntry;

    // `seed`: random, unknown to clients.
    explicit SessionTable(std::uint64_t seed = 0)
        : directory_(1, std::make_shared<SessionPage>()), seed_(seed) {
        directory_[0]->seed = seed;
    }

    // Null where there is none. Valid until the next change.
    const Entry* find(std::uint64_t key) const {
        std::uint64_t key_hash = hash(key);
        return directory_[index(key_hash)]->find(key, key_hash);
    }

    // The entry of that key, made where there was none. Valid until the next change.
    Entry& put(std::uint64_t key) {
        std::uint64_t key_hash = hash(key);
        for (;;) {
            SessionPage& page = writable(index(key_hash));
            if (Entry* entry = page.find(key, key_hash)) return *entry;
            if (page.count < kMaxPageEntries) {
                ++size_;
                return page.insert(key, key_hash);
            }
            split(index(key_hash));
        }
    }

    // Whether it was there.
    bool erase(std::uint64_t key) {
        std::uint64_t key_hash = hash(key);
        if (!directory_[index(key_hash)]->find(key, key_hash)) return false;
        writable(index(key_hash)).erase(key, key_hash);
        --size_;
        return true;
    }

    // Ahead of a put: first where its page is, then the page. For many keys at once, as in a recovery.
    void prefetch_directory(std::uint64_t key) const { __builtin_prefetch(&directory_[index(hash(key))]); }
    void prefetch_page(std::uint64_t key) const {
        std::uint64_t key_hash = hash(key);
        const SessionPage* page = directory_[index(key_hash)].get();
        __builtin_prefetch(page);
        __builtin_prefetch(&page->slots[SessionPage::home(key_hash)]);
    }
    std::size_t size() const { return size_; }
    std::size_t bytes() const {  // of memory
        std::size_t pages = 0;
        for (std::size_t i = 0; i < directory_.size(); ++i)
            if (i == 0 || directory_[i] != directory_[i - 1]) ++pages;
        return pages * sizeof(SessionPage) + directory_.capacity() * sizeof(directory_[0]);
    }

    // Pages are not joined when they empty: where hardly anything is left, it is moved to a table of its
    // size.
    void shrink() {
        if (bytes() < kMinShrinkBytes || bytes() < size_ * sizeof(Entry) * kShrinkFactor) return;
        SessionTable smaller(seed_);
        each([&](const Entry& entry) { smaller.put(entry.key) = entry; });
        *this = std::move(smaller);
    }

    class Snapshot {
      public:
        // Calls visit(entry), in no order.
        template <typename Visitor>
        void each(Visitor&& visit) const {
            const void* last = nullptr;
            for (const auto& page : directory_) {
                if (page.get() == last) continue;
                last = page.get();
                for (std::size_t slot = 0; slot < SessionPage::kSlots; ++slot)
                    if (page->is_used(slot)) visit(page->slots[slot]);
            }
        }

      private:
        friend class SessionTable;
        std::vector<std::shared_ptr<const SessionPage>> directory_;
    };
    Snapshot snapshot() const {
        Snapshot snapshot;
        snapshot.directory_.assign(directory_.begin(), directory_.end());
        return snapshot;
    }

    template <typename Visitor>
    void each(Visitor&& visit) const {
        snapshot().each(visit);
    }

  private:
    static constexpr std::size_t kMaxPageEntries = 205;  // 80% of the slots
    static constexpr std::size_t kMinShrinkBytes = 1u << 20;
    static constexpr std::size_t kShrinkFactor = 12;  // memory, as a multiple of the entries' bytes

    std::uint64_t hash(std::uint64_t key) const { return SessionPage::hash(key, seed_); }
    std::size_t index(std::uint64_t key_hash) const {
        return depth_ == 0 ? 0 : std::size_t(key_hash >> (64 - depth_));
    }
    // Places in the directory that a page of that depth has, one after the other.
    std::size_t span(std::uint32_t page_depth) const { return std::size_t(1) << (depth_ - page_depth); }

    // The page at that place, copied where a snapshot shares it.
    SessionPage& writable(std::size_t at) {
        std::shared_ptr<SessionPage>& page = directory_[at];
        std::size_t places = span(page->depth);
        if (std::size_t(page.use_count()) == places) return *page;
        std::size_t first = at / places * places;
        auto copy = std::make_shared<SessionPage>(*page);
        for (std::size_t i = first; i < first + places; ++i) directory_[i] = copy;
        return *copy;
    }

    void double_directory() {
        std::vector<std::shared_ptr<SessionPage>> doubled(directory_.size() * 2);
        for (std::size_t i = 0; i < doubled.size(); ++i) doubled[i] = directory_[i / 2];
        directory_ = std::move(doubled);
        ++depth_;
    }

    void split(std::size_t at) {
        std::uint32_t depth = directory_[at]->depth;
        if (depth == depth_) {
            double_directory();
            at *= 2;
        }
        std::size_t places = span(depth);
        std::size_t first = at / places * places;
        std::shared_ptr<SessionPage> old = directory_[first];
        std::array<std::shared_ptr<SessionPage>, 2> halves;
        for (auto& half : halves) {
            half = std::make_shared<SessionPage>();
            half->depth = depth + 1;
            half->seed = seed_;
        }
        for (std::size_t slot = 0; slot < SessionPage::kSlots; ++slot) {
            if (!old->is_used(slot)) continue;
            const Entry& entry = old->slots[slot];
            std::uint64_t key_hash = hash(entry.key);
            halves[key_hash >> (63 - depth) & 1]->insert(entry.key, key_hash) = entry;
        }
        for (std::size_t i = 0; i < places; ++i) directory_[first + i] = halves[i >= places / 2];
    }

    std::vector<std::shared_ptr<SessionPage>> directory_;  // by the hash's first `depth_` bits
    std::uint64_t seed_;
    unsigned depth_ = 0;
    std::size_t size_ = 0;
};

}  // namespace indigovane::store
