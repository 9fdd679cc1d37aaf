#include "store/recovery.hpp"

#include <algorithm>

#include "store/log_tail.hpp"
#include "store/manifest_file.hpp"

namespace indigovane::store {

namespace {

// Offsets in headers, for findings.
constexpr std::uint64_t kVersionOffset = 8;
constexpr std::uint64_t kStoreOffset = 16;
constexpr std::uint64_t kSegmentOffset = 24;
constexpr std::uint64_t kFirstSequenceOffset = 32;
constexpr std::uint64_t kFrameSequenceOffset = 8;

class Recovery {
  public:
    Recovery(Environment& environment, bool salvage, const FrameSink& sink)
        : environment_(environment), salvage_(salvage), sink_(sink) {}

    RecoveryResult run() {
        if (!read_manifest()) return result_;
        const auto& segments = result_.manifest.segments;
        for (std::size_t i = 0; i < segments.size(); ++i)
            if (!read_segment(segments[i], i + 1 == segments.size())) return result_;
        if (result_.outcome == Outcome::no_store) result_.outcome = Outcome::complete;
        return result_;
    }

  private:
    using Outcome = RecoveryResult::Outcome;

    // A segment in memory. `bytes`: of a sealed one, up to its sealed length.
    struct Segment {
        std::string name;
        std::string_view bytes;
        bool sealed = false;
        std::uint64_t valid_length = 0;  // where its complete frames from the front end
        bool salvaged = false;
    };

    // Functions that return bool: false ends the recovery, with the outcome set.

    bool stop(Outcome outcome, Finding finding) {
        result_.outcome = outcome;
        result_.findings.push_back(std::move(finding));
        return false;
    }
    // Ends the recovery, except of a salvage.
    bool damage(std::string file, std::uint64_t offset, std::string what) {
        if (!salvage_) return stop(Outcome::damaged, {std::move(file), offset, std::move(what)});
        result_.findings.push_back({std::move(file), offset, std::move(what)});
        result_.salvaged = true;
        return true;
    }
    bool io_error(const IoStatus& status) {
        result_.status = status;
        return stop(Outcome::io_error, {"", 0, status.text()});
    }

    bool read_manifest() {
        std::vector<std::string> names;
        if (IoStatus status = environment_.list(names); !status.ok()) return io_error(status);
        std::string bytes;
        IoStatus status = read_file(environment_, kManifestName, bytes);
        if (status.is(std::errc::no_such_file_or_directory)) {
            // The first segment is made before the first manifest: alone and without a frame it is a
            // beginning that was cut short. Anything else without a manifest has lost it.
            if (only_first_segment_begun(names)) return false;
            return damage(kManifestName, 0, "it is missing, but there are segments") && rebuild(names);
        }
        if (!status.ok()) return io_error(status);
        std::size_t damaged_at = 0;
        switch (decode(bytes, result_.manifest, damaged_at)) {
            case DecodeResult::ok:
                return true;
            case DecodeResult::newer_version:
                return stop(Outcome::newer_version,
                            {kManifestName, kVersionOffset, "it is of a newer version"});
            case DecodeResult::damaged:
                break;
        }
        return damage(kManifestName, damaged_at, "it is damaged") && rebuild(names);
    }

    // Also where there is no segment at all.
    bool only_first_segment_begun(const std::vector<std::string>& names) {
        return std::all_of(names.begin(), names.end(), [&](const std::string& name) {
            auto number = segment_number(name);
            if (!number) return true;
            std::unique_ptr<File> file;
            return *number == 1 && environment_.open(name, file).ok() && file->size() <= kSegmentHeaderBytes;
        });
    }

    // Salvage without a manifest: the segments that are there, in order, of the store that the first is of.
    bool rebuild(std::vector<std::string>& names) {
        Manifest& manifest = result_.manifest;
        manifest = {};
        std::sort(names.begin(), names.end());
        for (const std::string& name : names) {
            auto number = segment_number(name);
            std::string bytes;
            if (!number || !read_file(environment_, name, bytes).ok()) continue;
            SegmentHeader header;
            if (decode(bytes, header) != DecodeResult::ok || header.segment != *number) {
                result_.findings.push_back({name, 0, "its header is damaged: left out"});
                continue;
            }
            if (manifest.segments.empty()) manifest.store = header.store;
            if (header.store != manifest.store) {
                result_.findings.push_back({name, kStoreOffset, "it is of another store: left out"});
                continue;
            }
            if (!manifest.segments.empty()) manifest.segments.back().sealed = true;
            manifest.segments.push_back({*number, false, 0, 0});
            manifest.next_segment = *number + 1;
        }
        rebuilt_ = true;
        return true;
    }

    bool read_segment(const Manifest::Segment& listed, bool last) {
        std::string name = segment_name(listed.number);
        std::string bytes;
        IoStatus status = read_file(environment_, name, bytes);
        if (status.is(std::errc::no_such_file_or_directory)) return damage(name, 0, "the segment is missing");
        if (!status.ok()) return io_error(status);
        result_.bytes += bytes.size();
        SegmentHeader header;
        switch (decode(bytes, header)) {
            case DecodeResult::ok:
                break;
            case DecodeResult::newer_version:
                return stop(Outcome::newer_version, {name, kVersionOffset, "it is of a newer version"});
            case DecodeResult::damaged:
                return damage(name, 0, "its header is damaged");
        }
        if (header.store != result_.manifest.store)
            return damage(name, kStoreOffset, "it is of another store");
        if (header.segment != listed.number) return damage(name, kSegmentOffset, "it is another segment");
        Segment segment{name, bytes, listed.sealed && !rebuilt_, 0, false};
        if (segment.sealed && bytes.size() < listed.length)
            if (!damage(name, bytes.size(), "it is shorter than its sealed length")) return false;
        if (segment.sealed) segment.bytes = segment.bytes.substr(0, std::size_t(listed.length));
        if (replaying_ && header.first_sequence != result_.next_sequence && !salvage_)
            return damage(name, kFirstSequenceOffset,
                          "its first sequence does not follow the segment before");
        if (!replaying_ || salvage_)
            result_.next_sequence = std::max(result_.next_sequence, header.first_sequence);
        replaying_ = true;
        if (!replay_frames(segment)) return false;
        if (!(segment.sealed ? check_sealed(segment, listed) : check_tail(segment, listed))) return false;
        if (last && !segment.salvaged) {
            result_.valid_length = segment.valid_length;
            result_.valid_checksum = checksum(segment.bytes.substr(0, segment.valid_length));
        }
        return true;
    }

    bool check_sealed(Segment& segment, const Manifest::Segment& listed) {
        bool all_frames = segment.valid_length == segment.bytes.size();
        if (all_frames && checksum(segment.bytes) == listed.checksum) return true;
        if (salvage_) return salvage_rest(segment);
        return stop(Outcome::damaged,
                    {segment.name, all_frames ? 0 : segment.valid_length, "it is not what was sealed"});
    }

    bool check_tail(Segment& segment, const Manifest::Segment& listed) {
        std::uint64_t synced_length = rebuilt_ ? 0 : listed.length;
        switch (classify_tail(segment.bytes, result_.manifest.store, segment.valid_length, synced_length)) {
            case TailState::complete:
                return true;
            case TailState::damaged:
                return damage(segment.name, segment.valid_length, "what was synced is damaged") &&
                       salvage_rest(segment);
            case TailState::torn:
                break;
        }
        std::uint64_t cut_off = segment.bytes.size() - segment.valid_length;
        result_.findings.push_back(
            {segment.name, segment.valid_length,
             "cut off: " + std::to_string(cut_off) + " bytes that were never acknowledged"});
        result_.outcome = Outcome::torn_tail;
        return true;
    }

    // Complete frames from the front; sets the segment's valid length.
    bool replay_frames(Segment& segment) {
        std::uint64_t& offset = segment.valid_length;
        offset = kSegmentHeaderBytes;
        while (offset < segment.bytes.size()) {
            auto frame = decode_frame(segment.bytes.substr(offset), result_.manifest.store, offset);
            if (!frame) return true;
            if (frame->sequence != result_.next_sequence) {
                if (!salvage_)
                    return damage(segment.name, offset + kFrameSequenceOffset,
                                  "its sequence does not follow the frame before");
                result_.next_sequence = std::max(result_.next_sequence, frame->sequence);
            }
            if (!replay(*frame))
                return damage(segment.name, offset + kFrameHeaderBytes, "its records can't be read");
            offset += frame->size();
        }
        return true;
    }

    bool replay(const Frame& frame) {
        records_.clear();
        if (!decode_records(frame, records_)) return false;
        sink_(records_, frame.sequence);
        result_.records += records_.size();
        result_.next_sequence = std::max(result_.next_sequence, frame.sequence + records_.size());
        return true;
    }

    // Replays the complete frames behind the valid length, wherever they are.
    bool salvage_rest(Segment& segment) {
        result_.salvaged = true;
        segment.salvaged = true;
        std::uint64_t dropped_from = segment.valid_length;
        auto note_dropped = [&](std::uint64_t end) {
            if (end <= dropped_from) return;
            result_.findings.push_back(
                {segment.name, dropped_from, "dropped " + std::to_string(end - dropped_from) + " bytes"});
        };
        std::size_t offset = segment.bytes.find(kFrameStart, std::size_t(segment.valid_length));
        while (offset != std::string_view::npos) {
            std::size_t behind = offset + 1;
            auto frame = decode_frame(segment.bytes.substr(offset), result_.manifest.store, offset);
            if (frame && replay(*frame)) {
                note_dropped(offset);
                behind = offset + frame->size();
                dropped_from = behind;
            }
            offset = segment.bytes.find(kFrameStart, behind);
        }
        note_dropped(segment.bytes.size());
        return true;
    }

    Environment& environment_;
    bool salvage_;
    const FrameSink& sink_;
    std::vector<RecordView> records_;  // of the frame that is replayed
    RecoveryResult result_;
    bool replaying_ = false;  // a segment has been read
    bool rebuilt_ = false;    // the manifest was, by a salvage
};

}  // namespace

RecoveryResult recover_frames(Environment& environment, bool salvage, const FrameSink& sink) {
    return Recovery(environment, salvage, sink).run();
}

RecoveryResult recover(Environment& environment, bool salvage, const RecordSink& sink) {
    return recover_frames(environment, salvage,
                          [&](const std::vector<RecordView>& records, std::uint64_t sequence) {
                              for (const RecordView& record : records) sink(record.copy(), sequence++);
                          });
}

}  // namespace indigovane::store
