// Tests of the classification of torn and damaged tails, the manifest file and the compaction reader.
#include "store/log_tail.hpp"

#include <doctest/doctest.h>

#include <cerrno>

#include "store/compaction_reader.hpp"
#include "store/fault_environment.hpp"
#include "store/manifest_file.hpp"

namespace indigovane::store {
namespace {

constexpr std::uint64_t kStoreNumber = 7;

// Builds a segment of frames with one record each.
struct SegmentBuilder {
    std::string bytes = encode(SegmentHeader{kStoreNumber, 1, 1});
    std::uint64_t sequence = 1;

    // Adds a frame that states `durable_length` bytes as synced. Returns its offset in bytes.
    std::size_t add(std::uint64_t durable_length) {
        std::size_t offset = bytes.size();
        std::string payload;
        encode_record({Record::Type::put, Space::hosts, "key", "value", 0}, payload);
        bytes += encode(Frame{sequence++, durable_length, 1, payload}, kStoreNumber, offset);
        return offset;
    }
};

TEST_CASE("a tail that no later frame reports as durable is torn, not damaged") {
    SegmentBuilder segment;
    segment.add(kSegmentHeaderBytes);
    std::size_t torn = segment.add(kSegmentHeaderBytes);
    segment.add(kSegmentHeaderBytes);
    CHECK(classify_tail(segment.bytes, kStoreNumber, segment.bytes.size(), 0) == TailState::complete);
    segment.bytes[torn + kFrameHeaderBytes] ^= 1;
    CHECK(classify_tail(segment.bytes, kStoreNumber, torn, 0) == TailState::torn);
}

TEST_CASE("a tail that a later frame reports as durable is damaged") {
    SegmentBuilder segment;
    std::size_t damaged = segment.add(kSegmentHeaderBytes);
    segment.add(segment.bytes.size());
    segment.bytes[damaged + kFrameHeaderBytes] ^= 1;
    CHECK(classify_tail(segment.bytes, kStoreNumber, damaged, 0) == TailState::damaged);
    // A frame of another store proves nothing.
    CHECK(classify_tail(segment.bytes, kStoreNumber + 1, damaged, 0) == TailState::torn);
}

TEST_CASE("a segment shorter than its synced length in the manifest is damaged") {
    SegmentBuilder segment;
    segment.add(kSegmentHeaderBytes);
    CHECK(classify_tail(segment.bytes, kStoreNumber, segment.bytes.size(), segment.bytes.size()) ==
          TailState::complete);
    CHECK(classify_tail(segment.bytes, kStoreNumber, segment.bytes.size(), segment.bytes.size() + 1) ==
          TailState::damaged);
}

TEST_CASE("replacing the manifest is in doubt if the folder sync fails, but not if the write fails") {
    FaultEnvironment disk;
    Manifest first{kStoreNumber, 1, 2, {{1, false, 64, 0}}};
    REQUIRE(replace_manifest_file(disk, first).status.ok());
    auto failing_step = FaultEnvironment::Step::write;
    disk.inject_error = [&](FaultEnvironment::Step step, const std::string&) {
        return step == failing_step ? EIO : 0;
    };
    Manifest second = first;
    second.epoch = 2;
    CHECK_FALSE(replace_manifest_file(disk, second).in_doubt);
    Manifest found;
    REQUIRE(read_manifest_file(disk, found).ok());
    CHECK(found == first);
    failing_step = FaultEnvironment::Step::sync_folder;
    auto replacement = replace_manifest_file(disk, second);
    CHECK(replacement.in_doubt);
    CHECK(replacement.status.is(std::errc::io_error));
}

TEST_CASE("compaction reads a sealed segment chunk by chunk and refuses a changed one") {
    FaultEnvironment disk;
    SegmentBuilder segment;
    segment.add(kSegmentHeaderBytes);
    segment.add(kSegmentHeaderBytes);
    disk.set_file(segment_name(1), segment.bytes);
    Manifest::Segment sealed{1, true, segment.bytes.size(), checksum(segment.bytes)};
    CompactionReader reader;
    CompactionChunk chunk;
    REQUIRE(reader.read(disk, kStoreNumber, sealed, 1, chunk).ok());
    REQUIRE(chunk.records.size() == 1);
    CHECK(chunk.records[0].sequence == 1);
    CHECK_FALSE(chunk.is_last);
    REQUIRE(reader.read(disk, kStoreNumber, sealed, 1, chunk).ok());
    CHECK(chunk.records[0].sequence == 2);
    CHECK(chunk.is_last);
    segment.bytes[kSegmentHeaderBytes] ^= 1;
    disk.set_file(segment_name(1), segment.bytes);
    reader.reset();
    CHECK(reader.read(disk, kStoreNumber, sealed, 1, chunk).is(std::errc::io_error));
}

}  // namespace
}  // namespace indigovane::store
