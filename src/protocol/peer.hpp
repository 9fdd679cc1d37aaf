// Datagrams between poolers, of at most 256 bytes. They report which endpoints were seen as primaries, and
// when. All numbers are big-endian. Byte offsets and fields:
//   0 "IV", 2 version (u8), 3 number of entries (u8), 4 cluster (u32), 8 incarnation (u64), 16 number (u32),
//   20 entries, and at the end the XXH32 (u32) of all bytes before it.
// An entry consists of its kind (u8), the length of the remainder (u8) and the remainder. For a primary (kind
// 1) this is the group (u32), the time of the observation (i64, Unix time in microseconds) and the uid.
// Entries of other kinds are skipped, so that poolers of different versions can run in one fleet.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace indigovane::protocol::peer {

// Maximum size of a datagram. The platform does not accept longer ones.
inline constexpr std::size_t kMaxDatagramBytes = 256;
// Maximum length of a uid in bytes.
inline constexpr std::size_t kMaxUidBytes = 64;

struct Primary {
    std::uint32_t group = 0;
    std::int64_t as_of_unix_us = 0;
    // 1 to kMaxUidBytes bytes.
    std::string uid;
    bool operator==(const Primary&) const = default;
};

struct Message {
    // Cluster of the sender, see cluster_number(). A pooler ignores messages of other clusters.
    std::uint32_t cluster = 0;
    // Incarnation of the sender. It changes with each start of the process.
    std::uint64_t incarnation = 0;
    // Sequence number, which increases within an incarnation.
    std::uint32_t number = 0;
    std::vector<Primary> primaries;
    bool operator==(const Message&) const = default;
};

// A hash of the cluster's name.
std::uint32_t cluster_number(std::string_view name);

// Writes as many entries from the front of `message.primaries` as fit into one datagram and removes them from
// the message. Entries whose uid is empty or too long are dropped.
std::string write(Message& message);
// Returns nothing if the datagram is malformed.
std::optional<Message> read(std::string_view datagram);

}  // namespace indigovane::protocol::peer
