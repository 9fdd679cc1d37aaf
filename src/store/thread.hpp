// A store on disk: the owner's side on the loop's thread, a carrier on one of its own, two lock-free queues
// between them.
#pragma once

#include <atomic>
#include <memory>
#include <thread>

#include "store/log_worker.hpp"

namespace indigovane::store {

struct OpenOptions {
    LogWorker::Options log_worker;
    std::uint64_t sync_interval_us = 2000;  // a group waits so long for more, unless one of it is strict
    bool salvage = false;
    std::uint64_t new_store_number = 1;  // random; of a store that is made
};

class StoreThread {
  public:
    // Recovers and begins. `wake`: called from the other thread when there is news. Nothing, with the reason,
    // where the store can't be used: locked, damaged, newer, unreadable. What recovery found is in `found`
    // either way.
    static std::unique_ptr<StoreThread> open(std::unique_ptr<Environment> environment, OpenOptions options,
                                             std::uint64_t now_ms, std::function<void()> wake,
                                             Recovered& found, std::string& why);
    ~StoreThread();  // as if the process ended: what was not carried yet is lost
    StoreThread(const StoreThread&) = delete;
    StoreThread& operator=(const StoreThread&) = delete;

    Store& store() { return store_; }
    void flush();                     // hands over what was ordered; cheap where nothing was
    std::vector<std::string> poll();  // takes the news in; lines for the log
    void close();                     // waits until all is on disk

    const Writer& writer() const {
        return log_worker_.writer();
    }  // once closed: until then it is the other thread's

  private:
    struct Queues;
    StoreThread(std::unique_ptr<Environment> environment, OpenOptions options, std::function<void()> wake);
    void run();

    std::unique_ptr<Environment> environment_;
    std::unique_ptr<Lock> lock_;
    OpenOptions options_;
    LogWorker log_worker_;
    std::function<void()> wake_;
    Store store_;
    std::unique_ptr<Queues> queues_;
    std::atomic<std::uint64_t> live_{0};
    std::atomic<bool> stop_{false};
    std::thread thread_;
};

}  // namespace indigovane::store
