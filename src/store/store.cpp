#include "store/store.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace indigovane::store {

void Store::schedule(Position& p) {
    if (p.timed || p.expires_s == 0) return;
    p.timed = 1;
    wheel_.add(p.key, p.expires_s);
}

template <typename R>
void Store::apply(const R& r, std::uint64_t sequence) {
    if (r.space == Space::positions) {
        auto session = read_position_key(r.key);
        if (!session) return;
        if (r.type == Record::Type::remove) {
            if (sessions_.erase(*session)) live_bytes_ -= cost(8, 8);
            return;
        }
        auto value = decode_u64(r.value);
        if (!value) return;
        std::size_t before = sessions_.size();
        Position& p = sessions_.put(*session);
        if (sessions_.size() != before) live_bytes_ += cost(8, 8);
        p.value = *value;
        p.sequence = std::uint32_t(sequence);
        p.expires_s = std::uint32_t(std::min<std::uint64_t>((r.expires_ms + 999) / 1000, 0x7fffffff));
        schedule(p);
        return;
    }
    OrderedMap& map = spaces_[std::size_t(r.space)];
    if (const auto* old = map.find(r.key)) live_bytes_ -= cost(r.key.size(), old->bytes.size());
    if (r.type == Record::Type::remove) {
        map.erase(r.key);
        return;
    }
    live_bytes_ += cost(r.key.size(), r.value.size());
    map.put(r.key, {std::string(r.value), sequence, r.expires_ms});
}

void Store::load(Record&& record, std::uint64_t sequence) {
    apply(record, sequence);
    sequence_ = std::max(sequence_, sequence + 1);
}

// Pages of many sessions are far apart: they are asked for before they are needed.
void Store::load(const std::vector<RecordView>& records, std::uint64_t first) {
    constexpr std::size_t kGroup = 32;
    std::uint64_t keys[kGroup];
    for (std::size_t i = 0; i < records.size(); i += kGroup) {
        std::size_t count = std::min(kGroup, records.size() - i), sessions = 0;
        for (std::size_t k = i; k < i + count; ++k)
            if (records[k].space == Space::positions)
                if (auto session = read_position_key(records[k].key)) keys[sessions++] = *session;
        for (std::size_t k = 0; k < sessions; ++k) sessions_.near(keys[k]);
        for (std::size_t k = 0; k < sessions; ++k) sessions_.nearer(keys[k]);
        for (std::size_t k = i; k < i + count; ++k) apply(records[k], first + k);
    }
    sequence_ = std::max(sequence_, first + records.size());
}

void Store::begin(const Recovered& recovered, std::uint64_t now_ms) {
    sequence_ = std::max(sequence_, recovered.next_sequence);
    log_bytes_ = recovered.bytes;
    expire(now_ms);
}

std::uint64_t Store::order(std::vector<Record> records, bool strict) {
    WriteRequest o;
    o.ticket = ++ticket_;
    o.strict = strict;
    o.batch.sequence = sequence_;
    for (const Record& r : records) apply(r, sequence_++);
    o.batch.records = std::move(records);
    // While nothing can be written, the index alone knows: the next generation holds all of it.
    if (!failing_) orders_.push_back(std::move(o));
    return ticket_;
}

std::uint64_t Store::put(Space space, std::string_view key, std::string_view value, Durability durability,
                         std::uint64_t expires_ms) {
    std::vector<Record> one(1);
    one[0] = {Record::Type::put, space, std::string(key), std::string(value), expires_ms};
    return write(std::move(one), durability);
}

std::uint64_t Store::remove(Space space, std::string_view key, Durability durability) {
    std::vector<Record> one(1);
    one[0] = {Record::Type::remove, space, std::string(key), "", 0};
    return write(std::move(one), durability);
}

std::uint64_t Store::put_position(std::uint64_t session, std::uint64_t value, std::uint64_t expires_ms) {
    std::vector<Record> one(1);
    one[0] = {Record::Type::put, Space::positions, position_key(session), encode_u64(value), expires_ms};
    return order(std::move(one), false);
}

// What the format has no room for is a mistake of the caller's: it is kept in memory and in no log, loudly.
std::uint64_t Store::write(std::vector<Record> records, Durability durability) {
    std::size_t bytes = 0;
    for (const Record& r : records) {
        if (r.key.size() > kKeyMost || r.value.size() > kValueMost)
            throw std::length_error("a record is too long");
        bytes += cost(r.key.size(), r.value.size());
    }
    if (bytes > kPayloadMost) throw std::length_error("a batch is too long");
    return order(std::move(records), durability == Durability::strict);
}

std::optional<std::string> Store::get(Space space, std::string_view key) const {
    if (space == Space::positions) {
        auto session = read_position_key(key);
        auto value = session ? position(*session) : std::nullopt;
        return value ? std::optional(encode_u64(*value)) : std::nullopt;
    }
    const auto* v = spaces_[std::size_t(space)].find(key);
    return v ? std::optional(v->bytes) : std::nullopt;
}

std::optional<std::uint64_t> Store::position(std::uint64_t session) const {
    const Position* p = sessions_.find(session);
    return p ? std::optional(p->value) : std::nullopt;
}

std::size_t Store::size() const {
    std::size_t sum = sessions_.size();
    for (const auto& map : spaces_) sum += map.size();
    return sum;
}

void Store::expire(std::uint64_t now_ms) {
    std::uint64_t now_s = now_ms / 1000;
    wheel_.due(now_s, [&](std::uint64_t key, std::uint64_t) {
        const Position* found = sessions_.find(key);
        if (!found) return;
        if (found->expires_s != 0 && found->expires_s <= now_s) {
            sessions_.erase(key);
            live_bytes_ -= cost(8, 8);
            return;
        }
        Position& p = sessions_.put(key);  // it was written again since: it has a later time
        p.timed = 0;
        schedule(p);
    });
    if (now_s % 64 == 0) sessions_.shrink();
    for (auto& map : spaces_) {
        std::vector<std::string> over;
        if (map.size() > 0 && now_s % 16 == 0)
            map.each([&](std::string_view key, const OrderedMap::Value& v) {
                if (v.expires_ms != 0 && v.expires_ms <= now_ms) over.emplace_back(key);
            });
        for (const std::string& key : over) {
            live_bytes_ -= cost(key.size(), map.find(key)->bytes.size());
            map.erase(key);
        }
    }
}

bool Store::stands(const Record& r, std::uint64_t sequence) const {
    if (r.type != Record::Type::put) return false;
    if (r.space == Space::positions) {
        auto session = read_position_key(r.key);
        const Position* p = session ? sessions_.find(*session) : nullptr;
        // Of the sequence 32 bits are kept: with the same value, writing it once more does no harm.
        return p && p->sequence == std::uint32_t(sequence) && encode_u64(p->value) == r.value;
    }
    const auto* v = spaces_[std::size_t(r.space)].find(r.key);
    return v && v->sequence == sequence;
}

void Store::events(StoreEvent&& n) {
    if (n.bytes > 0) log_bytes_ = n.bytes;
    switch (n.kind) {
        case StoreEvent::Kind::durable:
            written_ = std::max(written_, n.ticket);
            durable_ = std::max(durable_, n.ticket);
            if (durable_heard_) durable_heard_(durable_);
            return;
        case StoreEvent::Kind::failing:
            failing_ = true;
            orders_.clear();
            return;
        case StoreEvent::Kind::able:
            if (failing_) begin_generation();
            return;
        case StoreEvent::Kind::chunk: {
            if (failing_) return;
            std::vector<Record> again;
            for (auto& [record, sequence] : n.chunk.records)
                if (stands(record, sequence)) again.push_back(std::move(record));
            if (!again.empty()) order(std::move(again), false);
            if (n.chunk.last) {
                WriteRequest o;
                o.kind = WriteRequest::Kind::compacted;
                o.ticket = ++ticket_;
                orders_.push_back(std::move(o));
            }
            return;
        }
        case StoreEvent::Kind::trouble:
            return;
    }
}

// All that there is, from snapshots: what is put meanwhile comes behind it and counts more.
void Store::begin_generation() {
    failing_ = false;
    WriteRequest first;
    first.kind = WriteRequest::Kind::generation;
    first.batch.sequence = sequence_;
    first.ticket = ++ticket_;
    orders_.push_back(std::move(first));
    std::vector<Record> some;
    auto add = [&](Record r) {
        some.push_back(std::move(r));
        if (some.size() < 512) return;
        order(std::move(some), false);
        some.clear();
    };
    auto sessions = sessions_.snapshot();
    sessions.each([&](const Position& p) {
        add({Record::Type::put, Space::positions, position_key(p.key), encode_u64(p.value),
             std::uint64_t(p.expires_s) * 1000});
    });
    for (std::size_t i = 0; i < kSpaces; ++i)
        spaces_[i].snapshot().each([&](std::string_view key, const OrderedMap::Value& v) {
            // A long value takes a batch of its own.
            if (v.bytes.size() > 65536) {
                order({{Record::Type::put, Space(i), std::string(key), v.bytes, v.expires_ms}}, false);
                return;
            }
            add({Record::Type::put, Space(i), std::string(key), v.bytes, v.expires_ms});
        });
    if (!some.empty()) order(std::move(some), false);
    WriteRequest last;
    last.kind = WriteRequest::Kind::complete;
    last.ticket = ++ticket_;
    orders_.push_back(std::move(last));
}

std::vector<WriteRequest> Store::orders() {
    return std::exchange(orders_, {});
}

void Store::close() {
    WriteRequest o;
    o.kind = WriteRequest::Kind::close;
    o.ticket = ++ticket_;
    orders_.push_back(std::move(o));
}

}  // namespace indigovane::store
