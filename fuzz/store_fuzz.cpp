// libFuzzer: any bytes as a segment, a manifest, or both, through the readers and a whole recovery.
#include <cstdlib>

#include "store/fault_environment.hpp"
#include "store/recovery.hpp"

using namespace indigovane::store;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    std::string_view bytes(reinterpret_cast<const char*>(data), size);
    SegmentHeader header;
    decode(bytes, header);
    Manifest manifest;
    std::size_t at = 0;
    decode(bytes, manifest, at);
    if (at > size) std::abort();
    std::vector<Record> records;
    decode_records(Frame{1, 0, 1000, bytes}, records);
    // Behind headers that are right, so that what follows is reached.
    FaultEnvironment disk;
    manifest = {7, 1, 2, {{1, false, 0, 0}}};
    std::string segment = encode(SegmentHeader{7, 1, 1});
    std::string payload;
    encode_record({Record::Type::put, Space::hosts, "a", "b", 0}, payload);
    segment += encode(Frame{1, kSegmentHeaderBytes, 1, payload}, 7, segment.size());
    std::size_t good = segment.size();
    segment += bytes;
    disk.set_file("MANIFEST", encode(manifest));
    disk.set_file(segment_name(1), segment);
    for (bool salvage : {false, true}) {
        std::size_t count = 0;
        RecoveryResult r = recover(disk, salvage, [&](Record&&, std::uint64_t) { ++count; });
        if (count < 1 || (r.usable() && !r.salvaged && r.valid_length < good)) std::abort();
    }
    disk.set_file("MANIFEST", std::string(bytes));
    recover(disk, false, [](Record&&, std::uint64_t) {});
    recover(disk, true, [](Record&&, std::uint64_t) {});
    return 0;
}
