// A store on disk: the owner's side on the owner's thread, a LogWorker on a thread of its own, two lock-free
// queues between them. All public functions are called by the owner's thread.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "store/log_worker.hpp"
#include "store/store.hpp"

namespace indigovane::store {

struct OpenOptions {
    LogWorker::Options log_worker;
    std::uint64_t sync_interval_us = 2000;  // a group waits so long for more, unless one of it is strict
    bool salvage = false;                   // see recover()
    std::uint64_t new_store_number = 1;     // random; of a store that is made
};

// Why a store can't be used.
struct OpenError {
    enum class Kind : std::uint8_t {
        none,
        locked,    // another process has it open
        unusable,  // damaged, newer or unreadable; or its log can't be begun
    } kind = Kind::none;
    std::string text;
};

class StoreThread {
  public:
    // Recovers and begins; blocks for as long as that takes. `wake`: called from the log's thread when poll()
    // has something to do. Null, with the error, where the store can't be used. What recovery found is in
    // `found` either way.
    static std::unique_ptr<StoreThread> open(std::unique_ptr<Environment> environment, OpenOptions options,
                                             std::uint64_t now_ms, std::function<void()> wake,
                                             RecoveryResult& found, OpenError& error);
    // As if the process ended: what has not been written yet is lost. Waits for the log's thread.
    ~StoreThread();
    StoreThread(const StoreThread&) = delete;
    StoreThread& operator=(const StoreThread&) = delete;

    Store& store() { return store_; }
    // Hands over the write requests since the last call; cheap where there are none.
    void flush();
    // Handles the log's events, then flushes. Returns lines for the operator's log.
    std::vector<std::string> poll();
    // Blocks until all is on disk, or until it is certain that it can't be.
    void close();

    // After close() only: until then it is the log thread's.
    const Writer& writer() const { return log_worker_.writer(); }

  private:
    struct Queues;
    StoreThread(std::unique_ptr<Environment> environment, OpenOptions options, std::function<void()> wake);
    // The log's thread.
    void run();
    std::vector<WriteRequest> gather(WriteRequest first);
    void publish(std::vector<StoreEvent>& events);

    std::unique_ptr<Environment> environment_;
    std::unique_ptr<FolderLock> lock_;
    OpenOptions options_;
    LogWorker log_worker_;  // the log thread's once that runs
    std::function<void()> wake_;
    Store store_;
    std::unique_ptr<Queues> queues_;
    std::atomic<std::uint64_t> live_bytes_{0};
    std::atomic<bool> stop_{false};
    std::thread thread_;
};

}  // namespace indigovane::store
