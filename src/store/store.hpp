// The store as its owner sees it: an index in memory, served from at once, and orders for the log that
// another carries out. No thread, no file, no clock here: a carrier takes orders() and gives news();
// docs/store.md has the picture.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/ordered_map.hpp"
#include "store/recovery.hpp"
#include "store/session_table.hpp"
#include "store/timing_wheel.hpp"
#include "store/writer.hpp"

namespace indigovane::store {

enum class Durability : std::uint8_t {
    relaxed,  // with the next group
    strict,   // the caller is told when it is on disk
};

struct WriteRequest {
    enum class Kind : std::uint8_t {
        batch,
        compacted,   // all that lived in the oldest segment stands before this
        generation,  // what follows, up to `complete`, is all there is: it takes the place of all before
        complete,
        close,
    } kind = Kind::batch;
    Batch batch;
    std::uint64_t ticket = 0;
    bool strict = false;
};

struct StoreEvent {
    enum class Kind : std::uint8_t {
        durable,  // every order up to this ticket is on disk
        failing,  // nothing is written any more; the owner goes on in memory
        able,     // the disk takes something again: the owner is to begin a new generation
        chunk,    // of the oldest segment, to be written anew where it still stands
        trouble,  // for the log; nothing has changed
    } kind = Kind::durable;
    std::uint64_t ticket = 0;
    Writer::Chunk chunk;
    std::uint64_t bytes = 0;  // of the log now
    std::string text;
};

class Store {
  public:
    using Position = SessionTable::Entry;
    // `seed`: random, of the table of sessions, whose keys clients choose.
    explicit Store(std::uint64_t seed = 0) : sessions_(seed) {}

    // What was recovered is fed first, through load(); then begin().
    void load(Record&& record, std::uint64_t sequence);
    void load(const std::vector<RecordView>& records, std::uint64_t first);
    void begin(const Recovered& recovered, std::uint64_t now_ms);

    std::uint64_t put(Space space, std::string_view key, std::string_view value,
                      Durability durability = Durability::relaxed, std::uint64_t expires_ms = 0);
    std::uint64_t remove(Space space, std::string_view key, Durability durability = Durability::relaxed);
    // A session's last commit, the hot one: nothing is allocated but the order.
    std::uint64_t put_position(std::uint64_t session, std::uint64_t value, std::uint64_t expires_ms);
    // Several at once: all or none of them after a crash.
    std::uint64_t write(std::vector<Record> records, Durability durability);

    std::optional<std::string> get(Space space, std::string_view key) const;
    std::optional<std::uint64_t> position(std::uint64_t session) const;
    template <typename F>
    void each(Space space, F&& f) const {  // key, value; in order, positions in none
        if (space == Space::positions)
            sessions_.each([&](const Position& p) { f(position_key(p.key), encode_u64(p.value)); });
        else
            spaces_[std::size_t(space)].each(
                [&](std::string_view key, const OrderedMap::Value& v) { f(std::string(key), v.bytes); });
    }
    const SessionTable& sessions() const { return sessions_; }
    OrderedMap::Snapshot snapshot(Space space) const { return spaces_[std::size_t(space)].snapshot(); }

    // Forgets what has expired. Nothing is written for it: a start forgets it as well.
    void expire(std::uint64_t now_ms);
    void events(StoreEvent&& events);
    std::vector<WriteRequest> orders();  // since the last call
    bool has_orders() const { return !orders_.empty(); }
    // All there is, in place of what is on disk: of a store that was salvaged, right after begin().
    void rewrite() { begin_generation(); }
    void close();  // the last order: all before it is on disk when it is done

    void on_durable(std::function<void(std::uint64_t ticket)> callback) {
        durable_heard_ = std::move(callback);
    }
    std::uint64_t written() const { return written_; }
    std::uint64_t durable() const { return durable_; }
    std::uint64_t ticket() const { return ticket_; }  // of the last order
    bool failing() const { return failing_; }
    std::uint64_t live_bytes() const { return live_bytes_; }
    std::uint64_t log_bytes() const { return log_bytes_; }
    std::size_t size() const;
    std::size_t memory() const { return sessions_.bytes() + wheel_.bytes(); }

  private:
    std::uint64_t order(std::vector<Record> records, bool strict);
    template <typename R>
    void apply(const R& record, std::uint64_t sequence);
    void begin_generation();
    bool stands(const Record& record, std::uint64_t sequence) const;
    void schedule(Position& p);

    SessionTable sessions_;
    std::array<OrderedMap, kSpaces> spaces_;  // positions' stays empty
    TimingWheel wheel_;
    std::vector<WriteRequest> orders_;
    std::uint64_t sequence_ = 1, ticket_ = 0, written_ = 0, durable_ = 0;
    std::uint64_t live_bytes_ = 0, log_bytes_ = 0;
    bool failing_ = false;
    std::function<void(std::uint64_t)> durable_heard_;
};

// The bytes that a record takes in the log, its frame aside.
inline std::uint64_t cost(std::size_t key, std::size_t value) {
    return 16 + key + value;
}

}  // namespace indigovane::store
