#include "store/store.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace indigovane::store {

namespace {
constexpr std::uint64_t kMillisecondsPerSecond = 1000;
constexpr std::uint64_t kPositionBytes = record_bytes(8, 8);
constexpr std::size_t kPrefetchedRecords = 32;
constexpr std::uint64_t kMaxExpiryS = 0x7fffffff;  // largest value of SessionEntry::expires_s
// Intervals of the parts of expire() whose cost does not depend on the number of expired records.
constexpr std::uint64_t kShrinkIntervalS = 64;
constexpr std::uint64_t kSpaceExpiryIntervalS = 16;
// A generation is written in batches of this many records; a value longer than this gets a batch of its own.
constexpr std::size_t kGenerationBatchRecords = 512;
constexpr std::size_t kLongValueBytes = 65536;
}  // namespace

// ---- the index -----------------------------------------------------------------------------------

void Store::schedule_expiry(Position& position) {
    if (position.is_scheduled || position.expires_s == 0) return;
    position.is_scheduled = 1;
    expiry_.add(position.key, position.expires_s);
}

template <typename RecordType>
void Store::apply_position(const RecordType& record, std::uint64_t sequence) {
    auto session = parse_position_key(record.key);
    if (!session) return;
    if (record.type == Record::Type::remove) {
        if (sessions_.erase(*session)) live_bytes_ -= kPositionBytes;
        return;
    }
    auto value = decode_u64(record.value);
    if (!value) return;
    std::size_t size_before = sessions_.size();
    Position& position = sessions_.put(*session);
    if (sessions_.size() != size_before) live_bytes_ += kPositionBytes;
    position.value = *value;
    position.sequence = std::uint32_t(sequence);
    std::uint64_t expires_s = (record.expires_ms + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond;
    position.expires_s = std::uint32_t(std::min(expires_s, kMaxExpiryS));
    schedule_expiry(position);
}

template <typename RecordType>
void Store::apply(const RecordType& record, std::uint64_t sequence) {
    if (record.space == Space::positions) return apply_position(record, sequence);
    OrderedMap& space = spaces_[std::size_t(record.space)];
    if (const auto* replaced = space.find(record.key))
        live_bytes_ -= record_bytes(record.key.size(), replaced->bytes.size());
    if (record.type == Record::Type::remove) {
        space.erase(record.key);
        return;
    }
    live_bytes_ += record_bytes(record.key.size(), record.value.size());
    space.put(record.key, {std::string(record.value), sequence, record.expires_ms});
}

bool Store::is_current(const Record& record, std::uint64_t sequence) const {
    if (record.type != Record::Type::put) return false;
    if (record.space == Space::positions) {
        auto session = parse_position_key(record.key);
        const Position* position = session ? sessions_.find(*session) : nullptr;
        // Only 32 bits of the sequence number are retained, so an older record may match by chance. It counts
        // only if it also has the same value; writing that once more does no harm.
        return position && position->sequence == std::uint32_t(sequence) &&
               encode_u64(position->value) == record.value;
    }
    const auto* value = spaces_[std::size_t(record.space)].find(record.key);
    return value && value->sequence == sequence;
}

std::optional<std::string> Store::get(Space space, std::string_view key) const {
    if (space == Space::positions) {
        auto session = parse_position_key(key);
        auto value = session ? position(*session) : std::nullopt;
        return value ? std::optional(encode_u64(*value)) : std::nullopt;
    }
    const auto* value = spaces_[std::size_t(space)].find(key);
    return value ? std::optional(value->bytes) : std::nullopt;
}

std::optional<std::uint64_t> Store::position(std::uint64_t session) const {
    const Position* position = sessions_.find(session);
    return position ? std::optional(position->value) : std::nullopt;
}

std::size_t Store::size() const {
    std::size_t total = sessions_.size();
    for (const OrderedMap& space : spaces_) total += space.size();
    return total;
}

// ---- expiry --------------------------------------------------------------------------------------

void Store::expire(std::uint64_t now_ms) {
    std::uint64_t now_s = now_ms / kMillisecondsPerSecond;
    expire_positions(now_s);
    if (now_s % kShrinkIntervalS == 0) sessions_.shrink();
    if (now_s % kSpaceExpiryIntervalS != 0) return;
    for (OrderedMap& space : spaces_) expire_space(space, now_ms);
}

void Store::expire_positions(std::uint64_t now_s) {
    expiry_.advance(now_s, [&](std::uint64_t key, std::uint64_t) {
        const Position* found = sessions_.find(key);
        if (!found) return;
        if (found->expires_s != 0 && found->expires_s <= now_s) {
            sessions_.erase(key);
            live_bytes_ -= kPositionBytes;
            return;
        }
        Position& position = sessions_.put(key);  // written again since then, so it expires later
        position.is_scheduled = 0;
        schedule_expiry(position);
    });
}

void Store::expire_space(OrderedMap& space, std::uint64_t now_ms) {
    std::vector<std::string> expired_keys;
    space.each([&](std::string_view key, const OrderedMap::Value& value) {
        if (value.expires_ms != 0 && value.expires_ms <= now_ms) expired_keys.emplace_back(key);
    });
    for (const std::string& key : expired_keys) {
        live_bytes_ -= record_bytes(key.size(), space.find(key)->bytes.size());
        space.erase(key);
    }
}

// ---- recovery ------------------------------------------------------------------------------------

void Store::load(Record&& record, std::uint64_t sequence) {
    apply(record, sequence);
    next_sequence_ = std::max(next_sequence_, sequence + 1);
}

void Store::load(const std::vector<RecordView>& records, std::uint64_t first_sequence) {
    for (std::size_t i = 0; i < records.size(); i += kPrefetchedRecords) {
        std::size_t end = std::min(i + kPrefetchedRecords, records.size());
        prefetch(records.data() + i, records.data() + end);
        for (std::size_t k = i; k < end; ++k) apply(records[k], first_sequence + k);
    }
    next_sequence_ = std::max(next_sequence_, first_sequence + records.size());
}

// Prefetches the pages of positions, because they are spread over the memory. Takes at most
// kPrefetchedRecords records.
void Store::prefetch(const RecordView* begin, const RecordView* end) const {
    std::array<std::uint64_t, kPrefetchedRecords> keys{};
    std::size_t count = 0;
    for (const RecordView* record = begin; record != end; ++record) {
        if (record->space != Space::positions) continue;
        auto session = parse_position_key(record->key);
        if (session) keys[count++] = *session;
    }
    for (std::size_t i = 0; i < count; ++i) sessions_.prefetch_directory(keys[i]);
    for (std::size_t i = 0; i < count; ++i) sessions_.prefetch_page(keys[i]);
}

void Store::begin(const RecoveryResult& recovered, std::uint64_t now_ms) {
    next_sequence_ = std::max(next_sequence_, recovered.next_sequence);
    log_bytes_ = recovered.bytes;
    expire(now_ms);
}

// ---- changes -------------------------------------------------------------------------------------

std::uint64_t Store::enqueue(std::vector<Record> records, Durability durability) {
    WriteBatch request;
    request.ticket = ++ticket_;
    request.is_strict = durability == Durability::strict;
    request.batch.sequence = next_sequence_;
    for (const Record& record : records) apply(record, next_sequence_++);
    request.batch.records = std::move(records);
    // While nothing can be written, the change is only in the index; the next generation will contain it.
    if (!failing_) write_requests_.emplace_back(std::move(request));
    return ticket_;
}

std::uint64_t Store::put(Space space, std::string_view key, std::string_view value, Durability durability,
                         std::uint64_t expires_ms) {
    std::vector<Record> records(1);
    records[0] = {Record::Type::put, space, std::string(key), std::string(value), expires_ms};
    return write(std::move(records), durability);
}

std::uint64_t Store::remove(Space space, std::string_view key, Durability durability) {
    std::vector<Record> records(1);
    records[0] = {Record::Type::remove, space, std::string(key), "", 0};
    return write(std::move(records), durability);
}

std::uint64_t Store::put_position(std::uint64_t session, std::uint64_t value, std::uint64_t expires_ms) {
    std::vector<Record> records(1);
    records[0] = {Record::Type::put, Space::positions, position_key(session), encode_u64(value), expires_ms};
    return enqueue(std::move(records), Durability::relaxed);
}

std::uint64_t Store::write(std::vector<Record> records, Durability durability) {
    std::size_t bytes = 0;
    for (const Record& record : records) {
        if (record.key.size() > kMaxKeyBytes || record.value.size() > kMaxValueBytes)
            throw std::length_error("the key or value of a record is too long");
        bytes += record_bytes(record.key.size(), record.value.size());
    }
    if (bytes > kMaxPayloadBytes) throw std::length_error("a batch of records is too long");
    return enqueue(std::move(records), durability);
}

// ---- the log -------------------------------------------------------------------------------------

std::vector<WriteRequest> Store::take_write_requests() {
    return std::exchange(write_requests_, {});
}

void Store::handle(StoreEvent&& event) {
    std::visit(Overloaded{
                   [&](const RecordsDurable& durable) {
                       if (durable.log_bytes > 0) log_bytes_ = durable.log_bytes;
                       durable_ = std::max(durable_, durable.ticket);
                   },
                   [&](const WritesFailing&) {
                       failing_ = true;
                       write_requests_.clear();
                   },
                   [&](const WritesRetryable&) {
                       if (failing_) rewrite();
                   },
                   [&](CompactionRead& read) {
                       if (!failing_) copy_current(std::move(read.chunk));
                   },
                   [](const LogFault&) {},
               },
               event);
}

void Store::copy_current(CompactionChunk&& chunk) {
    std::vector<Record> current;
    for (auto& [record, sequence] : chunk.records)
        if (is_current(record, sequence)) current.push_back(std::move(record));
    if (!current.empty()) enqueue(std::move(current), Durability::relaxed);
    if (!chunk.is_last) return;
    ++ticket_;
    write_requests_.emplace_back(OldestSegmentCopied{});
}

// Writes a generation from snapshots. Records that are put later follow it and replace its records.
void Store::rewrite() {
    failing_ = false;
    ++ticket_;
    write_requests_.emplace_back(GenerationBegin{next_sequence_});
    std::vector<Record> batch;
    auto flush = [&] {
        if (!batch.empty()) enqueue(std::exchange(batch, {}), Durability::relaxed);
    };
    auto add = [&](Record record) {
        batch.push_back(std::move(record));
        if (batch.size() >= kGenerationBatchRecords) flush();
    };
    auto sessions = sessions_.snapshot();
    sessions.each([&](const Position& position) {
        add({Record::Type::put, Space::positions, position_key(position.key), encode_u64(position.value),
             std::uint64_t(position.expires_s) * kMillisecondsPerSecond});
    });
    for (std::size_t i = 0; i < kSpaceCount; ++i)
        spaces_[i].snapshot().each([&](std::string_view key, const OrderedMap::Value& value) {
            Record record{Record::Type::put, Space(i), std::string(key), value.bytes, value.expires_ms};
            if (value.bytes.size() > kLongValueBytes)
                enqueue({std::move(record)}, Durability::relaxed);
            else
                add(std::move(record));
        });
    flush();
    ++ticket_;
    write_requests_.emplace_back(GenerationEnd{ticket_});
}

void Store::close() {
    ++ticket_;
    write_requests_.emplace_back(CloseLog{});
}

}  // namespace indigovane::store
