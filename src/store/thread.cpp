#include "store/thread.hpp"

#include <concurrentqueue/blockingconcurrentqueue.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace indigovane::store {

namespace {
constexpr std::size_t kMaxGatheredBytes = 4u << 20;  // sum of the sizes of keys and values
constexpr std::uint64_t kFirstTickMs = 1;

std::uint64_t steady_ms() {
    auto since_epoch = std::chrono::steady_clock::now().time_since_epoch();
    return std::uint64_t(std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

// Returns whether a group with this request must not wait for further requests.
bool is_urgent(const WriteRequest& request) {
    const auto* write = std::get_if<WriteBatch>(&request);
    return !write || write->is_strict;
}

std::size_t payload_bytes(const WriteRequest& request) {
    const auto* write = std::get_if<WriteBatch>(&request);
    if (!write) return 0;
    std::size_t bytes = 0;
    for (const Record& record : write->batch.records) bytes += record.key.size() + record.value.size();
    return bytes;
}

std::string log_line(const StoreEvent& event) {
    if (const auto* failing = std::get_if<WritesFailing>(&event))
        return "writing to disk has stopped, serving from memory: " + failing->text;
    if (std::holds_alternative<WritesRetryable>(event)) return "retrying to write to disk";
    if (const auto* fault = std::get_if<LogFault>(&event)) return fault->text;
    return "";
}
}  // namespace

struct StoreThread::Queues {
    moodycamel::BlockingConcurrentQueue<WriteRequest> requests;
    moodycamel::ConcurrentQueue<StoreEvent> events;
    // One producer token per queue: with one thread at each end, the order of messages is preserved.
    moodycamel::ProducerToken request_token{requests};
    moodycamel::ProducerToken event_token{events};
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
                                               RecoveryResult& recovery, OpenError& error) {
    std::unique_ptr<StoreThread> self(new StoreThread(std::move(environment), options, std::move(wake)));
    if (IoStatus status = self->environment_->lock(self->lock_); !status.ok()) {
        error = status.is(std::errc::operation_would_block)
                    ? OpenError{OpenError::Reason::locked, "another process has it open"}
                    : OpenError{OpenError::Reason::unusable, status.text()};
        return nullptr;
    }
    recovery = recover_frames(*self->environment_, options.salvage,
                              [&](const std::vector<RecordView>& records, std::uint64_t first_sequence) {
                                  self->store_.load(records, first_sequence);
                              });
    if (!recovery.usable()) {
        error.reason = OpenError::Reason::unusable;
        error.text = recovery.findings.empty() ? recovery.status.text() : recovery.findings.back().text();
        return nullptr;
    }
    self->store_.begin(recovery, now_ms);
    if (IoStatus status = self->log_worker_.begin(recovery, options.new_store_number); !status.ok()) {
        error = {OpenError::Reason::unusable, status.text()};
        return nullptr;
    }
    if (recovery.salvaged) self->store_.rewrite();
    self->live_bytes_ = self->store_.live_bytes();
    self->thread_ = std::thread([raw = self.get()] { raw->run(); });
    return self;
}

StoreThread::~StoreThread() {
    stop_ = true;
    if (!thread_.joinable()) return;
    queues_->requests.enqueue(CloseLog{});  // wakes the log's thread
    thread_.join();
}

// ---- the owner's thread --------------------------------------------------------------------------

void StoreThread::flush() {
    if (!store_.has_write_requests()) return;
    live_bytes_.store(store_.live_bytes(), std::memory_order_relaxed);
    auto requests = store_.take_write_requests();
    queues_->requests.enqueue_bulk(queues_->request_token, std::make_move_iterator(requests.begin()),
                                   requests.size());
}

std::vector<std::string> StoreThread::poll() {
    std::vector<std::string> lines;
    StoreEvent event;
    while (queues_->events.try_dequeue_from_producer(queues_->event_token, event)) {
        std::string line = log_line(event);
        if (!line.empty()) lines.push_back(std::move(line));
        store_.handle(std::move(event));
        event = StoreEvent{};
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

// ---- the log's thread ----------------------------------------------------------------------------

// Returns the first request and those that arrive within the sync interval. Every request taken from the
// queue is added to the group before the group's size is checked, so no request is lost.
std::vector<WriteRequest> StoreThread::gather_group(WriteRequest first) {
    using Clock = std::chrono::steady_clock;
    auto deadline = Clock::now() + std::chrono::microseconds(options_.sync_interval_us);
    std::vector<WriteRequest> group;
    bool urgent = false;
    std::size_t bytes = 0;
    WriteRequest request = std::move(first);
    for (;;) {
        urgent = urgent || is_urgent(request);
        bytes += payload_bytes(request);
        group.push_back(std::exchange(request, {}));
        if (bytes >= kMaxGatheredBytes) return group;
        if (queues_->requests.try_dequeue(request)) continue;
        auto remaining = std::chrono::duration_cast<std::chrono::microseconds>(deadline - Clock::now());
        if (urgent || remaining.count() <= 0) return group;
        if (!queues_->requests.wait_dequeue_timed(request, remaining.count())) return group;
    }
}

void StoreThread::publish(std::vector<StoreEvent>& events) {
    if (events.empty()) return;
    for (StoreEvent& event : events) queues_->events.enqueue(queues_->event_token, std::move(event));
    events.clear();
    if (wake_) wake_();
}

void StoreThread::run() {
    std::vector<StoreEvent> events;
    std::uint64_t tick_ms = kFirstTickMs;
    while (!log_worker_.closed() && !stop_) {
        WriteRequest request;
        if (queues_->requests.wait_dequeue_timed(request, std::chrono::milliseconds(tick_ms))) {
            std::vector<WriteRequest> group = gather_group(std::move(request));
            if (stop_) return;
            log_worker_.process(std::move(group), live_bytes_.load(std::memory_order_relaxed), steady_ms(),
                                events);
        }
        std::uint64_t live_bytes = live_bytes_.load(std::memory_order_relaxed);
        tick_ms = std::max<std::uint64_t>(1, log_worker_.tick(live_bytes, steady_ms(), events));
        publish(events);
    }
}

}  // namespace indigovane::store
