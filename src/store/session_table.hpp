// Session positions: 64-bit keys in extendible hashing over small open-addressed pages. Pages are shared with
// snapshots and copied when written (copy on write), so a snapshot costs its directory and never holds up a
// writer; growth splits one page at a time, so no put pays for a rehash of all. 24 bytes an entry, pages
// filled to 80% at most.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace indigovane::store {

struct SessionEntry {
    std::uint64_t key = 0, value = 0;
    std::uint32_t sequence = 0;        // its last 32 bits
    std::uint32_t expires_s : 31 = 0;  // Unix, until 2038; 0: never
    std::uint32_t timed : 1 = 0;       // the wheel holds it
};
static_assert(sizeof(SessionEntry) == 24);

// One page: linear probing over 256 slots, by the hash's last bits; removal shifts back, so there are no
// tombstones.
struct SessionPage {
    using Entry = SessionEntry;
    static constexpr std::size_t kSlots = 256;
    std::uint32_t count = 0, depth = 0;
    std::uint64_t seed = 0;
    std::array<std::uint64_t, kSlots / 64> used{};
    std::array<Entry, kSlots> slots{};

    // Clients choose sessions' keys: without a seed that they don't know they could fill one page for ever,
    // and each split would double the directory.
    static std::uint64_t mix(std::uint64_t k, std::uint64_t seed) {
        k ^= seed;
        k ^= k >> 32;
        k *= 0xd6e8feb86659fd93u;
        k ^= k >> 32;
        k += seed;
        k *= 0xd6e8feb86659fd93u;
        return k ^ k >> 32;
    }
    bool full(std::size_t i) const { return used[i / 64] >> (i % 64) & 1; }
    void set(std::size_t i) { used[i / 64] |= std::uint64_t(1) << (i % 64); }
    void clear(std::size_t i) { used[i / 64] &= ~(std::uint64_t(1) << (i % 64)); }
    static std::size_t home(std::uint64_t hash) { return std::size_t(hash & (kSlots - 1)); }
    Entry* find(std::uint64_t key, std::uint64_t hash) {
        for (std::size_t i = home(hash); full(i); i = (i + 1) & (kSlots - 1))
            if (slots[i].key == key) return &slots[i];
        return nullptr;
    }
    Entry& insert(std::uint64_t key, std::uint64_t hash) {
        std::size_t i = home(hash);
        while (full(i)) i = (i + 1) & (kSlots - 1);
        slots[i] = {};
        slots[i].key = key;
        set(i);
        ++count;
        return slots[i];
    }
    void erase(std::uint64_t key, std::uint64_t hash) {
        Entry* e = find(key, hash);
        auto hole = std::size_t(e - slots.data());
        for (std::size_t i = (hole + 1) & (kSlots - 1); full(i); i = (i + 1) & (kSlots - 1)) {
            std::size_t from = home(mix(slots[i].key, seed));
            // It may move into the hole unless its home lies between the hole and itself.
            if (((i - from) & (kSlots - 1)) >= ((i - hole) & (kSlots - 1))) {
                slots[hole] = slots[i];
                hole = i;
            }
        }
        clear(hole);
        --count;
    }
};

class SessionTable {
  public:
    using Entry = SessionEntry;

    explicit SessionTable(std::uint64_t seed = 0) : directory_(1, std::make_shared<Page>()), seed_(seed) {
        directory_[0]->seed = seed;
    }

    const Entry* find(std::uint64_t key) const { return directory_[index(mix(key))]->find(key, mix(key)); }

    // The entry of that key, made where there was none. Valid until the next call.
    Entry& put(std::uint64_t key) {
        std::uint64_t hash = mix(key);
        for (;;) {
            Page& page = own(index(hash));
            if (Entry* e = page.find(key, hash)) return *e;
            if (page.count < kMost) {
                ++size_;
                return page.insert(key, hash);
            }
            split(index(hash));
        }
    }

    bool erase(std::uint64_t key) {
        std::uint64_t hash = mix(key);
        if (!directory_[index(hash)]->find(key, hash)) return false;
        own(index(hash)).erase(key, hash);
        --size_;
        return true;
    }

    // Ahead of a put: first where its page is, then the page. For many keys at once, as in a recovery.
    void prefetch_directory(std::uint64_t key) const { __builtin_prefetch(&directory_[index(mix(key))]); }
    void prefetch_page(std::uint64_t key) const {
        std::uint64_t hash = mix(key);
        const Page* page = directory_[index(hash)].get();
        __builtin_prefetch(page);
        __builtin_prefetch(&page->slots[Page::home(hash)]);
    }
    std::size_t size() const { return size_; }
    std::size_t bytes() const {
        std::size_t pages = 0;
        for (std::size_t i = 0; i < directory_.size(); ++i)
            if (i == 0 || directory_[i] != directory_[i - 1]) ++pages;
        return pages * sizeof(Page) + directory_.capacity() * sizeof(directory_[0]);
    }

    // Pages are not joined when they empty: where hardly anything is left, it is moved to a table of its
    // size.
    void shrink() {
        if (bytes() < (1u << 20) || bytes() < size_ * sizeof(Entry) * 12) return;
        SessionTable smaller(seed_);
        snapshot().each([&](const Entry& e) { smaller.put(e.key) = e; });
        *this = std::move(smaller);
    }

    class Snapshot {
      public:
        template <typename F>
        void each(F&& f) const {
            const void* last = nullptr;
            for (const auto& page : directory_) {
                if (page.get() == last) continue;
                last = page.get();
                for (std::size_t i = 0; i < SessionPage::kSlots; ++i)
                    if (page->full(i)) f(page->slots[i]);
            }
        }

      private:
        friend class SessionTable;
        struct Access;
        std::vector<std::shared_ptr<const SessionPage>> directory_;
    };
    Snapshot snapshot() const;

    template <typename F>
    void each(F&& f) const {
        snapshot().each(f);
    }

  private:
    using Page = SessionPage;
    static constexpr std::size_t kMost = 205;
    std::uint64_t mix(std::uint64_t key) const { return SessionPage::mix(key, seed_); }

    std::size_t index(std::uint64_t hash) const {
        return depth_ == 0 ? 0 : std::size_t(hash >> (64 - depth_));
    }
    Page& own(std::size_t at);
    void split(std::size_t at);

    std::vector<std::shared_ptr<Page>> directory_;  // by the hash's first bits
    std::uint64_t seed_;
    unsigned depth_ = 0;
    std::size_t size_ = 0;
};

inline SessionTable::Page& SessionTable::own(std::size_t at) {
    std::shared_ptr<Page>& page = directory_[at];
    std::size_t span = std::size_t(1) << (depth_ - page->depth), first = at / span * span;
    if (std::size_t(page.use_count()) == span) return *page;
    auto copy = std::make_shared<Page>(*page);
    for (std::size_t i = first; i < first + span; ++i) directory_[i] = copy;
    return *copy;
}

inline void SessionTable::split(std::size_t at) {
    std::uint32_t depth = directory_[at]->depth;
    if (depth == depth_) {
        std::vector<std::shared_ptr<Page>> twice(directory_.size() * 2);
        for (std::size_t i = 0; i < twice.size(); ++i) twice[i] = directory_[i / 2];
        directory_ = std::move(twice);
        ++depth_;
        at *= 2;
    }
    std::size_t span = std::size_t(1) << (depth_ - depth), first = at / span * span;
    std::shared_ptr<Page> old = directory_[first];
    std::shared_ptr<Page> halves[2] = {std::make_shared<Page>(), std::make_shared<Page>()};
    for (auto& half : halves) half->depth = depth + 1, half->seed = seed_;
    for (std::size_t i = 0; i < SessionPage::kSlots; ++i) {
        if (!old->full(i)) continue;
        const Entry& e = old->slots[i];
        std::uint64_t hash = mix(e.key);
        halves[hash >> (63 - depth) & 1]->insert(e.key, hash) = e;
    }
    for (std::size_t i = 0; i < span; ++i) directory_[first + i] = halves[i >= span / 2];
}

inline SessionTable::Snapshot SessionTable::snapshot() const {
    Snapshot s;
    s.directory_.assign(directory_.begin(), directory_.end());
    return s;
}

}  // namespace indigovane::store
