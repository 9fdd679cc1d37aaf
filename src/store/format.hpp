// The bytes on disk: docs/store.md, "Log", to the byte. No I/O here. Integers are little-endian; lengths
// bounded.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace indigovane::store {

enum class Space : std::uint8_t { positions = 0, hosts = 1, list = 2, shapes = 3, operators = 4, system = 5 };
constexpr std::size_t kSpaces = 6;
const char* name(Space space);
std::optional<Space> read_space(std::string_view name);

struct Record {
    enum class Type : std::uint8_t { put = 1, remove = 2 } type = Type::put;
    Space space = Space::positions;
    std::string key, value;  // the key of a position: 8 bytes, big-endian, so that order is the number's
    std::uint64_t expires_ms = 0;  // Unix; 0: never
    bool operator==(const Record&) const = default;
};

constexpr std::uint32_t kVersion = 1;
constexpr std::size_t kHeader = 64, kFrameHead = 48;
constexpr std::size_t kKeyMost = 1024, kValueMost = 1 << 20, kPayloadMost = 4 << 20;

struct SegmentHeader {
    std::uint64_t store = 0, segment = 0, first = 0;  // sequence of its first record
    bool operator==(const SegmentHeader&) const = default;
};
std::string encode(const SegmentHeader& header);
enum class Read { well, wrong, newer };  // newer: of a version that this program does not know
Read decode(std::string_view bytes, SegmentHeader& header);

struct Frame {
    std::uint64_t sequence = 0;  // of the first record; the others follow one by one
    std::uint64_t durable = 0;   // bytes of the segment that were known to be synced when it was written
    std::uint32_t count = 0;
    std::string_view payload;
    std::size_t size() const { return kFrameHead + payload.size(); }
};
void encode_record(const Record& record, std::string& out);
std::string encode(const Frame& frame, std::uint64_t store, std::uint64_t offset);
// The frame at the front of `bytes`, which stands at `offset` of its segment. Nothing: there is no whole one.
std::optional<Frame> decode_frame(std::string_view bytes, std::uint64_t store, std::uint64_t offset);
// Only the head: a frame may have begun here. What it says of `durable` is certain.
std::optional<Frame> decode_frame_head(std::string_view bytes, std::uint64_t store, std::uint64_t offset);
struct RecordView {  // into the frame
    Record::Type type = Record::Type::put;
    Space space = Space::positions;
    std::string_view key, value;
    std::uint64_t expires_ms = 0;
    Record copy() const { return {type, space, std::string(key), std::string(value), expires_ms}; }
};
bool decode_records(const Frame& frame, std::vector<RecordView>& out);
bool decode_records(const Frame& frame, std::vector<Record>& out);

struct Manifest {
    struct Segment {
        std::uint64_t number = 0;
        bool sealed = false;
        // Of a sealed one: XXH3-64 of its first `length` bytes. Else `length` was synced when this was
        // written.
        std::uint64_t length = 0, checksum = 0;
        bool operator==(const Segment&) const = default;
    };
    std::uint64_t store = 0, epoch = 0, next = 1;  // number of the next segment
    std::vector<Segment> segments;                 // from the oldest; at most the last is not sealed
    bool operator==(const Manifest&) const = default;
};
std::string encode(const Manifest& manifest);
Read decode(std::string_view bytes, Manifest& manifest, std::size_t& wrong_at);

std::string segment_name(std::uint64_t number);
std::optional<std::uint64_t> segment_number(std::string_view name);
std::string position_key(std::uint64_t session);
std::optional<std::uint64_t> read_position_key(std::string_view key);
std::string encode_u64(std::uint64_t value);
std::optional<std::uint64_t> decode_u64(std::string_view bytes);

// XXH3-64, in pieces.
class Checksum {
  public:
    Checksum();
    ~Checksum();
    Checksum(const Checksum&) = delete;
    Checksum& operator=(const Checksum&) = delete;
    void add(std::string_view bytes);
    std::uint64_t value() const;

  private:
    void* state_;
};
std::uint64_t checksum(std::string_view bytes, std::uint64_t seed = 0);

}  // namespace indigovane::store
