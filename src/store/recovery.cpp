#include "store/recovery.hpp"

#include <algorithm>

#include "store/log_tail.hpp"
#include "store/manifest_file.hpp"

namespace indigovane::store {

namespace {

// Offsets of header fields in bytes, for findings.
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

    // A segment in memory.
    struct Segment {
        std::string name;
        std::string_view bytes;  // of a sealed segment: only up to its sealed length
        bool sealed = false;
        std::uint64_t valid_length = 0;  // end of the complete frames that start at the beginning, in bytes
        bool salvaged = false;
    };

    // The functions below that return bool return false to end the recovery. The outcome is then set.

    bool stop_with(Outcome outcome, Finding finding) {
        result_.outcome = outcome;
        result_.findings.push_back(std::move(finding));
        return false;
    }
    // Records damage. Ends the recovery unless it is a salvage.
    bool report_damage(std::string file, std::uint64_t offset, std::string description) {
        if (!salvage_) return stop_with(Outcome::damaged, {std::move(file), offset, std::move(description)});
        result_.findings.push_back({std::move(file), offset, std::move(description)});
        result_.salvaged = true;
        return true;
    }
    bool stop_with_io_error(const IoStatus& status) {
        result_.status = status;
        return stop_with(Outcome::io_error, {"", 0, status.text()});
    }

    bool read_manifest() {
        std::vector<std::string> names;
        if (IoStatus status = environment_.list(names); !status.ok()) return stop_with_io_error(status);
        std::string bytes;
        IoStatus status = read_file(environment_, kManifestName, bytes);
        if (status.is(std::errc::no_such_file_or_directory)) {
            // The first segment is created before the first manifest. If it is the only segment and has no
            // frame, the creation of the store was interrupted. Otherwise the manifest was lost.
            if (is_creation_interrupted(names)) return false;
            return report_damage(kManifestName, 0, "it is missing, but there are segments") &&
                   rebuild_manifest(names);
        }
        if (!status.ok()) return stop_with_io_error(status);
        std::size_t damaged_at = 0;
        switch (decode(bytes, result_.manifest, damaged_at)) {
            case DecodeResult::ok:
                return true;
            case DecodeResult::newer_version:
                return stop_with(Outcome::newer_version,
                                 {kManifestName, kVersionOffset,
                                  "its format version is newer than this program supports"});
            case DecodeResult::damaged:
                break;
        }
        return report_damage(kManifestName, damaged_at, "it is damaged") && rebuild_manifest(names);
    }

    // Also true if there is no segment at all.
    bool is_creation_interrupted(const std::vector<std::string>& names) {
        return std::all_of(names.begin(), names.end(), [&](const std::string& name) {
            auto number = segment_number(name);
            if (!number) return true;
            std::unique_ptr<File> file;
            return *number == 1 && environment_.open(name, file).ok() && file->size() <= kSegmentHeaderBytes;
        });
    }

    // Salvages a store without a manifest: lists the existing segments in order of their numbers. The first
    // one determines the store's number; segments of other stores are left out.
    bool rebuild_manifest(std::vector<std::string>& names) {
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
            if (manifest.segments.empty()) manifest.store_number = header.store_number;
            if (header.store_number != manifest.store_number) {
                result_.findings.push_back({name, kStoreOffset, "it belongs to another store: left out"});
                continue;
            }
            if (!manifest.segments.empty()) manifest.segments.back().sealed = true;
            manifest.segments.push_back({*number, false, 0, 0});
            manifest.next_segment = *number + 1;
        }
        has_rebuilt_manifest_ = true;
        return true;
    }

    bool read_segment(const Manifest::Segment& listed, bool is_last) {
        std::string name = segment_name(listed.number);
        std::string bytes;
        IoStatus status = read_file(environment_, name, bytes);
        if (status.is(std::errc::no_such_file_or_directory))
            return report_damage(name, 0, "the segment is missing");
        if (!status.ok()) return stop_with_io_error(status);
        result_.bytes += bytes.size();
        SegmentHeader header;
        switch (decode(bytes, header)) {
            case DecodeResult::ok:
                break;
            case DecodeResult::newer_version:
                return stop_with(
                    Outcome::newer_version,
                    {name, kVersionOffset, "its format version is newer than this program supports"});
            case DecodeResult::damaged:
                return report_damage(name, 0, "its header is damaged");
        }
        if (header.store_number != result_.manifest.store_number)
            return report_damage(name, kStoreOffset, "it belongs to another store");
        if (header.segment != listed.number)
            return report_damage(name, kSegmentOffset, "its header names another segment");
        Segment segment{name, bytes, listed.sealed && !has_rebuilt_manifest_, 0, false};
        if (segment.sealed && bytes.size() < listed.length)
            if (!report_damage(name, bytes.size(), "it is shorter than its sealed length")) return false;
        if (segment.sealed) segment.bytes = segment.bytes.substr(0, std::size_t(listed.length));
        if (has_read_segment_ && header.first_sequence != result_.next_sequence && !salvage_)
            return report_damage(name, kFirstSequenceOffset,
                                 "its first sequence number does not follow the previous segment");
        if (!has_read_segment_ || salvage_)
            result_.next_sequence = std::max(result_.next_sequence, header.first_sequence);
        has_read_segment_ = true;
        if (!replay_frames(segment)) return false;
        if (!(segment.sealed ? check_sealed(segment, listed) : check_tail(segment, listed))) return false;
        if (is_last && !segment.salvaged) {
            result_.valid_length = segment.valid_length;
            result_.valid_checksum = checksum(segment.bytes.substr(0, segment.valid_length));
        }
        return true;
    }

    bool check_sealed(Segment& segment, const Manifest::Segment& listed) {
        bool has_only_complete_frames = segment.valid_length == segment.bytes.size();
        if (has_only_complete_frames && checksum(segment.bytes) == listed.checksum) return true;
        if (salvage_) return salvage_frames_after_damage(segment);
        return stop_with(Outcome::damaged, {segment.name, has_only_complete_frames ? 0 : segment.valid_length,
                                            "it is not what was sealed"});
    }

    bool check_tail(Segment& segment, const Manifest::Segment& listed) {
        std::uint64_t synced_length = has_rebuilt_manifest_ ? 0 : listed.length;
        switch (classify_tail(segment.bytes, result_.manifest.store_number, segment.valid_length,
                              synced_length)) {
            case TailState::complete:
                return true;
            case TailState::damaged:
                return report_damage(segment.name, segment.valid_length, "what was synced is damaged") &&
                       salvage_frames_after_damage(segment);
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

    // Replays the complete frames from the segment's beginning and sets its valid length.
    bool replay_frames(Segment& segment) {
        std::uint64_t& offset = segment.valid_length;
        offset = kSegmentHeaderBytes;
        while (offset < segment.bytes.size()) {
            auto frame = decode_frame(segment.bytes.substr(offset), result_.manifest.store_number, offset);
            if (!frame) return true;
            if (frame->first_sequence != result_.next_sequence) {
                if (!salvage_)
                    return report_damage(segment.name, offset + kFrameSequenceOffset,
                                         "its sequence number does not follow the previous frame");
                result_.next_sequence = std::max(result_.next_sequence, frame->first_sequence);
            }
            if (!replay(*frame))
                return report_damage(segment.name, offset + kFrameHeaderBytes, "its records can't be read");
            offset += frame->size();
        }
        return true;
    }

    bool replay(const Frame& frame) {
        records_.clear();
        if (!decode_records(frame, records_)) return false;
        sink_(records_, frame.first_sequence);
        result_.records += records_.size();
        result_.next_sequence = std::max(result_.next_sequence, frame.first_sequence + records_.size());
        return true;
    }

    // Replays all complete frames after the valid length, at whatever offset they start.
    bool salvage_frames_after_damage(Segment& segment) {
        result_.salvaged = true;
        segment.salvaged = true;
        std::uint64_t dropped_begin = segment.valid_length;
        auto report_dropped_until = [&](std::uint64_t end) {
            if (end <= dropped_begin) return;
            result_.findings.push_back(
                {segment.name, dropped_begin, "dropped " + std::to_string(end - dropped_begin) + " bytes"});
        };
        std::size_t offset = segment.bytes.find(kFrameStart, std::size_t(segment.valid_length));
        while (offset != std::string_view::npos) {
            std::size_t search_from = offset + 1;
            auto frame = decode_frame(segment.bytes.substr(offset), result_.manifest.store_number, offset);
            if (frame && replay(*frame)) {
                report_dropped_until(offset);
                search_from = offset + frame->size();
                dropped_begin = search_from;
            }
            offset = segment.bytes.find(kFrameStart, search_from);
        }
        report_dropped_until(segment.bytes.size());
        return true;
    }

    Environment& environment_;
    bool salvage_;
    const FrameSink& sink_;
    std::vector<RecordView> records_;  // records of the frame that is being replayed
    RecoveryResult result_;
    bool has_read_segment_ = false;
    bool has_rebuilt_manifest_ = false;  // a salvage has rebuilt the manifest from the segments
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
