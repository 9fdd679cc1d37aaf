// What the owner of a store and its log tell each other; both kinds are handled in the order in which they
// were made. A ticket numbers the owner's write requests; a higher one is later.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "store/compaction_reader.hpp"
#include "store/format.hpp"

namespace indigovane::store {

// Records that are on disk all or not at all.
struct Batch {
    std::vector<Record> records;  // at least one
    std::uint64_t sequence = 0;   // of the first; batches come in order without a gap
};

// ---- from the owner to the log -------------------------------------------------------------------

struct WriteBatch {
    Batch batch;
    std::uint64_t ticket = 0;
    bool strict = false;  // somebody is waiting for it: no delay for further ones
};
// All current records of the oldest segment have been written again before this.
struct OldestSegmentCopied {};
// What follows, up to the end of the generation, is all there is: it replaces all before.
struct GenerationBegin {
    std::uint64_t first_sequence = 0;
};
struct GenerationEnd {
    std::uint64_t ticket = 0;
};
// The last request.
struct CloseLog {};

using WriteRequest = std::variant<WriteBatch, OldestSegmentCopied, GenerationBegin, GenerationEnd, CloseLog>;

// ---- from the log to the owner -------------------------------------------------------------------

// Every request up to this ticket is on disk.
struct RecordsDurable {
    std::uint64_t ticket = 0;
    std::uint64_t log_bytes = 0;  // size of the log now
};
// Nothing is written any more, the owner serves from memory.
struct WritesFailing {
    std::string text;
};
// Writing may be tried again: the owner is to begin a new generation.
struct WritesRetryable {};
// Of the oldest segment: what of it is still current is to be written again.
struct CompactionRead {
    CompactionChunk chunk;
};
// For the operator's log; nothing has changed.
struct LogFault {
    std::string text;
};

using StoreEvent = std::variant<RecordsDurable, WritesFailing, WritesRetryable, CompactionRead, LogFault>;

// Visitor made of lambdas, for std::visit.
template <typename... Handlers>
struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace indigovane::store
