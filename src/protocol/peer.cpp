#include "protocol/peer.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace indigovane::protocol::peer {

namespace {
constexpr std::size_t kHead = 20, kTail = 4, kFixed = 12;  // of a primary's entry, beside the uid
constexpr char kVersion = 1, kPrimary = 1;

template <typename T>
void put(std::string& out, T value) {
    for (int shift = int(sizeof(T)) * 8 - 8; shift >= 0; shift -= 8)
        out.push_back(char(std::uint64_t(value) >> shift & 0xff));
}

template <typename T>
T take(std::string_view& in) {  // its length has been checked
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) value = value << 8 | std::uint8_t(in[i]);
    in.remove_prefix(sizeof(T));
    return T(value);
}

std::uint32_t sum_of(std::string_view bytes) {
    return XXH32(bytes.data(), bytes.size(), 0);
}
}  // namespace

std::uint32_t cluster_number(std::string_view name) {
    return XXH32(name.data(), name.size(), 0x1d1f0a7e);
}

std::string write(Message& message) {
    std::string out = "IV";
    put(out, kVersion);
    put(out, char(0));
    put(out, message.cluster);
    put(out, message.incarnation);
    put(out, message.number);
    auto& all = message.primaries;
    std::size_t used = 0;
    int entries = 0;
    for (; used < all.size(); ++used) {
        const Primary& p = all[used];
        if (p.uid.empty() || p.uid.size() > kLongestUid) continue;
        if (out.size() + 2 + kFixed + p.uid.size() + kTail > kLargest) break;
        put(out, kPrimary);
        put(out, std::uint8_t(kFixed + p.uid.size()));
        put(out, p.group);
        put(out, p.as_of_unix_us);
        out += p.uid;
        ++entries;
    }
    all.erase(all.begin(), all.begin() + std::ptrdiff_t(used));
    out[3] = char(entries);
    put(out, sum_of(out));
    return out;
}

std::optional<Message> read(std::string_view in) {
    if (in.size() < kHead + kTail || in.size() > kLargest || in.substr(0, 2) != "IV") return std::nullopt;
    std::string_view tail = in.substr(in.size() - kTail);
    in.remove_suffix(kTail);
    if (take<std::uint32_t>(tail) != sum_of(in)) return std::nullopt;
    in.remove_prefix(2);
    if (take<std::uint8_t>(in) != kVersion) return std::nullopt;
    int entries = take<std::uint8_t>(in);
    Message m;
    m.cluster = take<std::uint32_t>(in);
    m.incarnation = take<std::uint64_t>(in);
    m.number = take<std::uint32_t>(in);
    for (; entries > 0; --entries) {
        if (in.size() < 2) return std::nullopt;
        int kind = take<std::uint8_t>(in);
        std::size_t length = take<std::uint8_t>(in);
        if (length > in.size()) return std::nullopt;
        std::string_view entry = in.substr(0, length);
        in.remove_prefix(length);
        if (kind != kPrimary) continue;
        if (length <= kFixed || length > kFixed + kLongestUid) return std::nullopt;
        Primary p;
        p.group = take<std::uint32_t>(entry);
        p.as_of_unix_us = take<std::int64_t>(entry);
        p.uid = entry;
        m.primaries.push_back(std::move(p));
    }
    if (!in.empty()) return std::nullopt;
    return m;
}

}  // namespace indigovane::protocol::peer
