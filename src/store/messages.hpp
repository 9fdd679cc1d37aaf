// Messages between a store and its log. The store's owner sends write requests to the log; the log sends
// events to the owner. Each side handles the messages in the order in which they were sent. A ticket is the
// number of a write request; a later request has a higher ticket.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "store/compaction_reader.hpp"
#include "store/format.hpp"

namespace indigovane::store {

// Records that are written atomically: after a crash all of them are on disk or none.
struct Batch {
    std::vector<Record> records;  // at least one
    // Sequence number of the first record. Consecutive batches have consecutive numbers without a gap.
    std::uint64_t sequence = 0;
};

// ---- from the owner to the log -------------------------------------------------------------------

struct WriteBatch {
    Batch batch;
    std::uint64_t ticket = 0;
    // True if a caller waits until the batch is durable: it is written without waiting for further requests.
    bool is_strict = false;
};
// All current records of the oldest segment have been written again by earlier requests.
struct OldestSegmentCopied {};
// The batches from here to GenerationEnd are the complete contents of the store and replace all earlier ones.
struct GenerationBegin {
    std::uint64_t first_sequence = 0;  // sequence number of the generation's first record
};
struct GenerationEnd {
    std::uint64_t ticket = 0;
};
// The last request: nothing follows it.
struct CloseLog {};

using WriteRequest = std::variant<WriteBatch, OldestSegmentCopied, GenerationBegin, GenerationEnd, CloseLog>;

// ---- from the log to the owner -------------------------------------------------------------------

// Every request up to and including this ticket is on disk.
struct RecordsDurable {
    std::uint64_t ticket = 0;
    std::uint64_t log_bytes = 0;  // current size of the log
};
// The log has stopped writing after an error. The owner serves from memory.
struct WritesFailing {
    std::string text;  // the error
};
// Writing may be retried: the owner must begin a new generation.
struct WritesRetryable {};
// Records of the oldest segment. The owner must write those that are still current again.
struct CompactionRead {
    CompactionChunk chunk;
};
// A fault to be logged for the operator. The log goes on as before.
struct LogFault {
    std::string text;
};

using StoreEvent = std::variant<RecordsDurable, WritesFailing, WritesRetryable, CompactionRead, LogFault>;

// Combines lambdas into one visitor for std::visit.
template <typename... Handlers>
struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace indigovane::store
