// From what is on disk to the longest consistent prefix, or a refusal that names file and offset. Changes
// nothing on disk. Source: docs/store.md, "Recovery".
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "store/environment.hpp"
#include "store/format.hpp"

namespace indigovane::store {

struct Finding {
    std::string file;
    std::uint64_t offset = 0;  // bytes
    std::string what;
    std::string text() const { return file + ":" + std::to_string(offset) + ": " + what; }
};

struct RecoveryResult {
    enum class Outcome : std::uint8_t {
        no_store,       // the folder holds none
        complete,       // all that was written
        torn_tail,      // the end of the last segment was never acknowledged: it is left out
        damaged,        // what was synced is not what was written: nothing is to be used, unless salvaged
        newer_version,  // of a format that this program does not know
        io_error,       // it can't be read: see status
    } outcome = Outcome::no_store;
    IoStatus status;
    Manifest manifest;                 // as found, or as salvaged
    std::uint64_t valid_length = 0;    // bytes of the last segment that hold
    std::uint64_t valid_checksum = 0;  // of those
    std::uint64_t next_sequence = 1;
    std::uint64_t records = 0;
    std::uint64_t bytes = 0;  // of all segments
    // Of a torn tail: what was cut off; of damage: the first; of a salvage: all that was dropped.
    std::vector<Finding> findings;
    // Something was dropped: what was recovered has to be written anew, see Writer::begin_salvaged().
    bool salvaged = false;

    bool usable() const {
        return outcome == Outcome::no_store || outcome == Outcome::complete || outcome == Outcome::torn_tail;
    }
};

using RecordSink = std::function<void(Record&& record, std::uint64_t sequence)>;
// A frame at a time, without copies: the views hold during the call.
using FrameSink = std::function<void(const std::vector<RecordView>& records, std::uint64_t first_sequence)>;

// Feeds the sink in the log's order; the last record of a key counts. Where the result is not usable the
// sink has been fed some records all the same: its owner discards them. `salvage`: goes past damage and
// retains what is provable; the result is then usable, and findings say what was dropped.
RecoveryResult recover(Environment& environment, bool salvage, const RecordSink& sink);
RecoveryResult recover_frames(Environment& environment, bool salvage, const FrameSink& sink);

}  // namespace indigovane::store
