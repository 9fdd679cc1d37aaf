#include "store/log_worker.hpp"

#include <algorithm>
#include <cerrno>

namespace indigovane::store {

namespace {
constexpr std::size_t kChunkBytes = std::size_t{64} * 1024;  // read per step of compaction
constexpr std::size_t kGroupBytes = std::size_t{1} << 20;    // a group is written and synced at this size
constexpr std::uint64_t kIdleTickMs = 1000;
constexpr std::uint64_t kDropRetryMs = 1000;
constexpr std::uint64_t kCompactionFaultPauseMs = 10'000;
constexpr std::uint64_t kMillisecondsPerSecond = 1000;
// Accounts for frame headers, which are part of the log but not of the live bytes.
constexpr double kFrameHeaderAllowance = 1.2;
constexpr double kSpareSegments = 2;
// Beyond these limits, bounding the log's size takes priority over bounding I/O: compaction reads more than
// is written.
constexpr double kUrgentAllowance = 1.5;
constexpr double kUrgentSpareSegments = 3;
constexpr std::uint64_t kUrgentReadPerWrite = 3;
}  // namespace

IoStatus LogWorker::begin(const RecoveryResult& recovered, std::uint64_t new_store_number) {
    if (!recovered.salvaged) return writer_.begin(recovered, new_store_number);
    // Nothing else is written until the owner's generation has been received.
    failing_ = true;
    retry_reported_ = true;
    return writer_.begin_salvaged(recovered, new_store_number);
}

void LogWorker::stop_writing(const IoStatus& status, std::uint64_t now_ms, std::vector<StoreEvent>& events) {
    failing_ = true;
    retry_reported_ = false;
    last_chunk_pending_ = false;
    retry_after_ms_ = std::min(options_.max_retry_ms, std::max(options_.retry_ms, retry_after_ms_ * 2));
    retry_at_ms_ = now_ms + retry_after_ms_;
    events.push_back(WritesFailing{status.text()});
}

// While writing is stopped, only CloseLog and the beginning of the generation that was asked for are
// accepted.
bool LogWorker::accepts(const WriteRequest& request) const {
    if (!failing_ || std::holds_alternative<CloseLog>(request)) return true;
    return std::holds_alternative<GenerationBegin>(request) && retry_reported_;
}

void LogWorker::process(std::vector<WriteRequest>&& requests, std::uint64_t live_bytes, std::uint64_t now_ms,
                        std::vector<StoreEvent>& events) {
    Group group;
    for (WriteRequest& request : requests) {
        if (!accepts(request)) continue;
        std::visit(Overloaded{
                       [&](WriteBatch& batch) { add(group, std::move(batch), now_ms, events); },
                       [&](const OldestSegmentCopied&) {
                           flush(group, now_ms, events);
                           drop_oldest_segment(now_ms, events);
                       },
                       [&](const GenerationBegin& begin) {
                           flush(group, now_ms, events);
                           begin_generation(begin.first_sequence, now_ms, events);
                       },
                       [&](const GenerationEnd& end) {
                           flush(group, now_ms, events);
                           end_generation(end.ticket, now_ms, events);
                       },
                       [&](const CloseLog&) {
                           flush(group, now_ms, events);
                           closed_ = true;
                       },
                   },
                   request);
    }
    flush(group, now_ms, events);
    compact(live_bytes, now_ms, group.cumulative_bytes, events);
}

void LogWorker::add(Group& group, WriteBatch&& request, std::uint64_t now_ms,
                    std::vector<StoreEvent>& events) {
    for (const Record& record : request.batch.records)
        group.bytes += record_bytes(record.key.size(), record.value.size());
    group.cumulative_bytes += group.bytes;
    group.ticket = request.ticket;
    group.batches.push_back(std::move(request.batch));
    if (group.bytes >= kGroupBytes) flush(group, now_ms, events);
}

void LogWorker::flush(Group& group, std::uint64_t now_ms, std::vector<StoreEvent>& events) {
    std::vector<Batch> batches = std::exchange(group.batches, {});
    if (failing_ || batches.empty()) return;
    group.bytes = 0;
    bool is_too_long = writer_.bytes() > options_.max_log_bytes;
    IoStatus status = is_too_long ? IoStatus{ENOSPC, "the store has reached its configured budget"}
                                  : writer_.write(batches);
    if (!status.ok()) return stop_writing(status, now_ms, events);
    // Records of a generation count as durable only after the generation has ended.
    if (writer_.generation_open()) return;
    events.push_back(RecordsDurable{group.ticket, writer_.bytes()});
}

void LogWorker::drop_oldest_segment(std::uint64_t now_ms, std::vector<StoreEvent>& events) {
    last_chunk_pending_ = false;
    if (failing_) return;
    IoStatus status = writer_.drop_oldest();
    if (status.ok()) return;
    if (writer_.failed()) stop_writing(status, now_ms, events);
    compact_at_ms_ = now_ms + kDropRetryMs;
}

void LogWorker::begin_generation(std::uint64_t first_sequence, std::uint64_t now_ms,
                                 std::vector<StoreEvent>& events) {
    retry_reported_ = false;
    failing_ = false;
    last_chunk_pending_ = false;
    IoStatus status = writer_.begin_generation(first_sequence);
    if (!status.ok()) stop_writing(status, now_ms, events);
}

void LogWorker::end_generation(std::uint64_t ticket, std::uint64_t now_ms, std::vector<StoreEvent>& events) {
    if (failing_) return;
    IoStatus status = writer_.end_generation();
    if (!status.ok()) return stop_writing(status, now_ms, events);
    retry_after_ms_ = 0;
    events.push_back(RecordsDurable{ticket, writer_.bytes()});
}

void LogWorker::compact(std::uint64_t live_bytes, std::uint64_t now_ms, std::uint64_t written_bytes,
                        std::vector<StoreEvent>& events) {
    if (failing_ || last_chunk_pending_ || closed_) return;
    auto log_bytes = double(writer_.bytes());
    auto segment_bytes = double(options_.writer.segment_bytes);
    bool urgent = log_bytes > options_.max_amplification * kUrgentAllowance * double(live_bytes) +
                                  kUrgentSpareSegments * segment_bytes;
    if (now_ms < compact_at_ms_ && !urgent) return;
    if (log_bytes <= options_.max_amplification * kFrameHeaderAllowance * double(live_bytes) +
                         kSpareSegments * segment_bytes)
        return;
    std::uint64_t bytes = kChunkBytes;
    if (urgent) bytes = std::max(bytes, kUrgentReadPerWrite * written_bytes);
    IoStatus status;
    auto chunk = writer_.read_oldest(std::size_t(bytes), status);
    if (!status.ok()) {
        events.push_back(LogFault{"compaction: " + status.text()});
        compact_at_ms_ = now_ms + kCompactionFaultPauseMs;
        return;
    }
    if (!chunk) return;
    compact_at_ms_ = now_ms + kChunkBytes * kMillisecondsPerSecond / options_.compact_bytes_per_second;
    last_chunk_pending_ = chunk->is_last;  // the next segment is read only after this one is removed
    events.push_back(CompactionRead{std::move(*chunk)});
}

std::uint64_t LogWorker::tick(std::uint64_t live_bytes, std::uint64_t now_ms,
                              std::vector<StoreEvent>& events) {
    if (closed_) return kIdleTickMs;
    if (!failing_) {
        compact(live_bytes, now_ms, 0, events);
        return now_ms < compact_at_ms_ ? compact_at_ms_ - now_ms : kIdleTickMs;
    }
    if (retry_reported_) return kIdleTickMs;
    if (now_ms < retry_at_ms_) return retry_at_ms_ - now_ms;
    retry_reported_ = true;
    events.push_back(WritesRetryable{});
    return kIdleTickMs;
}

}  // namespace indigovane::store
