// The store as its owner sees it: an index in memory, which is served from at once, and write requests for
// the log, which a LogWorker carries out. No thread, no file, no clock here: whoever runs the two hands
// requests and events over (thread.hpp). Used by the owner's thread alone. docs/store.md has the picture.
//
// Times are milliseconds of the Unix clock. Each change gives a ticket; durable() tells when it is on disk.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/messages.hpp"
#include "store/ordered_map.hpp"
#include "store/recovery.hpp"
#include "store/session_table.hpp"
#include "store/timing_wheel.hpp"

namespace indigovane::store {

enum class Durability : std::uint8_t {
    relaxed,  // with the next group
    strict,   // at once: somebody waits for it
};

class Store {
  public:
    using Position = SessionTable::Entry;
    // `seed`: random, of the table of sessions, whose keys clients choose.
    explicit Store(std::uint64_t seed = 0) : sessions_(seed) {}

    // What is recovered is fed first, in order, through load(); then begin().
    void load(Record&& record, std::uint64_t sequence);
    void load(const std::vector<RecordView>& records, std::uint64_t first_sequence);
    void begin(const RecoveryResult& recovered, std::uint64_t now_ms);

    // Changes. `expires_ms`: 0: never. They throw std::length_error, with nothing changed, for a key, a value
    // or a batch that is longer than the format allows (kMaxKeyBytes, kMaxValueBytes, kMaxPayloadBytes).
    std::uint64_t put(Space space, std::string_view key, std::string_view value,
                      Durability durability = Durability::relaxed, std::uint64_t expires_ms = 0);
    std::uint64_t remove(Space space, std::string_view key, Durability durability = Durability::relaxed);
    // On the request path: allocates nothing but the write request.
    std::uint64_t put_position(std::uint64_t session, std::uint64_t value, std::uint64_t expires_ms);
    // Several at once: all or none of them after a crash.
    std::uint64_t write(std::vector<Record> records, Durability durability);

    std::optional<std::string> get(Space space, std::string_view key) const;
    std::optional<std::uint64_t> position(std::uint64_t session) const;
    // Calls visit(key, value) in order of keys; positions in no order.
    template <typename Visitor>
    void each(Space space, Visitor&& visit) const {
        if (space == Space::positions)
            sessions_.each([&](const Position& position) {
                visit(position_key(position.key), encode_u64(position.value));
            });
        else
            spaces_[std::size_t(space)].each([&](std::string_view key, const OrderedMap::Value& value) {
                visit(std::string(key), value.bytes);
            });
    }
    const SessionTable& sessions() const { return sessions_; }

    // Forgets what has expired. Nothing is written for it: a start forgets it as well.
    void expire(std::uint64_t now_ms);

    // The log's side.
    std::vector<WriteRequest> take_write_requests();  // those since the last call
    bool has_write_requests() const { return !write_requests_.empty(); }
    void handle(StoreEvent&& event);
    // Writes all there is, in place of what is on disk: of a store that was salvaged, right after begin().
    void rewrite();
    void close();  // the last request: all before it is on disk when it has been carried out

    std::uint64_t durable() const { return durable_; }  // the last ticket that is on disk, and all before it
    std::uint64_t ticket() const { return ticket_; }    // the last one given
    bool failing() const { return failing_; }           // nothing is written; served from memory
    std::uint64_t live_bytes() const { return live_bytes_; }  // of current records, as in the log
    std::uint64_t log_bytes() const { return log_bytes_; }    // as of the last event
    std::size_t size() const;                                 // current records

  private:
    std::uint64_t enqueue(std::vector<Record> records, Durability durability);
    template <typename RecordType>
    void apply(const RecordType& record, std::uint64_t sequence);
    template <typename RecordType>
    void apply_position(const RecordType& record, std::uint64_t sequence);
    void prefetch(const RecordView* begin, const RecordView* end) const;
    bool is_current(const Record& record, std::uint64_t sequence) const;
    void copy_current(CompactionChunk&& chunk);
    void schedule_expiry(Position& position);
    void expire_positions(std::uint64_t now_s);
    void expire_space(OrderedMap& space, std::uint64_t now_ms);

    SessionTable sessions_;
    std::array<OrderedMap, kSpaceCount> spaces_;  // that of positions stays empty
    TimingWheel expiry_;                          // of positions, in seconds
    std::vector<WriteRequest> write_requests_;
    std::uint64_t sequence_ = 1;  // of the next record
    std::uint64_t ticket_ = 0;
    std::uint64_t durable_ = 0;
    std::uint64_t live_bytes_ = 0;
    std::uint64_t log_bytes_ = 0;
    bool failing_ = false;
};

}  // namespace indigovane::store
