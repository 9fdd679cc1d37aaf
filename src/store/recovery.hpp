// Recovery: reads the longest consistent prefix of the log, or refuses the store and names file and offset of
// the damage. It changes nothing on disk. Source: docs/store.md, "Recovery".
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "store/environment.hpp"
#include "store/format.hpp"

namespace indigovane::store {

// A fault of the store's files.
struct Finding {
    std::string file;
    std::uint64_t offset = 0;  // in bytes
    std::string description;
    // "FILE:OFFSET: DESCRIPTION".
    std::string text() const { return file + ":" + std::to_string(offset) + ": " + description; }
};

struct RecoveryResult {
    enum class Outcome : std::uint8_t {
        no_store,       // the folder holds no store
        complete,       // everything that was written is intact
        torn_tail,      // the end of the last segment was never acknowledged and is left out
        damaged,        // synced bytes differ from what was written: unusable unless salvaged
        newer_version,  // the format version is newer than this program knows
        io_error,       // the files can't be read: see `status`
    } outcome = Outcome::no_store;
    IoStatus status;
    Manifest manifest;                 // as read, or as rebuilt by a salvage
    std::uint64_t valid_length = 0;    // valid bytes at the beginning of the last segment
    std::uint64_t valid_checksum = 0;  // checksum of those bytes
    std::uint64_t next_sequence = 1;   // sequence number of the next record
    std::uint64_t records = 0;         // number of records read
    std::uint64_t bytes = 0;           // size of all segments
    // For a torn tail: the bytes cut off. For damage: the first fault. For a salvage: everything dropped.
    std::vector<Finding> findings;
    // Something was dropped: the recovered records must be written anew, see Writer::begin_salvaged().
    bool salvaged = false;

    bool usable() const {
        return outcome == Outcome::no_store || outcome == Outcome::complete || outcome == Outcome::torn_tail;
    }
};

using RecordSink = std::function<void(Record&& record, std::uint64_t sequence)>;
// Receives one frame at a time without copies. The views are valid only during the call.
using FrameSink = std::function<void(const std::vector<RecordView>& records, std::uint64_t first_sequence)>;

// Passes all records to the sink in the log's order; the last record of a key counts. If the result is not
// usable, the caller must discard the records that the sink has received. With `salvage`, recovery continues
// after damage and retains every record that is provably valid; the result is then usable, and the findings
// state what was dropped.
RecoveryResult recover(Environment& environment, bool salvage, const RecordSink& sink);
RecoveryResult recover_frames(Environment& environment, bool salvage, const FrameSink& sink);

}  // namespace indigovane::store
