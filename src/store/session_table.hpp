// SessionTable: the positions of sessions by 64-bit keys. It uses extendible hashing (Fagin and others, 1979)
// over small pages with open addressing. Pages are shared with snapshots and copied on write, so a snapshot
// only copies the directory and never blocks a writer. The table grows by splitting one page at a time, so no
// put has to rehash the whole table. An entry takes 24 bytes, and pages are filled to at most 80%. The table
// is used by one thread; a snapshot may be read by another.
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
    std::uint32_t sequence = 0;          // last 32 bits of the sequence number of its record
    std::uint32_t expires_s : 31 = 0;    // Unix time in seconds, until 2038; 0 means never
    std::uint32_t is_scheduled : 1 = 0;  // the key is in the owner's timing wheel
};
static_assert(sizeof(SessionEntry) == 24);

// One page: linear probing over 256 slots, starting at the slot given by the hash's last bits. Removal shifts
// later entries back, so there are no tombstones.
struct SessionPage {
    static constexpr std::size_t kSlots = 256;
    static constexpr std::size_t kBitsPerWord = 64;
    std::uint32_t count = 0;
    std::uint32_t depth = 0;  // number of leading bits of the hash that all its keys share
    std::uint64_t seed = 0;
    std::array<std::uint64_t, kSlots / kBitsPerWord> occupied{};
    std::array<SessionEntry, kSlots> slots{};

    // Clients choose the keys of sessions. Without a seed that they don't know, they could choose keys that
    // all fall into one page, and each split would double the directory.
    static std::uint64_t hash(std::uint64_t key, std::uint64_t seed) {
        std::uint64_t hash = key ^ seed;
        hash ^= hash >> 32;
        hash *= 0xd6e8feb86659fd93u;
        hash ^= hash >> 32;
        hash += seed;
        hash *= 0xd6e8feb86659fd93u;
        return hash ^ hash >> 32;
    }
    static std::size_t home_slot(std::uint64_t hash) { return std::size_t(hash & (kSlots - 1)); }
    static std::size_t next_slot(std::size_t slot) { return (slot + 1) & (kSlots - 1); }
    // Number of slots from one slot to another, counted upwards with wraparound.
    static std::size_t distance(std::size_t from, std::size_t to) { return (to - from) & (kSlots - 1); }

    bool is_occupied(std::size_t slot) const {
        return occupied[slot / kBitsPerWord] >> (slot % kBitsPerWord) & 1;
    }
    void mark_occupied(std::size_t slot) {
        occupied[slot / kBitsPerWord] |= std::uint64_t(1) << (slot % kBitsPerWord);
    }
    void mark_free(std::size_t slot) {
        occupied[slot / kBitsPerWord] &= ~(std::uint64_t(1) << (slot % kBitsPerWord));
    }

    SessionEntry* find(std::uint64_t key, std::uint64_t hash) {
        for (std::size_t slot = home_slot(hash); is_occupied(slot); slot = next_slot(slot))
            if (slots[slot].key == key) return &slots[slot];
        return nullptr;
    }
    // Inserts a key. It must not exist, and the page must not be full.
    SessionEntry& insert(std::uint64_t key, std::uint64_t hash) {
        std::size_t slot = home_slot(hash);
        while (is_occupied(slot)) slot = next_slot(slot);
        slots[slot] = {};
        slots[slot].key = key;
        mark_occupied(slot);
        ++count;
        return slots[slot];
    }
    // Removes a key, which must exist.
    void erase(std::uint64_t key, std::uint64_t key_hash) {
        auto hole = std::size_t(find(key, key_hash) - slots.data());
        for (std::size_t slot = next_slot(hole); is_occupied(slot); slot = next_slot(slot)) {
            std::size_t entry_home = home_slot(hash(slots[slot].key, seed));
            // The entry may move into the hole unless its home slot lies between the hole and its slot.
            if (distance(entry_home, slot) >= distance(hole, slot)) {
                slots[hole] = slots[slot];
                hole = slot;
            }
        }
        mark_free(hole);
        --count;
    }
};

class SessionTable {
  public:
    using Entry = SessionEntry;

    // `seed`: random number that clients do not know.
    explicit SessionTable(std::uint64_t seed = 0)
        : directory_(1, std::make_shared<SessionPage>()), seed_(seed) {
        directory_[0]->seed = seed;
    }

    // Returns null if the key does not exist. The pointer is valid until the next change.
    const Entry* find(std::uint64_t key) const {
        std::uint64_t key_hash = hash(key);
        return directory_[index(key_hash)]->find(key, key_hash);
    }

    // Returns the entry of the key and creates it if it does not exist. Valid until the next change.
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

    // Returns whether the key existed.
    bool erase(std::uint64_t key) {
        std::uint64_t key_hash = hash(key);
        if (!directory_[index(key_hash)]->find(key, key_hash)) return false;
        writable(index(key_hash)).erase(key, key_hash);
        --size_;
        return true;
    }

    // Prefetch memory before a put: first the directory entry, then the page. Useful for many keys at once,
    // as in a recovery.
    void prefetch_directory(std::uint64_t key) const { __builtin_prefetch(&directory_[index(hash(key))]); }
    void prefetch_page(std::uint64_t key) const {
        std::uint64_t key_hash = hash(key);
        const SessionPage* page = directory_[index(key_hash)].get();
        __builtin_prefetch(page);
        __builtin_prefetch(&page->slots[SessionPage::home_slot(key_hash)]);
    }
    std::size_t size() const { return size_; }
    // Memory used by pages and directory.
    std::size_t bytes() const {
        std::size_t pages = 0;
        for (std::size_t i = 0; i < directory_.size(); ++i)
            if (i == 0 || directory_[i] != directory_[i - 1]) ++pages;
        return pages * sizeof(SessionPage) + directory_.capacity() * sizeof(directory_[0]);
    }

    // Releases unused memory. Pages are not merged when they become empty; once few entries are left, they
    // are moved to a new table.
    void shrink() {
        if (bytes() < kMinShrinkBytes || bytes() < size_ * sizeof(Entry) * kShrinkFactor) return;
        SessionTable smaller(seed_);
        each([&](const Entry& entry) { smaller.put(entry.key) = entry; });
        *this = std::move(smaller);
    }

    class Snapshot {
      public:
        // Calls visit(entry) in no particular order.
        template <typename Visitor>
        void each(Visitor&& visit) const {
            const void* last = nullptr;
            for (const auto& page : directory_) {
                if (page.get() == last) continue;
                last = page.get();
                for (std::size_t slot = 0; slot < SessionPage::kSlots; ++slot)
                    if (page->is_occupied(slot)) visit(page->slots[slot]);
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
    // shrink() acts if the memory is at least this multiple of the entries' size.
    static constexpr std::size_t kShrinkFactor = 12;

    std::uint64_t hash(std::uint64_t key) const { return SessionPage::hash(key, seed_); }
    std::size_t index(std::uint64_t key_hash) const {
        return depth_ == 0 ? 0 : std::size_t(key_hash >> (64 - depth_));
    }
    // Number of consecutive directory entries that refer to a page of that depth.
    std::size_t reference_count(std::uint32_t page_depth) const {
        return std::size_t(1) << (depth_ - page_depth);
    }

    // Returns the page at that directory index, after copying it if a snapshot shares it.
    SessionPage& writable(std::size_t directory_index) {
        std::shared_ptr<SessionPage>& page = directory_[directory_index];
        std::size_t references = reference_count(page->depth);
        if (std::size_t(page.use_count()) == references) return *page;
        std::size_t first = directory_index / references * references;
        auto copy = std::make_shared<SessionPage>(*page);
        for (std::size_t i = first; i < first + references; ++i) directory_[i] = copy;
        return *copy;
    }

    void double_directory() {
        std::vector<std::shared_ptr<SessionPage>> doubled(directory_.size() * 2);
        for (std::size_t i = 0; i < doubled.size(); ++i) doubled[i] = directory_[i / 2];
        directory_ = std::move(doubled);
        ++depth_;
    }

    void split(std::size_t directory_index) {
        std::uint32_t depth = directory_[directory_index]->depth;
        if (depth == depth_) {
            double_directory();
            directory_index *= 2;
        }
        std::size_t references = reference_count(depth);
        std::size_t first = directory_index / references * references;
        std::shared_ptr<SessionPage> old = directory_[first];
        std::array<std::shared_ptr<SessionPage>, 2> halves;
        for (auto& half : halves) {
            half = std::make_shared<SessionPage>();
            half->depth = depth + 1;
            half->seed = seed_;
        }
        for (std::size_t slot = 0; slot < SessionPage::kSlots; ++slot) {
            if (!old->is_occupied(slot)) continue;
            const Entry& entry = old->slots[slot];
            std::uint64_t key_hash = hash(entry.key);
            halves[key_hash >> (63 - depth) & 1]->insert(entry.key, key_hash) = entry;
        }
        for (std::size_t i = 0; i < references; ++i) directory_[first + i] = halves[i >= references / 2];
    }

    std::vector<std::shared_ptr<SessionPage>> directory_;  // indexed by the hash's first `depth_` bits
    std::uint64_t seed_;
    unsigned depth_ = 0;
    std::size_t size_ = 0;
};

}  // namespace indigovane::store
