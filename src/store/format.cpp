#include "store/format.hpp"

#include <bit>
#include <cstring>
#include <new>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace indigovane::store {

namespace {

static_assert(std::endian::native == std::endian::little, "written for little-endian machines");

constexpr std::string_view kMagic("IGVSEG1\0", 8), kManifestMagic("IGVMAN1\0", 8);
constexpr std::uint32_t kFrameMagic = 0x46564749;  // "IGVF"

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
std::uint64_t seed(std::uint64_t store, std::uint64_t offset) {
    return store * 0x9e3779b97f4a7c15u ^ offset;
}

}  // namespace

std::uint64_t checksum(std::string_view bytes, std::uint64_t seed) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

Checksum::Checksum() : state_(XXH3_createState()) {
    if (!state_) throw std::bad_alloc();
    XXH3_64bits_reset(static_cast<XXH3_state_t*>(state_));
}
Checksum::~Checksum() {
    XXH3_freeState(static_cast<XXH3_state_t*>(state_));
}
void Checksum::add(std::string_view bytes) {
    XXH3_64bits_update(static_cast<XXH3_state_t*>(state_), bytes.data(), bytes.size());
}
std::uint64_t Checksum::value() const {
    return XXH3_64bits_digest(static_cast<const XXH3_state_t*>(state_));
}

const char* name(Space space) {
    static constexpr const char* names[] = {"positions", "hosts", "list", "shapes", "operators", "system"};
    return names[std::size_t(space)];
}

std::optional<Space> read_space(std::string_view text) {
    for (std::size_t i = 0; i < kSpaces; ++i)
        if (text == name(Space(i))) return Space(i);
    return std::nullopt;
}

// ---- segments ------------------------------------------------------------------------------------

std::string encode(const SegmentHeader& h) {
    std::string out(kMagic);
    put<std::uint32_t>(out, kVersion);
    put<std::uint32_t>(out, 0);
    put(out, h.store);
    put(out, h.segment);
    put(out, h.first);
    out.append(16, '\0');
    put(out, checksum(out));
    return out;
}

Read decode(std::string_view bytes, SegmentHeader& h) {
    if (bytes.size() < kHeader || bytes.substr(0, 8) != kMagic) return Read::wrong;
    if (checksum(bytes.substr(0, 56)) != get<std::uint64_t>(bytes, 56)) return Read::wrong;
    if (get<std::uint32_t>(bytes, 8) > kVersion) return Read::newer;
    h.store = get<std::uint64_t>(bytes, 16);
    h.segment = get<std::uint64_t>(bytes, 24);
    h.first = get<std::uint64_t>(bytes, 32);
    return Read::well;
}

void encode_record(const Record& r, std::string& out) {
    put(out, std::uint8_t(r.type));
    put(out, std::uint8_t(r.space));
    put(out, std::uint16_t(r.key.size()));
    put(out, std::uint32_t(r.value.size()));
    put(out, r.expires_ms);
    out += r.key;
    out += r.value;
}

std::string encode(const Frame& f, std::uint64_t store, std::uint64_t offset) {
    std::string out;
    out.reserve(f.size());
    put(out, kFrameMagic);
    put(out, std::uint32_t(f.payload.size()));
    put(out, f.sequence);
    put(out, f.durable);
    put(out, f.count);
    put<std::uint32_t>(out, 0);
    put(out, checksum(out, seed(store, offset)));
    put(out, checksum(f.payload, seed(store, offset + 1)));
    out += f.payload;
    return out;
}

std::optional<Frame> decode_frame_head(std::string_view bytes, std::uint64_t store, std::uint64_t offset) {
    if (bytes.size() < kFrameHead || get<std::uint32_t>(bytes, 0) != kFrameMagic) return std::nullopt;
    if (checksum(bytes.substr(0, 32), seed(store, offset)) != get<std::uint64_t>(bytes, 32))
        return std::nullopt;
    Frame f;
    f.sequence = get<std::uint64_t>(bytes, 8);
    f.durable = get<std::uint64_t>(bytes, 16);
    f.count = get<std::uint32_t>(bytes, 24);
    return f;
}

std::optional<Frame> decode_frame(std::string_view bytes, std::uint64_t store, std::uint64_t offset) {
    auto f = decode_frame_head(bytes, store, offset);
    if (!f) return std::nullopt;
    std::size_t length = get<std::uint32_t>(bytes, 4);
    if (length > kPayloadMost || bytes.size() - kFrameHead < length) return std::nullopt;
    f->payload = bytes.substr(kFrameHead, length);
    if (checksum(f->payload, seed(store, offset + 1)) != get<std::uint64_t>(bytes, 40)) return std::nullopt;
    return f;
}

bool decode_records(const Frame& frame, std::vector<RecordView>& out) {
    std::string_view in = frame.payload;
    for (std::uint32_t i = 0; i < frame.count; ++i) {
        if (in.size() < 16) return false;
        RecordView r;
        auto type = get<std::uint8_t>(in, 0), space = get<std::uint8_t>(in, 1);
        if (type < 1 || type > 2 || space >= kSpaces) return false;
        r.type = Record::Type(type);
        r.space = Space(space);
        std::size_t key = get<std::uint16_t>(in, 2), value = get<std::uint32_t>(in, 4);
        r.expires_ms = get<std::uint64_t>(in, 8);
        in.remove_prefix(16);
        if (key > kKeyMost || value > kValueMost || in.size() < key + value) return false;
        r.key = in.substr(0, key);
        r.value = in.substr(key, value);
        in.remove_prefix(key + value);
        out.push_back(r);
    }
    return in.empty();
}

bool decode_records(const Frame& frame, std::vector<Record>& out) {
    std::vector<RecordView> views;
    if (!decode_records(frame, views)) return false;
    for (const RecordView& v : views) out.push_back(v.copy());
    return true;
}

// ---- the manifest --------------------------------------------------------------------------------

std::string encode(const Manifest& m) {
    std::string out(kManifestMagic);
    put<std::uint32_t>(out, kVersion);
    put<std::uint32_t>(out, std::uint32_t(m.segments.size()));
    put(out, m.store);
    put(out, m.epoch);
    put(out, m.next);
    for (const auto& s : m.segments) {
        put(out, s.number);
        put<std::uint64_t>(out, s.sealed ? 1 : 0);
        put(out, s.length);
        put(out, s.checksum);
    }
    put(out, checksum(out));
    return out;
}

Read decode(std::string_view bytes, Manifest& m, std::size_t& wrong_at) {
    wrong_at = 0;
    if (bytes.size() < 48 || bytes.substr(0, 8) != kManifestMagic) return Read::wrong;
    wrong_at = bytes.size() - 8;
    if (checksum(bytes.substr(0, bytes.size() - 8)) != get<std::uint64_t>(bytes, bytes.size() - 8))
        return Read::wrong;
    if (get<std::uint32_t>(bytes, 8) > kVersion) return Read::newer;
    std::size_t count = get<std::uint32_t>(bytes, 12);
    wrong_at = 12;
    if (bytes.size() != 40 + count * 32 + 8) return Read::wrong;
    m = {};
    m.store = get<std::uint64_t>(bytes, 16);
    m.epoch = get<std::uint64_t>(bytes, 24);
    m.next = get<std::uint64_t>(bytes, 32);
    for (std::size_t i = 0; i < count; ++i) {
        std::size_t at = 40 + i * 32;
        Manifest::Segment s{get<std::uint64_t>(bytes, at), get<std::uint64_t>(bytes, at + 8) == 1,
                            get<std::uint64_t>(bytes, at + 16), get<std::uint64_t>(bytes, at + 24)};
        wrong_at = at;
        if (s.number == 0 || s.number >= m.next ||
            (!m.segments.empty() && s.number <= m.segments.back().number) || (!s.sealed && i + 1 != count))
            return Read::wrong;
        m.segments.push_back(s);
    }
    return Read::well;
}

std::string segment_name(std::uint64_t number) {
    static constexpr char digits[] = "0123456789abcdef";
    std::string out;
    for (int shift = 60; shift >= 0; shift -= 4) out += digits[number >> shift & 15];
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

std::optional<std::uint64_t> read_position_key(std::string_view key) {
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
