// From what is on disk to the longest consistent prefix, or a refusal that names file and offset. Changes
// nothing.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "store/environment.hpp"
#include "store/format.hpp"

namespace indigovane::store {

struct Finding {
    std::string file;
    std::uint64_t offset = 0;
    std::string what;
    std::string text() const { return file + ":" + std::to_string(offset) + ": " + what; }
};

struct Recovered {
    enum class Outcome {
        fresh,    // there is no store
        whole,    // all that was written
        torn,     // the end of the last segment was never acknowledged: it is left out
        damaged,  // what was synced is not what was written: nothing is to be used, unless salvaged
        newer,    // of a version that this program does not know
        failed,   // it can't be read: see status
    } outcome = Outcome::fresh;
    IoStatus status;
    Manifest manifest;                // as found, or as salvaged
    std::uint64_t good = 0;           // bytes of the last segment that hold
    std::uint64_t good_checksum = 0;  // of those
    std::uint64_t next_sequence = 1, records = 0, bytes = 0;
    std::vector<Finding>
        findings;  // torn: what was cut; damaged: the first damage; salvaged: all that was dropped
    bool salvaged =
        false;  // something was dropped: what is kept must be written anew, the old never sealed as it is
    bool usable() const {
        return outcome == Outcome::fresh || outcome == Outcome::whole || outcome == Outcome::torn;
    }
};

using Sink = std::function<void(Record&& record, std::uint64_t sequence)>;
// Likewise, a frame at a time, without copies: the views hold during the call.
using FrameSink = std::function<void(const std::vector<RecordView>& records, std::uint64_t first)>;

// Feeds the sink in the log's order; the last one of a key counts. Where the outcome is not usable the sink
// has been fed some records all the same: its owner throws them away. `salvage`: goes past damage and keeps
// what is provable; the outcome is then whole or torn, findings tell.
Recovered recover(Environment& environment, bool salvage, const Sink& sink);
Recovered recover_frames(Environment& environment, bool salvage, const FrameSink& sink);

}  // namespace indigovane::store
