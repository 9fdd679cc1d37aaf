// The on-disk format, as docs/store.md, "Log", specifies it byte by byte. Integers are little-endian and
// lengths are bounded. The functions do no I/O and have no state, so any thread may call them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/checksum.hpp"

namespace indigovane::store {

// A key space: keys of one purpose. docs/store.md has a table of them.
enum class Space : std::uint8_t { positions = 0, hosts = 1, list = 2, shapes = 3, operators = 4, system = 5 };
constexpr std::size_t kSpaceCount = 6;
const char* name(Space space);
std::optional<Space> parse_space(std::string_view name);

struct Record {
    enum class Type : std::uint8_t { put = 1, remove = 2 } type = Type::put;
    Space space = Space::positions;
    // In Space::positions: the session's number as 8 big-endian bytes, so that keys sort by number.
    std::string key;
    std::string value;
    std::uint64_t expires_ms = 0;  // Unix time in milliseconds; 0 means never
    bool operator==(const Record&) const = default;
};

constexpr std::uint32_t kFormatVersion = 1;
constexpr std::size_t kSegmentHeaderBytes = 64;
constexpr std::size_t kFrameHeaderBytes = 48;
constexpr std::size_t kRecordHeaderBytes = 16;
constexpr std::size_t kMaxKeyBytes = 1024;
constexpr std::size_t kMaxValueBytes = 1 << 20;
constexpr std::size_t kMaxPayloadBytes = 4 << 20;

// Size of a record in the log without its frame's header, from the sizes of its key and value, all in bytes.
constexpr std::uint64_t record_bytes(std::size_t key, std::size_t value) {
    return kRecordHeaderBytes + key + value;
}

struct SegmentHeader {
    std::uint64_t store_number = 0;    // as in the manifest
    std::uint64_t segment = 0;         // number of the segment
    std::uint64_t first_sequence = 0;  // sequence number of its first record
    bool operator==(const SegmentHeader&) const = default;
};
std::string encode(const SegmentHeader& header);
enum class DecodeResult {
    ok,
    damaged,
    newer_version,  // the format version is newer than this program knows
};
// Sets `header` only if the result is `ok`.
DecodeResult decode(std::string_view bytes, SegmentHeader& header);

// One atomic batch of records.
struct Frame {
    std::uint64_t first_sequence = 0;  // sequence number of the first record; the others follow by one each
    // Bytes of the segment that were known to be synced when this frame was written.
    std::uint64_t durable_length = 0;
    std::uint32_t record_count = 0;
    std::string_view payload;
    // Size of header and payload in bytes.
    std::size_t size() const { return kFrameHeaderBytes + payload.size(); }
};
void encode_record(const Record& record, std::string& out);
// `offset`: where the frame starts in its segment, in bytes.
std::string encode(const Frame& frame, std::uint64_t store_number, std::uint64_t offset);
// Returns the frame at the beginning of `bytes`, which start at `offset` of its segment, or nothing if there
// is no complete valid frame.
std::optional<Frame> decode_frame(std::string_view bytes, std::uint64_t store_number, std::uint64_t offset);
// Decodes only the header: the payload may be missing or damaged, but `durable_length` is valid.
std::optional<Frame> decode_frame_header(std::string_view bytes, std::uint64_t store_number,
                                         std::uint64_t offset);
// A record whose key and value refer to the frame's payload.
struct RecordView {
    Record::Type type = Record::Type::put;
    Space space = Space::positions;
    std::string_view key;
    std::string_view value;
    std::uint64_t expires_ms = 0;
    Record copy() const { return {type, space, std::string(key), std::string(value), expires_ms}; }
};
// Appends the frame's records to `out`. Returns false if the payload is malformed.
bool decode_records(const Frame& frame, std::vector<RecordView>& out);
bool decode_records(const Frame& frame, std::vector<Record>& out);

struct Manifest {
    struct Segment {
        std::uint64_t number = 0;
        bool sealed = false;
        // For a sealed segment, `checksum` is the XXH3-64 of its first `length` bytes. For an unsealed one,
        // `length` bytes were synced when the manifest was written.
        std::uint64_t length = 0;
        std::uint64_t checksum = 0;
        bool operator==(const Segment&) const = default;
    };
    std::uint64_t store_number = 0;  // random number chosen when the store was created
    std::uint64_t epoch = 0;         // grows by one with each manifest
    std::uint64_t next_segment = 1;  // number of the next segment
    std::vector<Segment> segments;   // oldest first; only the last one may be unsealed
    bool operator==(const Manifest&) const = default;
};
std::string encode(const Manifest& manifest);
// `damaged_at`: if the result is `damaged`, the offset of the damage in bytes.
DecodeResult decode(std::string_view bytes, Manifest& manifest, std::size_t& damaged_at);

// Conversions of segment file names, position keys and integer values. The parsers return nothing for other
// texts.
std::string segment_name(std::uint64_t number);
std::optional<std::uint64_t> segment_number(std::string_view name);
std::string position_key(std::uint64_t session);
std::optional<std::uint64_t> parse_position_key(std::string_view key);
std::string encode_u64(std::uint64_t value);
std::optional<std::uint64_t> decode_u64(std::string_view bytes);

}  // namespace indigovane::store
