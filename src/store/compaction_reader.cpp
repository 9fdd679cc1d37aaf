#include "store/compaction_reader.hpp"

#include <cerrno>
#include <utility>

namespace indigovane::store {

IoStatus CompactionReader::open(Environment& environment, const Manifest::Segment& segment) {
    std::string name = segment_name(segment.number);
    std::unique_ptr<File> file;
    if (IoStatus status = environment.open(name, file); !status.ok()) return status;
    if (IoStatus status = file->read(0, std::size_t(segment.length), contents_); !status.ok()) return status;
    if (checksum(contents_) != segment.checksum) return {EIO, name + " does not match its sealed checksum"};
    segment_number_ = segment.number;
    offset_ = kSegmentHeaderBytes;
    return {};
}

IoStatus CompactionReader::read(Environment& environment, std::uint64_t store_number,
                                const Manifest::Segment& segment, std::size_t bytes, CompactionChunk& chunk) {
    chunk = {};
    if (segment_number_ != segment.number)
        if (IoStatus status = open(environment, segment); !status.ok()) return status;
    std::size_t read_bytes = 0;
    while (offset_ < contents_.size() && read_bytes < bytes) {
        auto frame =
            decode_frame(std::string_view(contents_).substr(std::size_t(offset_)), store_number, offset_);
        std::vector<Record> records;
        if (!frame || !decode_records(*frame, records))
            return {EIO, segment_name(segment.number) + " holds a malformed frame"};
        std::uint64_t sequence = frame->first_sequence;
        for (Record& record : records) chunk.records.push_back({std::move(record), sequence++});
        offset_ += frame->size();
        read_bytes += frame->size();
    }
    chunk.is_last = offset_ >= contents_.size();
    return {};
}

void CompactionReader::reset() {
    segment_number_ = 0;
    contents_.clear();
}

}  // namespace indigovane::store
