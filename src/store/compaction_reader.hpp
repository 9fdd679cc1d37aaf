// Reads a sealed segment in chunks for compaction. Used by the log's thread.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "store/environment.hpp"
#include "store/format.hpp"

namespace indigovane::store {

struct SequencedRecord {
    Record record;
    std::uint64_t sequence = 0;
};

struct CompactionChunk {
    std::vector<SequencedRecord> records;
    bool is_last = false;  // the segment's last chunk
};

class CompactionReader {
  public:
    // Reads the segment's next frames: at least `bytes` bytes or all that are left. If the segment is not the
    // one of the last call, reading starts at its beginning. Fails with EIO if the segment differs from what
    // was sealed; the segment is then left as it is, so that the next recovery refuses it.
    IoStatus read(Environment& environment, std::uint64_t store_number, const Manifest::Segment& segment,
                  std::size_t bytes, CompactionChunk& chunk);
    // Makes the next read start at the segment's beginning.
    void reset();

  private:
    IoStatus open(Environment& environment, const Manifest::Segment& segment);

    std::uint64_t segment_number_ = 0;  // number of the segment in `contents_`; 0 if there is none
    std::string contents_;
    std::uint64_t offset_ = 0;  // offset of the next frame, in bytes
};

}  // namespace indigovane::store
