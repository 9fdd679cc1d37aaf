#include "store/format.hpp"

#include <bit>
#include <cstring>

namespace indigovane::store {

namespace {

static_assert(std::endian::native == std::endian::little,
              "the on-disk format requires a little-endian machine");

constexpr std::string_view kSegmentMagic("IGVSEG1\0", 8);
constexpr std::string_view kManifestMagic("IGVMAN1\0", 8);
constexpr std::uint32_t kFrameMagic = 0x46564749;  // "IGVF"

// Sizes and offsets in bytes.
constexpr std::size_t kMagicBytes = 8;
constexpr std::size_t kChecksumBytes = 8;
constexpr std::size_t kVersionOffset = 8;
constexpr std::size_t kSegmentChecksumOffset = kSegmentHeaderBytes - kChecksumBytes;
constexpr std::size_t kSegmentReservedBytes = 16;
constexpr std::size_t kFrameLengthOffset = 4;
constexpr std::size_t kFrameChecksumOffset = 32;
constexpr std::size_t kPayloadChecksumOffset = 40;
constexpr std::size_t kManifestCountOffset = 12;
constexpr std::size_t kManifestHeaderBytes = 40;
constexpr std::size_t kManifestSegmentBytes = 32;

template <typename T>
void append_integer(std::string& out, T value) {
    out.append(reinterpret_cast<const char*>(&value), sizeof value);
}
template <typename T>
T read_integer(std::string_view bytes, std::size_t offset) {
    T value;
    std::memcpy(&value, bytes.data() + offset, sizeof value);
    return value;
}
// The seed makes a frame invalid if it appears in another store or at another offset.
std::uint64_t frame_seed(std::uint64_t store_number, std::uint64_t offset) {
    return store_number * 0x9e3779b97f4a7c15u ^ offset;
}

}  // namespace

const char* name(Space space) {
    static constexpr const char* kNames[] = {"positions", "hosts", "list", "shapes", "operators", "system"};
    return kNames[std::size_t(space)];
}

std::optional<Space> parse_space(std::string_view text) {
    for (std::size_t i = 0; i < kSpaceCount; ++i)
        if (text == name(Space(i))) return Space(i);
    return std::nullopt;
}

// ---- segments ------------------------------------------------------------------------------------

std::string encode(const SegmentHeader& header) {
    std::string out(kSegmentMagic);
    append_integer<std::uint32_t>(out, kFormatVersion);
    append_integer<std::uint32_t>(out, 0);
    append_integer(out, header.store_number);
    append_integer(out, header.segment);
    append_integer(out, header.first_sequence);
    out.append(kSegmentReservedBytes, '\0');
    append_integer(out, checksum(out));
    return out;
}

DecodeResult decode(std::string_view bytes, SegmentHeader& header) {
    if (bytes.size() < kSegmentHeaderBytes || bytes.substr(0, kMagicBytes) != kSegmentMagic)
        return DecodeResult::damaged;
    if (checksum(bytes.substr(0, kSegmentChecksumOffset)) !=
        read_integer<std::uint64_t>(bytes, kSegmentChecksumOffset))
        return DecodeResult::damaged;
    if (read_integer<std::uint32_t>(bytes, kVersionOffset) > kFormatVersion)
        return DecodeResult::newer_version;
    header.store_number = read_integer<std::uint64_t>(bytes, 16);
    header.segment = read_integer<std::uint64_t>(bytes, 24);
    header.first_sequence = read_integer<std::uint64_t>(bytes, 32);
    return DecodeResult::ok;
}

// ---- frames --------------------------------------------------------------------------------------

void encode_record(const Record& record, std::string& out) {
    append_integer(out, std::uint8_t(record.type));
    append_integer(out, std::uint8_t(record.space));
    append_integer(out, std::uint16_t(record.key.size()));
    append_integer(out, std::uint32_t(record.value.size()));
    append_integer(out, record.expires_ms);
    out += record.key;
    out += record.value;
}

std::string encode(const Frame& frame, std::uint64_t store_number, std::uint64_t offset) {
    std::string out;
    out.reserve(frame.size());
    append_integer(out, kFrameMagic);
    append_integer(out, std::uint32_t(frame.payload.size()));
    append_integer(out, frame.first_sequence);
    append_integer(out, frame.durable_length);
    append_integer(out, frame.record_count);
    append_integer<std::uint32_t>(out, 0);
    append_integer(out, checksum(out, frame_seed(store_number, offset)));
    append_integer(out, checksum(frame.payload, frame_seed(store_number, offset + 1)));
    out += frame.payload;
    return out;
}

std::optional<Frame> decode_frame_header(std::string_view bytes, std::uint64_t store_number,
                                         std::uint64_t offset) {
    if (bytes.size() < kFrameHeaderBytes || read_integer<std::uint32_t>(bytes, 0) != kFrameMagic)
        return std::nullopt;
    if (checksum(bytes.substr(0, kFrameChecksumOffset), frame_seed(store_number, offset)) !=
        read_integer<std::uint64_t>(bytes, kFrameChecksumOffset))
        return std::nullopt;
    Frame frame;
    frame.first_sequence = read_integer<std::uint64_t>(bytes, 8);
    frame.durable_length = read_integer<std::uint64_t>(bytes, 16);
    frame.record_count = read_integer<std::uint32_t>(bytes, 24);
    return frame;
}

std::optional<Frame> decode_frame(std::string_view bytes, std::uint64_t store_number, std::uint64_t offset) {
    auto frame = decode_frame_header(bytes, store_number, offset);
    if (!frame) return std::nullopt;
    std::size_t length = read_integer<std::uint32_t>(bytes, kFrameLengthOffset);
    if (length > kMaxPayloadBytes || bytes.size() - kFrameHeaderBytes < length) return std::nullopt;
    frame->payload = bytes.substr(kFrameHeaderBytes, length);
    if (checksum(frame->payload, frame_seed(store_number, offset + 1)) !=
        read_integer<std::uint64_t>(bytes, kPayloadChecksumOffset))
        return std::nullopt;
    return frame;
}

namespace {
// Removes and returns the first record of `payload`, or returns nothing if it is malformed.
std::optional<RecordView> decode_record(std::string_view& payload) {
    if (payload.size() < kRecordHeaderBytes) return std::nullopt;
    auto type = read_integer<std::uint8_t>(payload, 0);
    auto space = read_integer<std::uint8_t>(payload, 1);
    bool is_known_type =
        type == std::uint8_t(Record::Type::put) || type == std::uint8_t(Record::Type::remove);
    if (!is_known_type || space >= kSpaceCount) return std::nullopt;
    std::size_t key_bytes = read_integer<std::uint16_t>(payload, 2);
    std::size_t value_bytes = read_integer<std::uint32_t>(payload, 4);
    RecordView record;
    record.type = Record::Type(type);
    record.space = Space(space);
    record.expires_ms = read_integer<std::uint64_t>(payload, 8);
    payload.remove_prefix(kRecordHeaderBytes);
    if (key_bytes > kMaxKeyBytes || value_bytes > kMaxValueBytes) return std::nullopt;
    if (payload.size() < key_bytes + value_bytes) return std::nullopt;
    record.key = payload.substr(0, key_bytes);
    record.value = payload.substr(key_bytes, value_bytes);
    payload.remove_prefix(key_bytes + value_bytes);
    return record;
}
}  // namespace

bool decode_records(const Frame& frame, std::vector<RecordView>& out) {
    std::string_view payload = frame.payload;
    for (std::uint32_t i = 0; i < frame.record_count; ++i) {
        auto record = decode_record(payload);
        if (!record) return false;
        out.push_back(*record);
    }
    return payload.empty();
}

bool decode_records(const Frame& frame, std::vector<Record>& out) {
    std::vector<RecordView> views;
    if (!decode_records(frame, views)) return false;
    for (const RecordView& view : views) out.push_back(view.copy());
    return true;
}

// ---- the manifest --------------------------------------------------------------------------------

std::string encode(const Manifest& manifest) {
    std::string out(kManifestMagic);
    append_integer<std::uint32_t>(out, kFormatVersion);
    append_integer<std::uint32_t>(out, std::uint32_t(manifest.segments.size()));
    append_integer(out, manifest.store_number);
    append_integer(out, manifest.epoch);
    append_integer(out, manifest.next_segment);
    for (const auto& segment : manifest.segments) {
        append_integer(out, segment.number);
        append_integer<std::uint64_t>(out, segment.sealed ? 1 : 0);
        append_integer(out, segment.length);
        append_integer(out, segment.checksum);
    }
    append_integer(out, checksum(out));
    return out;
}

DecodeResult decode(std::string_view bytes, Manifest& manifest, std::size_t& damaged_at) {
    damaged_at = 0;
    if (bytes.size() < kManifestHeaderBytes + kChecksumBytes ||
        bytes.substr(0, kMagicBytes) != kManifestMagic)
        return DecodeResult::damaged;
    std::size_t checksum_offset = bytes.size() - kChecksumBytes;
    damaged_at = checksum_offset;
    if (checksum(bytes.substr(0, checksum_offset)) != read_integer<std::uint64_t>(bytes, checksum_offset))
        return DecodeResult::damaged;
    if (read_integer<std::uint32_t>(bytes, kVersionOffset) > kFormatVersion)
        return DecodeResult::newer_version;
    std::size_t count = read_integer<std::uint32_t>(bytes, kManifestCountOffset);
    damaged_at = kManifestCountOffset;
    if (bytes.size() != kManifestHeaderBytes + count * kManifestSegmentBytes + kChecksumBytes)
        return DecodeResult::damaged;
    manifest = {};
    manifest.store_number = read_integer<std::uint64_t>(bytes, 16);
    manifest.epoch = read_integer<std::uint64_t>(bytes, 24);
    manifest.next_segment = read_integer<std::uint64_t>(bytes, 32);
    for (std::size_t i = 0; i < count; ++i) {
        std::size_t offset = kManifestHeaderBytes + i * kManifestSegmentBytes;
        damaged_at = offset;
        Manifest::Segment segment;
        segment.number = read_integer<std::uint64_t>(bytes, offset);
        segment.sealed = read_integer<std::uint64_t>(bytes, offset + 8) == 1;
        segment.length = read_integer<std::uint64_t>(bytes, offset + 16);
        segment.checksum = read_integer<std::uint64_t>(bytes, offset + 24);
        std::uint64_t last = manifest.segments.empty() ? 0 : manifest.segments.back().number;
        if (segment.number <= last || segment.number >= manifest.next_segment) return DecodeResult::damaged;
        if (!segment.sealed && i + 1 != count) return DecodeResult::damaged;
        manifest.segments.push_back(segment);
    }
    return DecodeResult::ok;
}

// ---- names and keys ------------------------------------------------------------------------------

std::string segment_name(std::uint64_t number) {
    static constexpr char kDigits[] = "0123456789abcdef";
    std::string out;
    for (int shift = 60; shift >= 0; shift -= 4) out += kDigits[number >> shift & 15];
    return out + ".seg";
}

std::optional<std::uint64_t> segment_number(std::string_view name) {
    if (name.size() != 20 || name.substr(16) != ".seg") return std::nullopt;
    std::uint64_t out = 0;
    for (char c : name.substr(0, 16)) {
        int digit = c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
        if (digit < 0) return std::nullopt;
        out = out << 4 | std::uint64_t(digit);
    }
    return out;
}

std::string position_key(std::uint64_t session) {
    std::string out;
    for (int shift = 56; shift >= 0; shift -= 8) out += char(session >> shift);
    return out;
}

std::optional<std::uint64_t> parse_position_key(std::string_view key) {
    if (key.size() != 8) return std::nullopt;
    std::uint64_t out = 0;
    for (char c : key) out = out << 8 | std::uint8_t(c);
    return out;
}

std::string encode_u64(std::uint64_t value) {
    std::string out;
    append_integer(out, value);
    return out;
}

std::optional<std::uint64_t> decode_u64(std::string_view bytes) {
    return bytes.size() == 8 ? std::optional(read_integer<std::uint64_t>(bytes, 0)) : std::nullopt;
}

}  // namespace indigovane::store
