#include "store/thread.hpp"

#include <concurrentqueue/blockingconcurrentqueue.h>

#include <cerrno>
#include <chrono>

namespace indigovane::store {

namespace {
std::uint64_t steady_ms() {
    return std::uint64_t(std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::chrono::steady_clock::now().time_since_epoch())
                             .count());
}
}  // namespace

struct StoreThread::Queues {
    moodycamel::BlockingConcurrentQueue<WriteRequest> orders;
    moodycamel::ConcurrentQueue<StoreEvent> events;
    // One token each: with one thread at either end, order is kept.
    moodycamel::ProducerToken order_token{orders}, store_event_token{events};
};

StoreThread::StoreThread(std::unique_ptr<Environment> environment, OpenOptions options,
                         std::function<void()> wake)
    : environment_(std::move(environment)),
      options_(options),
      log_worker_(*environment_, options.log_worker),
      wake_(std::move(wake)),
      store_(options.new_store_number * 0x9e3779b97f4a7c15u),
      queues_(std::make_unique<Queues>()) {}

std::unique_ptr<StoreThread> StoreThread::open(std::unique_ptr<Environment> environment, OpenOptions options,
                                               std::uint64_t now_ms, std::function<void()> wake,
                                               Recovered& found, std::string& why) {
    std::unique_ptr<StoreThread> self(new StoreThread(std::move(environment), options, std::move(wake)));
    if (IoStatus s = self->environment_->lock(self->lock_); !s.ok()) {
        why = s.code == EWOULDBLOCK ? "another process has it open" : s.text();
        return nullptr;
    }
    found = recover_frames(*self->environment_, options.salvage,
                           [&](const std::vector<RecordView>& records, std::uint64_t first) {
                               self->store_.load(records, first);
                           });
    if (!found.usable()) {
        why = found.findings.empty() ? found.status.text() : found.findings.back().text();
        return nullptr;
    }
    self->store_.begin(found, now_ms);
    if (IoStatus s = self->log_worker_.begin(found, options.new_store_number); !s.ok()) {
        why = s.text();
        return nullptr;
    }
    if (found.salvaged) self->store_.rewrite();
    self->live_ = self->store_.live_bytes();
    self->thread_ = std::thread([raw = self.get()] { raw->run(); });
    return self;
}

StoreThread::~StoreThread() {
    stop_ = true;
    if (thread_.joinable()) {
        WriteRequest last;
        last.kind = WriteRequest::Kind::close;
        queues_->orders.enqueue(std::move(last));
        thread_.join();
    }
}

void StoreThread::flush() {
    if (!store_.has_orders()) return;
    live_.store(store_.live_bytes(), std::memory_order_relaxed);
    auto orders = store_.orders();
    queues_->orders.enqueue_bulk(queues_->order_token, std::make_move_iterator(orders.begin()),
                                 orders.size());
}

std::vector<std::string> StoreThread::poll() {
    std::vector<std::string> lines;
    StoreEvent n;
    while (queues_->events.try_dequeue_from_producer(queues_->store_event_token, n)) {
        if (n.kind == StoreEvent::Kind::failing)
            lines.push_back("nothing is written any more, served from memory: " + n.text);
        if (n.kind == StoreEvent::Kind::able) lines.push_back("trying to write again");
        if (n.kind == StoreEvent::Kind::trouble) lines.push_back(n.text);
        store_.events(std::move(n));
        n = StoreEvent{};
    }
    flush();
    return lines;
}

void StoreThread::close() {
    poll();
    store_.close();
    flush();
    if (thread_.joinable()) thread_.join();
    poll();
}

void StoreThread::run() {
    std::vector<WriteRequest> gathered;
    std::vector<StoreEvent> events;
    std::uint64_t tick_ms = 1;
    while (!log_worker_.closed() && !stop_) {
        WriteRequest order;
        bool some = queues_->orders.wait_dequeue_timed(order, std::int64_t(tick_ms) * 1000);
        if (some) {
            auto deadline =
                std::chrono::steady_clock::now() + std::chrono::microseconds(options_.sync_interval_us);
            bool hurry = false;
            std::size_t bytes = 0;
            // Whatever is taken from the queue is in the group before the group is found large enough:
            // nothing is left in the hand.
            for (;;) {
                hurry = hurry || order.strict || order.kind != WriteRequest::Kind::batch;
                for (const Record& r : order.batch.records) bytes += r.key.size() + r.value.size();
                gathered.push_back(std::move(order));
                order = WriteRequest{};
                if (bytes >= (4u << 20)) break;
                if (queues_->orders.try_dequeue(order)) continue;
                auto left = std::chrono::duration_cast<std::chrono::microseconds>(
                    deadline - std::chrono::steady_clock::now());
                if (hurry || left.count() <= 0 || !queues_->orders.wait_dequeue_timed(order, left.count()))
                    break;
            }
            if (stop_) return;
            log_worker_.carry(std::move(gathered), live_.load(std::memory_order_relaxed), steady_ms(),
                              events);
            gathered.clear();
        }
        tick_ms = std::max<std::uint64_t>(
            1, log_worker_.tick(live_.load(std::memory_order_relaxed), steady_ms(), events));
        if (events.empty()) continue;
        for (StoreEvent& n : events) queues_->events.enqueue(queues_->store_event_token, std::move(n));
        events.clear();
        if (wake_) wake_();
    }
}

}  // namespace indigovane::store
