// Reads a sealed segment in chunks, for compaction. Used by the log's thread.
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
    bool last = false;  // of its segment
};

class CompactionReader {
  public:
    // The next frames of the segment, of at least `bytes` where there are so many; from its front where it is
    // another segment than at the last call. EIO where the segment is not what was sealed: it is then left as
    // it is, so that the next recovery refuses it.
    IoStatus read(Environment& environment, std::uint64_t store, const Manifest::Segment& segment,
                  std::size_t bytes, CompactionChunk& chunk);
    // The next read begins at the segment's front.
    void reset();

  private:
    IoStatus open(Environment& environment, const Manifest::Segment& segment);

    std::uint64_t segment_ = 0;  // number; 0: none
    std::string contents_;
    std::uint64_t offset_ = 0;  // of the next frame
};

}  // namespace indigovane::store
