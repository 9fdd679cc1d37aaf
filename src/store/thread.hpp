// StoreThread: a store on disk. The Store runs on the owner's thread and a LogWorker on a thread of its own,
// with two lock-free queues between them. All public functions must be called on the owner's thread.
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
    // How long a group waits for further requests, unless it contains a strict one.
    std::uint64_t sync_interval_us = 2000;
    // Recover a damaged store as far as possible, see recover().
    bool salvage = false;
    // Random number, used if a new store is created.
    std::uint64_t new_store_number = 1;
};

// The reason why a store can't be used.
struct OpenError {
    enum class Reason : std::uint8_t {
        none,
        locked,    // another process has it open
        unusable,  // damaged, of a newer version or unreadable, or its log can't be started
    } reason = Reason::none;
    std::string text;
};

class StoreThread {
  public:
    // Recovers the store and starts the log's thread; blocks until this is done. Returns null and sets
    // `error` if the store can't be used. `recovery` receives the result of the recovery in both cases.
    // `wake`: called on the log's thread when poll() has something to do.
    static std::unique_ptr<StoreThread> open(std::unique_ptr<Environment> environment, OpenOptions options,
                                             std::uint64_t now_ms, std::function<void()> wake,
                                             RecoveryResult& recovery, OpenError& error);
    // Stops as if the process ended: requests that have not been written yet are lost. Waits for the log's
    // thread.
    ~StoreThread();
    StoreThread(const StoreThread&) = delete;
    StoreThread& operator=(const StoreThread&) = delete;

    Store& store() { return store_; }
    // Passes the write requests since the last call to the log; cheap if there are none.
    void flush();
    // Handles the log's events, then flushes. Returns lines to be logged for the operator.
    std::vector<std::string> poll();
    // Blocks until all requests have been written, or have been skipped because the disk fails.
    void close();

    // May be called only after close(), because until then the log's thread uses the writer.
    const Writer& writer() const { return log_worker_.writer(); }

  private:
    struct Queues;
    StoreThread(std::unique_ptr<Environment> environment, OpenOptions options, std::function<void()> wake);
    // The following functions run on the log's thread.
    void run();
    std::vector<WriteRequest> gather_group(WriteRequest first);
    void publish(std::vector<StoreEvent>& events);

    std::unique_ptr<Environment> environment_;
    std::unique_ptr<FolderLock> lock_;
    OpenOptions options_;
    LogWorker log_worker_;  // used by the log's thread once it runs
    std::function<void()> wake_;
    Store store_;
    std::unique_ptr<Queues> queues_;
    std::atomic<std::uint64_t> live_bytes_{0};
    std::atomic<bool> stop_{false};
    std::thread thread_;
};

}  // namespace indigovane::store
