#include "store/format.hpp"

#include <bit>
#include <cstring>

namespace indigovane::store {

namespace {

static_assert(std::endian::native == std::endian::little, "written for little-endian machines");

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
void put(std::string& out, T value) {
    out.append(reinterpret_cast<const char*>(&value), sizeof value);
}
template <typename T>
T get(std::string_view bytes, std::size_t at) {
    T value;
    std::memcpy(&value, bytes.data() + at, sizeof value);
    return value;
}
// Makes a frame that turns up in another store or at another offset invalid.
std::uint64_t frame_seed(std::uint64_t store, std::uint64_t offset) {
    return store * 0x9e3779b97f4a7c15u ^ offset;
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
    put<std::uint32_t>(out, kFormatVersion);
    put<std::uint32_t>(out, 0);
    put(out, header.store);
    put(out, header.segment);
    put(out, header.first_sequence);
    out.append(kSegmentReservedBytes, '\0');
    put(out, checksum(out));
    return out;
}

DecodeResult decode(std::string_view bytes, SegmentHeader& header) {
    if (bytes.size() < kSegmentHeaderBytes || bytes.substr(0, kMagicBytes) != kSegmentMagic)
        return DecodeResult::damaged;
    if (checksum(bytes.substr(0, kSegmentChecksumOffset)) !=
        get<std::uint64_t>(bytes, kSegmentChecksumOffset))
        return DecodeResult::damaged;
    if (get<std::uint32_t>(bytes, kVersionOffset) > kFormatVersion) return DecodeResult::newer_version;
    header.store = get<std::uint64_t>(bytes, 16);
    header.segment = get<std::uint64_t>(bytes, 24);
    header.first_sequence = get<std::uint64_t>(bytes, 32);
    return DecodeResult::ok;
}

// ---- frames --------------------------------------------------------------------------------------

void encode_record(const Record& record, std::string& out) {
    put(out, std::uint8_t(record.type));
    put(out, std::uint8_t(record.space));
    put(out, std::uint16_t(record.key.size()));
    put(out, std::uint32_t(record.value.size()));
    put(out, record.expires_ms);
    out += record.key;
    out += record.value;
}

std::string encode(const Frame& frame, std::uint64_t store, std::uint64_t offset) {
    std::string out;
    out.reserve(frame.size());
    put(out, kFrameMagic);
    put(out, std::uint32_t(frame.payload.size()));
    put(out, frame.sequence);
    put(out, frame.durable);
    put(out, frame.count);
    put<std::uint32_t>(out, 0);
    put(out, checksum(out, frame_seed(store, offset)));
    put(out, checksum(frame.payload, frame_seed(store, offset + 1)));
    out += frame.payload;
    return out;
}

std::optional<Frame> decode_frame_header(std::string_view bytes, std::uint64_t store, std::uint64_t offset) {
    if (bytes.size() < kFrameHeaderBytes || get<std::uint32_t>(bytes, 0) != kFrameMagic) return std::nullopt;
    if (checksum(bytes.substr(0, kFrameChecksumOffset), frame_seed(store, offset)) !=
        get<std::uint64_t>(bytes, kFrameChecksumOffset))
        return std::nullopt;
    Frame frame;
    frame.sequence = get<std::uint64_t>(bytes, 8);
    frame.durable = get<std::uint64_t>(bytes, 16);
    frame.count = get<std::uint32_t>(bytes, 24);
    return frame;
}

std::optional<Frame> decode_frame(std::string_view bytes, std::uint64_t store, std::uint64_t offset) {
    auto frame = decode_frame_header(bytes, store, offset);
    if (!frame) return std::nullopt;
    std::size_t length = get<std::uint32_t>(bytes, kFrameLengthOffset);
    if (length > kMaxPayloadBytes || bytes.size() - kFrameHeaderBytes < length) return std::nullopt;
    frame->payload = bytes.substr(kFrameHeaderBytes, length);
    if (checksum(frame->payload, frame_seed(store, offset + 1)) !=
        get<std::uint64_t>(bytes, kPayloadChecksumOffset))
        return std::nullopt;
    return frame;
}

namespace {
// Removes a record from the front of `payload`; nothing: it is malformed.
std::optional<RecordView> decode_record(std::string_view& payload) {
    if (payload.size() < kRecordHeaderBytes) return std::nullopt;
    auto type = get<std::uint8_t>(payload, 0);
    auto space = get<std::uint8_t>(payload, 1);
    bool type_known = type == std::uint8_t(Record::Type::put) || type == std::uint8_t(Record::Type::remove);
    if (!type_known || space >= kSpaceCount) return std::nullopt;
    std::size_t key_bytes = get<std::uint16_t>(payload, 2);
    std::size_t value_bytes = get<std::uint32_t>(payload, 4);
    RecordView record;
    record.type = Record::Type(type);
    record.space = Space(space);
    record.expires_ms = get<std::uint64_t>(payload, 8);
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
    for (std::uint32_t i = 0; i < frame.count; ++i) {
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
    put<std::uint32_t>(out, kFormatVersion);
    put<std::uint32_t>(out, std::uint32_t(manifest.segments.size()));
    put(out, manifest.store);
    put(out, manifest.epoch);
    put(out, manifest.next_segment);
    for (const auto& segment : manifest.segments) {
        put(out, segment.number);
        put<std::uint64_t>(out, segment.sealed ? 1 : 0);
        put(out, segment.length);
        put(out, segment.checksum);
    }
    put(out, checksum(out));
    return out;
}

DecodeResult decode(std::string_view bytes, Manifest& manifest, std::size_t& damaged_at) {
    damaged_at = 0;
    if (bytes.size() < kManifestHeaderBytes + kChecksumBytes ||
        bytes.substr(0, kMagicBytes) != kManifestMagic)
        return DecodeResult::damaged;
    std::size_t checksum_offset = bytes.size() - kChecksumBytes;
    damaged_at = checksum_offset;
    if (checksum(bytes.substr(0, checksum_offset)) != get<std::uint64_t>(bytes, checksum_offset))
        return DecodeResult::damaged;
    if (get<std::uint32_t>(bytes, kVersionOffset) > kFormatVersion) return DecodeResult::newer_version;
    std::size_t count = get<std::uint32_t>(bytes, kManifestCountOffset);
    damaged_at = kManifestCountOffset;
    if (bytes.size() != kManifestHeaderBytes + count * kManifestSegmentBytes + kChecksumBytes)
        return DecodeResult::damaged;
    manifest = {};
    manifest.store = get<std::uint64_t>(bytes, 16);
    manifest.epoch = get<std::uint64_t>(bytes, 24);
    manifest.next_segment = get<std::uint64_t>(bytes, 32);
    for (std::size_t i = 0; i < count; ++i) {
        std::size_t offset = kManifestHeaderBytes + i * kManifestSegmentBytes;
        damaged_at = offset;
        Manifest::Segment segment;
        segment.number = get<std::uint64_t>(bytes, offset);
        segment.sealed = get<std::uint64_t>(bytes, offset + 8) == 1;
        segment.length = get<std::uint64_t>(bytes, offset + 16);
        segment.checksum = get<std::uint64_t>(bytes, offset + 24);
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
    put(out, value);
    return out;
}

std::optional<std::uint64_t> decode_u64(std::string_view bytes) {
    return bytes.size() == 8 ? std::optional(get<std::uint64_t>(bytes, 0)) : std::nullopt;
}

}  // namespace indigovane::store
