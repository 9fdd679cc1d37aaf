#include "statement/shape_cache.hpp"

#include <cstring>
#include <new>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace indigovane::statement {

namespace {

// Approximate heap memory of a string, in bytes. Up to 15 characters are stored in the string object itself.
std::size_t heap_bytes(const std::string& text) {
    return text.capacity() > 15 ? text.capacity() + 17 : 0;
}

constexpr std::size_t kSlotBytes = sizeof(void*);  // one slot of the hash table

}  // namespace

ShapeCache::ShapeCache(std::size_t bytes, std::uint64_t seed)
    : max_bytes_(std::max<std::size_t>(bytes, 64 * 1024)),
      max_window_bytes_(max_bytes_ / 100),
      max_retained_bytes_(max_bytes_ / 100 * 79),  // 80% of the main part
      seed_(seed),
      sketch_(max_bytes_ / 1024),
      table_(256, nullptr),
      bytes_(sketch_.bytes() + table_.size() * kSlotBytes) {}

ShapeCache::~ShapeCache() {
    clear();
}

void ShapeCache::clear() {
    for (Queue& part : queues_)
        while (part.oldest) erase(part.oldest);
}

void ShapeCache::link(Entry* entry, Part part) {
    Queue& list = queue(part);
    entry->part = part;
    entry->older = list.newest;
    entry->newer = nullptr;
    (list.newest ? list.newest->newer : list.oldest) = entry;
    list.newest = entry;
    list.bytes += entry->bytes;
}

void ShapeCache::unlink(Entry* entry) {
    Queue& list = queue(entry->part);
    (entry->newer ? entry->newer->older : list.newest) = entry->older;
    (entry->older ? entry->older->newer : list.oldest) = entry->newer;
    list.bytes -= entry->bytes;
}

void ShapeCache::erase(Entry* entry) {
    unlink(entry);
    Entry** chain_link = &slot(entry->hash);
    while (*chain_link != entry) chain_link = &(*chain_link)->next_in_slot;
    *chain_link = entry->next_in_slot;
    bytes_ -= entry->bytes;
    --size_;
    entry->~Entry();
    ::operator delete(entry);
}

// Called when an entry is looked up again. Moves it to the newest end: of the window if it is there, else of
// the retained part. Entries beyond the limit of the retained part go back to probation.
void ShapeCache::promote(Entry* entry) {
    Part part = entry->part == Part::window ? Part::window : Part::retained;
    unlink(entry);
    link(entry, part);
    while (queue(Part::retained).bytes > max_retained_bytes_) {
        Entry* oldest = queue(Part::retained).oldest;
        unlink(oldest);
        link(oldest, Part::probation);
    }
}

const StatementProfile* ShapeCache::find(std::string_view text) {
    std::uint64_t hash = XXH3_64bits_withSeed(text.data(), text.size(), seed_);
    sketch_.add(hash);
    for (Entry* entry = slot(hash); entry; entry = entry->next_in_slot)
        if (entry->hash == hash && entry->text() == text) {
            ++counts_.hits;
            promote(entry);
            return &entry->profile;
        }
    ++counts_.misses;
    return nullptr;
}

void ShapeCache::grow_table() {
    std::vector<Entry*> old_table(table_.size() * 2, nullptr);
    old_table.swap(table_);
    bytes_ += old_table.size() * kSlotBytes;
    for (Entry* entry : old_table)
        while (entry) {
            Entry* next = entry->next_in_slot;
            entry->next_in_slot = slot(entry->hash);
            slot(entry->hash) = entry;
            entry = next;
        }
}

const StatementProfile* ShapeCache::put(std::string_view text, StatementProfile profile) {
    std::size_t bytes = sizeof(Entry) + text.size() + 16 + heap_bytes(profile.reason) +
                        profile.tables.capacity() * sizeof(std::string);
    for (const std::string& table : profile.tables) bytes += heap_bytes(table);
    if (bytes > max_window_bytes_) {
        uncached_profile_ = std::move(profile);
        return &uncached_profile_;
    }
    if (size_ >= table_.size()) grow_table();
    void* memory = ::operator new(sizeof(Entry) + text.size());
    auto* entry = new (memory) Entry;
    std::memcpy(reinterpret_cast<char*>(entry + 1), text.data(), text.size());
    entry->profile = std::move(profile);
    entry->hash = XXH3_64bits_withSeed(text.data(), text.size(), seed_);
    entry->length = std::uint32_t(text.size());
    entry->bytes = std::uint32_t(bytes);
    entry->next_in_slot = slot(entry->hash);
    slot(entry->hash) = entry;
    bytes_ += bytes;
    ++size_;
    link(entry, Part::window);
    enforce_limits();  // the new entry stays in the window, since it fits in it
    return &entry->profile;
}

// Moves the oldest entries out of the window if it is too large. Each of them is either erased or admitted to
// the main part, which may evict an entry that was looked up less often.
void ShapeCache::enforce_limits() {
    while (queue(Part::window).bytes > max_window_bytes_) {
        Entry* candidate = queue(Part::window).oldest;
        unlink(candidate);
        link(candidate, Part::probation);
        ++counts_.admitted;
        while (bytes_ > max_bytes_) {
            Entry* victim = queue(Part::probation).oldest;
            if (victim == candidate) victim = candidate->newer;
            if (!victim) victim = queue(Part::retained).oldest;
            if (!victim) break;
            if (sketch_.estimate(candidate->hash) > sketch_.estimate(victim->hash)) {
                ++counts_.evicted;
                erase(victim);
                continue;
            }
            --counts_.admitted;
            ++counts_.rejected;
            erase(candidate);
            break;
        }
    }
}

}  // namespace indigovane::statement
