#include "statement/shape_cache.hpp"

#include <cstring>
#include <new>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace indigovane::statement {

namespace {

std::size_t heap_of(const std::string& s) {
    return s.capacity() > 15 ? s.capacity() + 17 : 0;
}

constexpr std::size_t kSlotBytes = sizeof(void*);  // of the hash table

}  // namespace

ShapeCache::ShapeCache(std::size_t bytes, std::uint64_t seed)
    : most_(std::max<std::size_t>(bytes, 64 * 1024)),
      window_most_(most_ / 100),
      protected_most_(most_ / 100 * 79),
      seed_(seed),
      sketch_(most_ / 1024),
      table_(256, nullptr),
      bytes_(sketch_.bytes() + table_.size() * kSlotBytes) {}

ShapeCache::~ShapeCache() {
    clear();
}

void ShapeCache::clear() {
    for (Queue& q : queues_)
        while (q.oldest) erase(q.oldest);
}

void ShapeCache::link(Entry* e, Part part) {
    Queue& q = queue(part);
    e->part = part;
    e->older = q.newest;
    e->newer = nullptr;
    (q.newest ? q.newest->newer : q.oldest) = e;
    q.newest = e;
    q.bytes += e->bytes;
}

void ShapeCache::unlink(Entry* e) {
    Queue& q = queue(e->part);
    (e->newer ? e->newer->older : q.newest) = e->older;
    (e->older ? e->older->newer : q.oldest) = e->newer;
    q.bytes -= e->bytes;
}

void ShapeCache::erase(Entry* e) {
    unlink(e);
    Entry** at = &slot(e->hash);
    while (*at != e) at = &(*at)->chain;
    *at = e->chain;
    bytes_ -= e->bytes;
    --size_;
    e->~Entry();
    ::operator delete(e);
}

// Asked for again: out of probation, into the protected part, whose oldest goes back.
void ShapeCache::touch(Entry* e) {
    Part part = e->part == Part::window ? Part::window : Part::retained;
    unlink(e);
    link(e, part);
    while (queue(Part::retained).bytes > protected_most_) {
        Entry* oldest = queue(Part::retained).oldest;
        unlink(oldest);
        link(oldest, Part::probation);
    }
}

const StatementProfile* ShapeCache::find(std::string_view text) {
    std::uint64_t hash = XXH3_64bits_withSeed(text.data(), text.size(), seed_);
    sketch_.add(hash);
    for (Entry* e = slot(hash); e; e = e->chain)
        if (e->hash == hash && e->text() == text) {
            ++counts_.hits;
            touch(e);
            return &e->profile;
        }
    ++counts_.misses;
    return nullptr;
}

void ShapeCache::grow_table() {
    std::vector<Entry*> old(table_.size() * 2, nullptr);
    old.swap(table_);
    bytes_ += old.size() * kSlotBytes;
    for (Entry* e : old)
        while (e) {
            Entry* next = e->chain;
            e->chain = slot(e->hash);
            slot(e->hash) = e;
            e = next;
        }
}

const StatementProfile* ShapeCache::put(std::string_view text, StatementProfile profile) {
    std::size_t bytes = sizeof(Entry) + text.size() + 16 + heap_of(profile.reason) +
                        profile.tables.capacity() * sizeof(std::string);
    for (const std::string& t : profile.tables) bytes += heap_of(t);
    if (bytes > window_most_) {
        unkept_ = std::move(profile);
        return &unkept_;
    }
    if (size_ >= table_.size()) grow_table();
    void* memory = ::operator new(sizeof(Entry) + text.size());
    auto* e = new (memory) Entry;
    std::memcpy(reinterpret_cast<char*>(e + 1), text.data(), text.size());
    e->profile = std::move(profile);
    e->hash = XXH3_64bits_withSeed(text.data(), text.size(), seed_);
    e->length = std::uint32_t(text.size());
    e->bytes = std::uint32_t(bytes);
    e->chain = slot(e->hash);
    slot(e->hash) = e;
    bytes_ += bytes;
    ++size_;
    link(e, Part::window);
    shrink();  // the newest of the window stays: no entry is larger than that
    return &e->profile;
}

void ShapeCache::shrink() {
    while (queue(Part::window).bytes > window_most_) {
        Entry* candidate = queue(Part::window).oldest;
        unlink(candidate);
        link(candidate, Part::probation);
        ++counts_.admitted;
        while (bytes_ > most_) {
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
