// The bytes on disk: docs/store.md, "Log", to the byte. No I/O here. Integers are little-endian; lengths
// bounded. Functions without state: any thread may call them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/checksum.hpp"

namespace indigovane::store {

// A range of keys of one purpose; the table in docs/store.md.
enum class Space : std::uint8_t { positions = 0, hosts = 1, list = 2, shapes = 3, operators = 4, system = 5 };
constexpr std::size_t kSpaceCount = 6;
const char* name(Space space);
std::optional<Space> parse_space(std::string_view name);

struct Record {
    enum class Type : std::uint8_t { put = 1, remove = 2 } type = Type::put;
    Space space = Space::positions;
    std::string key;  // of a position: 8 bytes, big-endian, so that order is the number's
    std::string value;
    std::uint64_t expires_ms = 0;  // Unix; 0: never
    bool operator==(const Record&) const = default;
};

constexpr std::uint32_t kFormatVersion = 1;
constexpr std::size_t kSegmentHeaderBytes = 64;
constexpr std::size_t kFrameHeaderBytes = 48;
constexpr std::size_t kRecordHeaderBytes = 16;
constexpr std::size_t kMaxKeyBytes = 1024;
constexpr std::size_t kMaxValueBytes = 1 << 20;
constexpr std::size_t kMaxPayloadBytes = 4 << 20;

// The bytes that a record takes in the log, its frame's header aside.
constexpr std::uint64_t record_bytes(std::size_t key, std::size_t value) {
    return kRecordHeaderBytes + key + value;
}

struct SegmentHeader {
    std::uint64_t store = 0;  // the store's number, of the manifest
    std::uint64_t segment = 0;
    std::uint64_t first_sequence = 0;  // of its first record
    bool operator==(const SegmentHeader&) const = default;
};
std::string encode(const SegmentHeader& header);
enum class DecodeResult {
    ok,
    damaged,
    newer_version,  // of a format that this program does not know
};
// `header` is set where the result is ok.
DecodeResult decode(std::string_view bytes, SegmentHeader& header);

// One atomic batch of records.
struct Frame {
    std::uint64_t sequence = 0;  // of the first record; the others follow one by one
    std::uint64_t durable = 0;   // bytes of the segment that were known to be synced when it was written
    std::uint32_t count = 0;
    std::string_view payload;
    std::size_t size() const { return kFrameHeaderBytes + payload.size(); }
};
void encode_record(const Record& record, std::string& out);
std::string encode(const Frame& frame, std::uint64_t store, std::uint64_t offset);
// The frame at the front of `bytes`, which stands at `offset` of its segment. Nothing: there is no complete
// one.
std::optional<Frame> decode_frame(std::string_view bytes, std::uint64_t store, std::uint64_t offset);
// Only its header, without payload: a frame may have begun here, and its `durable` is certain.
std::optional<Frame> decode_frame_header(std::string_view bytes, std::uint64_t store, std::uint64_t offset);
struct RecordView {  // into the frame's payload
    Record::Type type = Record::Type::put;
    Space space = Space::positions;
    std::string_view key;
    std::string_view value;
    std::uint64_t expires_ms = 0;
    Record copy() const { return {type, space, std::string(key), std::string(value), expires_ms}; }
};
// Appends the frame's records; false where the payload is malformed.
bool decode_records(const Frame& frame, std::vector<RecordView>& out);
bool decode_records(const Frame& frame, std::vector<Record>& out);

struct Manifest {
    struct Segment {
        std::uint64_t number = 0;
        bool sealed = false;
        // Of a sealed one: XXH3-64 of its first `length` bytes. Else `length` was synced when this was
        // written.
        std::uint64_t length = 0;
        std::uint64_t checksum = 0;
        bool operator==(const Segment&) const = default;
    };
    std::uint64_t store = 0;         // random, chosen when the store was made
    std::uint64_t epoch = 0;         // grows by one with each manifest
    std::uint64_t next_segment = 1;  // number
    std::vector<Segment> segments;   // from the oldest; at most the last is not sealed
    bool operator==(const Manifest&) const = default;
};
std::string encode(const Manifest& manifest);
// `damaged_at`: the offset of the damage, where there is any.
DecodeResult decode(std::string_view bytes, Manifest& manifest, std::size_t& damaged_at);

// File names of segments, keys of positions, integers as values. Parsers give nothing for other texts.
std::string segment_name(std::uint64_t number);
std::optional<std::uint64_t> segment_number(std::string_view name);
std::string position_key(std::uint64_t session);
std::optional<std::uint64_t> parse_position_key(std::string_view key);
std::string encode_u64(std::uint64_t value);
std::optional<std::uint64_t> decode_u64(std::string_view bytes);

}  // namespace indigovane::store
