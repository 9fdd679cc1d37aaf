// LogWorker: executes a store's write requests with a Writer. It groups requests, compacts the log, stops
// writing when the disk fails and retries later. Apart from the environment it does no I/O and reads no
// clock: the caller passes times in milliseconds of a steady clock. Used by one thread at a time; StoreThread
// runs it on a thread.
#pragma once

#include <cstdint>
#include <vector>

#include "store/messages.hpp"
#include "store/writer.hpp"

namespace indigovane::store {

class LogWorker {
  public:
    struct Options {
        Writer::Options writer;
        // The log may grow to this multiple of the live bytes plus two segments before it is compacted.
        double max_amplification = 2;
        std::uint64_t compact_bytes_per_second = 8 << 20;  // limit of compaction's reads
        std::uint64_t retry_ms = 200;            // first delay before a retry after a disk failure; doubles
        std::uint64_t max_retry_ms = 5000;       // upper bound of that delay
        std::uint64_t max_log_bytes = 1u << 30;  // writes fail when the log is larger
    };
    LogWorker(Environment& environment, Options options)
        : options_(options), writer_(environment, options.writer) {}

    // Called once, before any other function. After an error the store can't be used.
    IoStatus begin(const RecoveryResult& recovered, std::uint64_t new_store_number);
    // Executes the requests, whose batches are written in groups, and appends the events for the owner.
    // `live_bytes`: size of the current records, which compaction depends on.
    void process(std::vector<WriteRequest>&& requests, std::uint64_t live_bytes, std::uint64_t now_ms,
                 std::vector<StoreEvent>& events);
    // Does what is due without a request: compaction, or a retry after a failure. Returns the time until the
    // next call is needed, in milliseconds.
    std::uint64_t tick(std::uint64_t live_bytes, std::uint64_t now_ms, std::vector<StoreEvent>& events);
    const Writer& writer() const { return writer_; }
    // True once CloseLog, the last request, has been executed.
    bool closed() const { return closed_; }

  private:
    // Batches that will be written and synced together.
    struct Group {
        std::vector<Batch> batches;
        std::uint64_t ticket = 0;  // ticket of the last batch
        std::uint64_t bytes = 0;   // size of the batches since the last flush
        // Sum of `bytes` after each batch of the call, so the first batches count several times. It
        // determines how much urgent compaction reads.
        std::uint64_t cumulative_bytes = 0;
    };
    bool accepts(const WriteRequest& request) const;
    void add(Group& group, WriteBatch&& request, std::uint64_t now_ms, std::vector<StoreEvent>& events);
    void flush(Group& group, std::uint64_t now_ms, std::vector<StoreEvent>& events);
    void drop_oldest_segment(std::uint64_t now_ms, std::vector<StoreEvent>& events);
    void begin_generation(std::uint64_t first_sequence, std::uint64_t now_ms,
                          std::vector<StoreEvent>& events);
    void end_generation(std::uint64_t ticket, std::uint64_t now_ms, std::vector<StoreEvent>& events);
    void stop_writing(const IoStatus& status, std::uint64_t now_ms, std::vector<StoreEvent>& events);
    void compact(std::uint64_t live_bytes, std::uint64_t now_ms, std::uint64_t written_bytes,
                 std::vector<StoreEvent>& events);

    Options options_;
    Writer writer_;
    bool failing_ = false;
    bool retry_reported_ = false;      // the owner has been told to begin a generation
    bool last_chunk_pending_ = false;  // the owner has the oldest segment's last chunk and must copy it
    bool closed_ = false;
    std::uint64_t retry_at_ms_ = 0;
    std::uint64_t retry_after_ms_ = 0;
    std::uint64_t compact_at_ms_ = 0;
};

}  // namespace indigovane::store
