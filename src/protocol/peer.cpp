#include "protocol/peer.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace indigovane::protocol::peer {

namespace {
// Sizes in bytes of the header, of the checksum, and of the group and time that precede a primary's uid.
constexpr std::size_t kHeaderBytes = 20, kChecksumBytes = 4, kFixedEntryBytes = 12;
constexpr char kVersion = 1, kPrimaryKind = 1;

template <typename T>
void put_number(std::string& out, T value) {
    for (int shift = int(sizeof(T)) * 8 - 8; shift >= 0; shift -= 8)
        out.push_back(char(std::uint64_t(value) >> shift & 0xff));
}

// Takes a number from the front of `in`. The caller has checked that there are enough bytes.
template <typename T>
T take_number(std::string_view& in) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) value = value << 8 | std::uint8_t(in[i]);
    in.remove_prefix(sizeof(T));
    return T(value);
}

std::uint32_t checksum(std::string_view bytes) {
    return XXH32(bytes.data(), bytes.size(), 0);
}
}  // namespace

std::uint32_t cluster_number(std::string_view name) {
    return XXH32(name.data(), name.size(), 0x1d1f0a7e);
}

std::string write(Message& message) {
    std::string out = "IV";
    put_number(out, kVersion);
    put_number(out, char(0));
    put_number(out, message.cluster);
    put_number(out, message.incarnation);
    put_number(out, message.number);
    auto& primaries = message.primaries;
    std::size_t handled = 0;
    int entries = 0;
    for (; handled < primaries.size(); ++handled) {
        const Primary& primary = primaries[handled];
        if (primary.uid.empty() || primary.uid.size() > kMaxUidBytes) continue;
        if (out.size() + 2 + kFixedEntryBytes + primary.uid.size() + kChecksumBytes > kMaxDatagramBytes)
            break;
        put_number(out, kPrimaryKind);
        put_number(out, std::uint8_t(kFixedEntryBytes + primary.uid.size()));
        put_number(out, primary.group);
        put_number(out, primary.as_of_unix_us);
        out += primary.uid;
        ++entries;
    }
    primaries.erase(primaries.begin(), primaries.begin() + std::ptrdiff_t(handled));
    out[3] = char(entries);
    put_number(out, checksum(out));
    return out;
}

std::optional<Message> read(std::string_view in) {
    if (in.size() < kHeaderBytes + kChecksumBytes || in.size() > kMaxDatagramBytes || in.substr(0, 2) != "IV")
        return std::nullopt;
    std::string_view checksum_bytes = in.substr(in.size() - kChecksumBytes);
    in.remove_suffix(kChecksumBytes);
    if (take_number<std::uint32_t>(checksum_bytes) != checksum(in)) return std::nullopt;
    in.remove_prefix(2);
    if (take_number<std::uint8_t>(in) != kVersion) return std::nullopt;
    int entries = take_number<std::uint8_t>(in);
    Message message;
    message.cluster = take_number<std::uint32_t>(in);
    message.incarnation = take_number<std::uint64_t>(in);
    message.number = take_number<std::uint32_t>(in);
    for (; entries > 0; --entries) {
        if (in.size() < 2) return std::nullopt;
        int kind = take_number<std::uint8_t>(in);
        std::size_t length = take_number<std::uint8_t>(in);
        if (length > in.size()) return std::nullopt;
        std::string_view entry = in.substr(0, length);
        in.remove_prefix(length);
        if (kind != kPrimaryKind) continue;
        if (length <= kFixedEntryBytes || length > kFixedEntryBytes + kMaxUidBytes) return std::nullopt;
        Primary primary;
        primary.group = take_number<std::uint32_t>(entry);
        primary.as_of_unix_us = take_number<std::int64_t>(entry);
        primary.uid = entry;
        message.primaries.push_back(std::move(primary));
    }
    if (!in.empty()) return std::nullopt;
    return message;
}

}  // namespace indigovane::protocol::peer
