// Datagrams between poolers, of 256 bytes at most: who was seen as primary, and when. Big-endian:
//   0 "IV", 2 version, 3 entries, 4 cluster (u32), 8 incarnation (u64), 16 number (u32), 20 entries,
//   and last the XXH32 of all that stands before it.
// An entry: its kind, the length of what follows, then for a primary (kind 1) group (u32), as of (i64, Unix
// time in microseconds), uid. Entries of other kinds are passed over, so that versions may differ within a
// fleet.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace indigovane::protocol::peer {

inline constexpr std::size_t kLargest = 256;  // bytes; the platform takes no longer one
inline constexpr std::size_t kLongestUid = 64;

struct Primary {
    std::uint32_t group = 0;
    std::int64_t as_of_unix_us = 0;
    std::string uid;  // 1 to kLongestUid bytes
    bool operator==(const Primary&) const = default;
};

struct Message {
    std::uint32_t cluster = 0;      // of another cluster: not for this pooler
    std::uint64_t incarnation = 0;  // of the sender: another one after each start
    std::uint32_t number = 0;       // grows within an incarnation
    std::vector<Primary> primaries;
    bool operator==(const Message&) const = default;
};

std::uint32_t cluster_number(std::string_view name);

// Takes from the front of `message.primaries` as many as fit; those that can't be written at all are dropped.
std::string write(Message& message);
std::optional<Message> read(std::string_view datagram);  // nothing: malformed

}  // namespace indigovane::protocol::peer
