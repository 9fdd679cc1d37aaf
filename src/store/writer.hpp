// The log's only writer: groups of batches in, each synced before write() returns. Used by one thread, that
// of the log.
//
// A generation is a complete set of segments that replaces the one before at once, by a new manifest.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "store/checksum.hpp"
#include "store/compaction_reader.hpp"
#include "store/environment.hpp"
#include "store/format.hpp"
#include "store/messages.hpp"
#include "store/recovery.hpp"

namespace indigovane::store {

class Writer {
  public:
    struct Options {
        std::size_t segment_bytes = 4 << 20;  // a group may make a segment longer
    };
    Writer(Environment& environment, Options options);
    ~Writer();

    // Takes over what was recovered: seals the last segment at its valid length, begins a new one. After an
    // error nothing on disk has changed that matters; it may be tried again. `new_store_number`: random, of a
    // store that is made.
    IoStatus begin(const RecoveryResult& recovered, std::uint64_t new_store_number);
    // In place of begin(), for a store that was salvaged: nothing on disk changes until begin_generation()
    // and end_generation() have put a generation in its place.
    IoStatus begin_salvaged(const RecoveryResult& recovered, std::uint64_t new_store_number);

    // All of the group is on disk once this returns ok. After a failed write or sync the segment is abandoned
    // at its last good length and the group written to a new one. An error: that failed too, see failed().
    IoStatus write(const std::vector<Batch>& group);

    // Nothing can be written until begin_generation() has succeeded. The owner then writes all there is; with
    // end_generation() that takes the place of the old generation.
    bool failed() const { return failed_; }
    IoStatus begin_generation(std::uint64_t next_sequence);
    IoStatus end_generation();
    bool generation_open() const { return generation_open_; }

    // Compaction. The next chunk of the oldest segment; nothing: there is none to be compacted, or an error.
    std::optional<CompactionChunk> read_oldest(std::size_t bytes, IoStatus& status);
    // All current records of the oldest segment have been written again: it is removed.
    IoStatus drop_oldest();

    std::uint64_t bytes() const;  // of all segments
    const Manifest& manifest() const { return manifest_; }
    struct Counts {
        std::uint64_t bytes = 0;             // written in frames
        std::uint64_t segments_dropped = 0;  // by compaction
    };
    const Counts& counts() const { return counts_; }

  private:
    struct OpenSegment {
        std::uint64_t number = 0;
        std::unique_ptr<File> file;
        std::unique_ptr<Checksum> checksum;  // of its durable bytes
        std::uint64_t durable_length = 0;    // synced
    };
    IoStatus create_segment(std::uint64_t first_sequence);
    IoStatus replace_manifest(Manifest next);
    IoStatus append(const std::vector<Batch>& group);
    IoStatus seal_and_continue();
    Manifest::Segment listed(const OpenSegment& segment, bool sealed) const;
    void remove_if_possible(const std::string& name);
    void remove_unlisted();

    Environment& environment_;
    Options options_;
    Manifest manifest_;                          // as it is on disk
    std::vector<Manifest::Segment> generation_;  // segments of the open one
    OpenSegment segment_;                        // that is written to
    std::uint64_t next_segment_ = 1;
    std::uint64_t next_sequence_ = 1;
    bool failed_ = false;
    bool generation_open_ = false;
    bool salvaged_ = false;  // the manifest on disk is of no use
    CompactionReader compaction_;
    Counts counts_;
};

}  // namespace indigovane::store
