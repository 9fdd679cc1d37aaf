#include "store/log_worker.hpp"

#include <algorithm>
#include <cerrno>

namespace indigovane::store {

namespace {
constexpr std::size_t kChunk = 64 * 1024, kGroup = 1 << 20;
}

IoStatus LogWorker::begin(const Recovered& recovered, std::uint64_t new_store_number) {
    if (!recovered.salvaged) return writer_.begin(recovered, new_store_number);
    failing_ = able_told_ = true;  // until its owner's generation has come
    return writer_.adopt(recovered, new_store_number);
}

void LogWorker::give_up(const IoStatus& status, std::uint64_t now_ms, std::vector<StoreEvent>& events) {
    failing_ = true;
    able_told_ = chunk_out_ = false;
    retry_after_ = std::min(options_.retry_most_ms, std::max(options_.retry_ms, retry_after_ * 2));
    retry_at_ = now_ms + retry_after_;
    StoreEvent n;
    n.kind = StoreEvent::Kind::failing;
    n.text = status.text();
    events.push_back(std::move(n));
}

void LogWorker::carry(std::vector<WriteRequest>&& orders, std::uint64_t live, std::uint64_t now_ms,
                      std::vector<StoreEvent>& events) {
    std::vector<Batch> group;
    std::uint64_t ticket = 0, bytes = 0, all = 0;
    auto flush = [&] {
        if (failing_ || group.empty()) {
            group.clear();
            return;
        }
        IoStatus s =
            writer_.bytes() > options_.budget ? IoStatus{ENOSPC, "the store's budget"} : writer_.write(group);
        group.clear();
        bytes = 0;
        if (!s.ok()) return give_up(s, now_ms, events);
        // Before a generation is switched over to, nothing of it counts as on disk.
        if (writer_.pending()) return;
        StoreEvent n;
        n.ticket = ticket;
        n.bytes = writer_.bytes();
        events.push_back(std::move(n));
    };
    for (WriteRequest& o : orders) {
        if (failing_ && !(o.kind == WriteRequest::Kind::generation && able_told_) &&
            o.kind != WriteRequest::Kind::close)
            continue;
        switch (o.kind) {
            case WriteRequest::Kind::batch:
                for (const Record& r : o.batch.records) bytes += cost(r.key.size(), r.value.size());
                all += bytes;
                next_sequence_ = o.batch.sequence + o.batch.records.size();
                group.push_back(std::move(o.batch));
                ticket = o.ticket;
                if (bytes >= kGroup) flush();
                break;
            case WriteRequest::Kind::compacted: {
                flush();
                chunk_out_ = false;
                if (failing_) break;
                if (IoStatus s = writer_.drop_oldest(); !s.ok()) {
                    if (writer_.broken()) give_up(s, now_ms, events);
                    compact_at_ = now_ms + 1000;
                }
                break;
            }
            case WriteRequest::Kind::generation: {
                flush();
                able_told_ = false;
                failing_ = false;
                chunk_out_ = false;
                if (IoStatus s = writer_.restart(o.batch.sequence); !s.ok()) give_up(s, now_ms, events);
                break;
            }
            case WriteRequest::Kind::complete: {
                flush();
                if (failing_) break;
                if (IoStatus s = writer_.switch_over(); !s.ok()) {
                    give_up(s, now_ms, events);
                    break;
                }
                retry_after_ = 0;
                StoreEvent n;
                n.ticket = o.ticket;
                n.bytes = writer_.bytes();
                events.push_back(std::move(n));
                break;
            }
            case WriteRequest::Kind::close:
                flush();
                closed_ = true;
                break;
        }
    }
    flush();
    compact(live, now_ms, all, events);
}

void LogWorker::compact(std::uint64_t live, std::uint64_t now_ms, std::uint64_t written,
                        std::vector<StoreEvent>& events) {
    if (failing_ || chunk_out_ || closed_) return;
    // The bound on I/O gives way to the bound on space: then as much is read as is written, and more.
    bool hurry = double(writer_.bytes()) >
                 options_.amplification * 1.5 * double(live) + 3.0 * double(options_.writer.segment);
    if (now_ms < compact_at_ && !hurry) return;
    // Frames' heads are not counted as live: a fifth more allows for them.
    if (double(writer_.bytes()) <=
        options_.amplification * 1.2 * double(live) + 2.0 * double(options_.writer.segment))
        return;
    IoStatus status;
    auto chunk = writer_.read_oldest(
        std::size_t(hurry ? std::max<std::uint64_t>(kChunk, 3 * written) : kChunk), status);
    if (!status.ok()) {
        StoreEvent n;
        n.kind = StoreEvent::Kind::trouble;
        n.text = "compaction: " + status.text();
        events.push_back(std::move(n));
        compact_at_ = now_ms + 10000;
        return;
    }
    if (!chunk) return;
    compact_at_ = now_ms + kChunk * 1000 / options_.compact_per_second;
    chunk_out_ = chunk->last;  // the next segment only once this one is gone
    StoreEvent n;
    n.kind = StoreEvent::Kind::chunk;
    n.chunk = std::move(*chunk);
    events.push_back(std::move(n));
}

std::uint64_t LogWorker::tick(std::uint64_t live, std::uint64_t now_ms, std::vector<StoreEvent>& events) {
    if (closed_) return 1000;
    if (failing_) {
        if (able_told_) return 1000;
        if (now_ms < retry_at_) return retry_at_ - now_ms;
        able_told_ = true;
        StoreEvent n;
        n.kind = StoreEvent::Kind::able;
        events.push_back(std::move(n));
        return 1000;
    }
    compact(live, now_ms, 0, events);
    return now_ms < compact_at_ ? std::max<std::uint64_t>(1, compact_at_ - now_ms) : 1000;
}

}  // namespace indigovane::store
