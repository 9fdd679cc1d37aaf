// Writer: the only writer of the log. It writes groups of batches and syncs each group before write()
// returns. Used by one thread; in a running store that is the log's thread.
//
// A generation is a complete set of segments. A new manifest replaces the previous generation atomically.
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
        // A segment of this size is sealed before the next group; one group may exceed it.
        std::size_t segment_bytes = 4 << 20;
    };
    Writer(Environment& environment, Options options);
    ~Writer();

    // Continues a recovered store: seals the last segment at its valid length and begins a new one. After an
    // error the store on disk is still valid, and the call may be repeated. `new_store_number`: random
    // number, used if a new store is created.
    IoStatus begin(const RecoveryResult& recovered, std::uint64_t new_store_number);
    // Called instead of begin() for a salvaged store. The store on disk stays as it is until
    // begin_generation() and end_generation() have replaced it with a new generation.
    IoStatus begin_salvaged(const RecoveryResult& recovered, std::uint64_t new_store_number);

    // Writes a group; if this returns ok, all of it is on disk. After a failed write or sync, the segment is
    // sealed at its durable length and the group is written to a new segment. If that fails too, this returns
    // an error, and failed() is true.
    IoStatus write(const std::vector<Batch>& group);

    // If failed() is true, nothing can be written until begin_generation() has succeeded. The owner then
    // writes all its records, and end_generation() replaces the old generation with them.
    bool failed() const { return failed_; }
    IoStatus begin_generation(std::uint64_t next_sequence);
    IoStatus end_generation();
    bool generation_open() const { return generation_open_; }

    // For compaction: returns the next chunk of the oldest segment, or nothing if there is no segment to
    // compact or if `status` is an error.
    std::optional<CompactionChunk> read_oldest(std::size_t bytes, IoStatus& status);
    // Removes the oldest segment, whose current records have all been written again.
    IoStatus drop_oldest();

    // Size of all segments.
    std::uint64_t bytes() const;
    const Manifest& manifest() const { return manifest_; }
    struct Counts {
        std::uint64_t bytes = 0;             // bytes of the frames written
        std::uint64_t segments_dropped = 0;  // segments removed by compaction
    };
    const Counts& counts() const { return counts_; }

  private:
    struct OpenSegment {
        std::uint64_t number = 0;
        std::unique_ptr<File> file;
        std::unique_ptr<Checksum> checksum;  // of the durable bytes
        std::uint64_t durable_length = 0;    // number of synced bytes
    };
    IoStatus create_segment(std::uint64_t first_sequence);
    IoStatus replace_manifest(Manifest next);
    IoStatus append(const std::vector<Batch>& group);
    IoStatus seal_and_continue();
    Manifest::Segment manifest_entry(const OpenSegment& segment, bool sealed) const;
    void remove_if_possible(const std::string& name);
    void remove_unlisted();

    Environment& environment_;
    Options options_;
    Manifest manifest_;                          // as it is on disk
    std::vector<Manifest::Segment> generation_;  // segments of the open generation
    OpenSegment segment_;                        // the segment that is written to
    std::uint64_t next_segment_ = 1;             // number of the next segment
    std::uint64_t next_sequence_ = 1;
    bool failed_ = false;
    bool generation_open_ = false;
    bool salvaged_ = false;  // the manifest on disk is unusable
    CompactionReader compaction_;
    Counts counts_;
};

}  // namespace indigovane::store
