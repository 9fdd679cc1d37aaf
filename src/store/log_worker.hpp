// Carries out a store's orders with a writer: groups them, compacts, gives up and comes back. Runs on
// whatever thread calls it; times are handed in. The thread itself is in thread.hpp.
#pragma once

#include <functional>
#include <vector>

#include "store/store.hpp"

namespace indigovane::store {

class LogWorker {
  public:
    struct Options {
        Writer::Options writer;
        double amplification = 2;  // the log may be so many times what lives in it, and two segments
        std::uint64_t compact_per_second = 8 << 20;          // bytes read at most
        std::uint64_t retry_ms = 200, retry_most_ms = 5000;  // a failing disk is tried again
        std::uint64_t budget = 1u << 30;  // bytes of the log: beyond that nothing new is written
    };
    LogWorker(Environment& environment, Options options)
        : environment_(environment), options_(options), writer_(environment, options.writer) {}

    IoStatus begin(const Recovered& recovered, std::uint64_t new_store_number);
    // All orders that have gathered, as one group; `live`: bytes that live, for compaction.
    void carry(std::vector<WriteRequest>&& orders, std::uint64_t live, std::uint64_t now_ms,
               std::vector<StoreEvent>& events);
    // What is due though nothing was ordered: compaction, another try. When to call again at latest, in ms.
    std::uint64_t tick(std::uint64_t live, std::uint64_t now_ms, std::vector<StoreEvent>& events);
    const Writer& writer() const { return writer_; }
    bool closed() const { return closed_; }

  private:
    void give_up(const IoStatus& status, std::uint64_t now_ms, std::vector<StoreEvent>& events);
    void compact(std::uint64_t live, std::uint64_t now_ms, std::uint64_t written,
                 std::vector<StoreEvent>& events);

    Environment& environment_;
    Options options_;
    Writer writer_;
    bool failing_ = false, able_told_ = false, chunk_out_ = false, closed_ = false;
    std::uint64_t retry_at_ = 0, retry_after_ = 0, compact_at_ = 0, next_sequence_ = 1;
};

}  // namespace indigovane::store
