// The log's only writer: groups of batches in, a sync, and what it knows to be on disk out. Used by one
// thread.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "store/environment.hpp"
#include "store/format.hpp"
#include "store/recovery.hpp"

namespace indigovane::store {

struct Batch {
    std::vector<Record> records;  // one at least; all or none of them
    std::uint64_t sequence = 0;   // of the first; batches come in order without a gap
};

class Writer {
  public:
    struct Options {
        std::size_t segment = 4 << 20;  // bytes; a group may make it longer
    };
    Writer(Environment& environment, Options options);
    ~Writer();

    // Takes over what was recovered: seals the last segment at its good length, begins a new one. On an error
    // nothing on disk has changed that matters; it may be tried again.
    IoStatus begin(const Recovered& recovered, std::uint64_t new_store_number);
    // Of a store that was salvaged, in place of begin(): nothing on disk changes until restart() and
    // switch_over() have put a generation in its place.
    IoStatus adopt(const Recovered& recovered, std::uint64_t new_store_number);
    // All of them are on disk once this returns well. On an error their segment is given up for good, at its
    // last good length; they were written anew to another, or, where that failed too, are in no segment: see
    // broken().
    IoStatus write(const std::vector<Batch>& group);
    // Nothing more can be written until restart() has begun a new generation, which the owner then fills with
    // all there is: only with switch_over() does it take the place of the old one, at once.
    bool broken() const { return broken_; }
    IoStatus restart(std::uint64_t next_sequence);
    IoStatus switch_over();
    bool pending() const { return pending_; }

    // Compaction: the oldest sealed segment's records, so many bytes at a time; nothing where there is none.
    struct Chunk {
        std::vector<std::pair<Record, std::uint64_t>> records;  // with their sequences
        bool last = false;
    };
    std::optional<Chunk> read_oldest(std::size_t bytes, IoStatus& status);
    IoStatus drop_oldest();  // all that lived in it has been written anew

    std::uint64_t bytes() const;  // of all segments
    std::size_t segments() const { return manifest_.segments.size(); }
    const Manifest& manifest() const { return manifest_; }
    struct Counts {
        std::uint64_t groups = 0, batches = 0, records = 0, bytes = 0, syncs = 0, given_up = 0, dropped = 0;
    };
    const Counts& counts() const { return counts_; }

  private:
    IoStatus new_segment(std::uint64_t first);
    IoStatus replace_manifest(const Manifest& manifest);
    IoStatus append(const std::vector<Batch>& group);
    IoStatus roll(std::uint64_t first);
    void remove_unlisted();

    Environment& environment_;
    Options options_;
    Manifest manifest_;                     // as it is on disk
    std::vector<Manifest::Segment> fresh_;  // of a generation that is not switched over to yet
    std::unique_ptr<File> file_;
    std::unique_ptr<Checksum> sum_;
    std::uint64_t number_ = 0, next_number_ = 1, durable_ = 0, size_ = 0, next_sequence_ = 1;
    bool broken_ = false, pending_ = false, adopted_ = false;
    std::string oldest_;  // the segment that is compacted
    std::uint64_t oldest_number_ = 0, oldest_at_ = 0;
    Counts counts_;
};

}  // namespace indigovane::store
