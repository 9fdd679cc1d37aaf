// Store: the owner's side of the store. It serves reads from an index in memory and produces write requests
// for the log, which a LogWorker executes. It uses no thread, file or clock; StoreThread passes requests and
// events between the two. Used only by the owner's thread. docs/store.md gives an overview.
//
// Times are milliseconds of the Unix clock. Each change returns a ticket; the change is on disk once
// durable() has reached it.
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
    relaxed,  // written with the next group
    strict,   // written without delay, because a caller waits for it
};

class Store {
  public:
    using Position = SessionTable::Entry;
    // `seed`: random number for the hash of the session table, whose keys clients choose.
    explicit Store(std::uint64_t seed = 0) : sessions_(seed) {}

    // First load() is called for all recovered records in order, then begin().
    void load(Record&& record, std::uint64_t sequence);
    void load(const std::vector<RecordView>& records, std::uint64_t first_sequence);
    void begin(const RecoveryResult& recovered, std::uint64_t now_ms);

    // Changes. They return a ticket. `expires_ms` 0 means never. They throw std::length_error and change
    // nothing if a key, a value or a batch is longer than the format allows (kMaxKeyBytes, kMaxValueBytes,
    // kMaxPayloadBytes).
    std::uint64_t put(Space space, std::string_view key, std::string_view value,
                      Durability durability = Durability::relaxed, std::uint64_t expires_ms = 0);
    std::uint64_t remove(Space space, std::string_view key, Durability durability = Durability::relaxed);
    // Called for client requests: it allocates only the write request.
    std::uint64_t put_position(std::uint64_t session, std::uint64_t value, std::uint64_t expires_ms);
    // Writes several records atomically: after a crash all of them are in the store or none.
    std::uint64_t write(std::vector<Record> records, Durability durability);

    std::optional<std::string> get(Space space, std::string_view key) const;
    std::optional<std::uint64_t> position(std::uint64_t session) const;
    // Calls visit(key, value) in the order of keys; for positions in no particular order.
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

    // Removes expired records. Nothing is written, because a start removes them as well.
    void expire(std::uint64_t now_ms);

    // Exchange with the log. Returns the write requests since the last call.
    std::vector<WriteRequest> take_write_requests();
    bool has_write_requests() const { return !write_requests_.empty(); }
    void handle(StoreEvent&& event);
    // Writes all current records to replace the contents on disk. For a salvaged store, it must be called
    // right after begin().
    void rewrite();
    // Adds the last write request. Once it has been executed, all earlier changes are on disk.
    void close();

    // Highest ticket up to which all changes are on disk.
    std::uint64_t durable() const { return durable_; }
    // Last ticket returned.
    std::uint64_t ticket() const { return ticket_; }
    // True while nothing is written because of an error, and the store serves from memory.
    bool failing() const { return failing_; }
    // Size that the current records have in the log.
    std::uint64_t live_bytes() const { return live_bytes_; }
    // Size of the log according to the last event.
    std::uint64_t log_bytes() const { return log_bytes_; }
    // Number of current records.
    std::size_t size() const;

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
    std::array<OrderedMap, kSpaceCount> spaces_;  // the element of Space::positions stays empty
    TimingWheel expiry_;                          // expiry of positions, in seconds
    std::vector<WriteRequest> write_requests_;
    std::uint64_t next_sequence_ = 1;  // sequence number of the next record
    std::uint64_t ticket_ = 0;
    std::uint64_t durable_ = 0;
    std::uint64_t live_bytes_ = 0;
    std::uint64_t log_bytes_ = 0;
    bool failing_ = false;
};

}  // namespace indigovane::store
