// Carries out a store's write requests with a writer: groups them, compacts, gives up on a failing disk and
// comes back. Pure but for the environment: times are handed in, in milliseconds of a steady clock. Used by
// one thread at a time; thread.hpp has the one that runs it.
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
        // The log may have this multiple of the bytes that are current, and two segments.
        double max_amplification = 2;
        std::uint64_t compact_bytes_per_second = 8 << 20;  // read at most
        std::uint64_t retry_ms = 200;                      // until a failing disk is tried again; doubles
        std::uint64_t max_retry_ms = 5000;
        std::uint64_t max_log_bytes = 1u << 30;  // beyond that writes fail
    };
    LogWorker(Environment& environment, Options options)
        : options_(options), writer_(environment, options.writer) {}

    // Once, before anything else. After an error the store can't be used.
    IoStatus begin(const RecoveryResult& recovered, std::uint64_t new_store_number);
    // Writes all batches that have gathered as one group; appends what the owner has to know.
    // `live_bytes`: of current records, for compaction.
    void process(std::vector<WriteRequest>&& requests, std::uint64_t live_bytes, std::uint64_t now_ms,
                 std::vector<StoreEvent>& events);
    // What is due without a request: compaction, another try. Returns when to call again at the latest, in
    // milliseconds from now.
    std::uint64_t tick(std::uint64_t live_bytes, std::uint64_t now_ms, std::vector<StoreEvent>& events);
    const Writer& writer() const { return writer_; }
    bool closed() const { return closed_; }  // the last request has been carried out

  private:
    // Batches that are to be written together.
    struct Group {
        std::vector<Batch> batches;
        std::uint64_t ticket = 0;  // of the last batch
        std::uint64_t bytes = 0;   // since the last flush
        // Sum of `bytes` after each batch of the call, so the first ones count several times: what urgent
        // compaction reads by.
        std::uint64_t total_bytes = 0;
    };
    bool accepts(const WriteRequest& request) const;
    void add(Group& group, WriteBatch&& request, std::uint64_t now_ms, std::vector<StoreEvent>& events);
    void flush(Group& group, std::uint64_t now_ms, std::vector<StoreEvent>& events);
    void drop_oldest_segment(std::uint64_t now_ms, std::vector<StoreEvent>& events);
    void begin_generation(std::uint64_t first_sequence, std::uint64_t now_ms,
                          std::vector<StoreEvent>& events);
    void end_generation(std::uint64_t ticket, std::uint64_t now_ms, std::vector<StoreEvent>& events);
    void give_up(const IoStatus& status, std::uint64_t now_ms, std::vector<StoreEvent>& events);
    void compact(std::uint64_t live_bytes, std::uint64_t now_ms, std::uint64_t written_bytes,
                 std::vector<StoreEvent>& events);

    Options options_;
    Writer writer_;
    bool failing_ = false;
    bool retry_reported_ = false;      // the owner is to begin a generation
    bool last_chunk_pending_ = false;  // of the oldest segment, with the owner
    bool closed_ = false;
    std::uint64_t retry_at_ms_ = 0;
    std::uint64_t retry_after_ms_ = 0;
    std::uint64_t compact_at_ms_ = 0;
};

}  // namespace indigovane::store
