#include "store/writer.hpp"

#include <algorithm>
#include <cerrno>

#include "store/manifest_file.hpp"

namespace indigovane::store {

Writer::Writer(Environment& environment, Options options) : environment_(environment), options_(options) {}
Writer::~Writer() = default;

// ---- begin ---------------------------------------------------------------------------------------

IoStatus Writer::begin(const RecoveryResult& recovered, std::uint64_t new_store_number) {
    manifest_ = recovered.manifest;
    if (recovered.outcome == RecoveryResult::Outcome::no_store)
        manifest_ = Manifest{new_store_number, 0, 1, {}};
    next_sequence_ = recovered.next_sequence;
    next_segment_ = std::max<std::uint64_t>(manifest_.next_segment, 1);
    if (IoStatus status = create_segment(next_sequence_); !status.ok()) return status;
    Manifest next = manifest_;
    if (!next.segments.empty() && !next.segments.back().sealed) {
        Manifest::Segment& last = next.segments.back();
        last.sealed = true;
        last.length = recovered.valid_length;
        last.checksum = recovered.valid_checksum;
    }
    next.segments.push_back(manifest_entry(segment_, false));
    if (IoStatus status = replace_manifest(std::move(next)); !status.ok()) return status;
    remove_unlisted();
    return {};
}

// New segments get numbers above those of all existing files, valid or not, so that no file is overwritten.
IoStatus Writer::begin_salvaged(const RecoveryResult& recovered, std::uint64_t new_store_number) {
    manifest_ = recovered.manifest;
    if (manifest_.store_number == 0) manifest_.store_number = new_store_number;
    next_sequence_ = recovered.next_sequence;
    next_segment_ = std::max<std::uint64_t>(manifest_.next_segment, 1);
    std::vector<std::string> names;
    if (IoStatus status = environment_.list(names); !status.ok()) return status;
    for (const std::string& name : names)
        if (auto number = segment_number(name)) next_segment_ = std::max(next_segment_, *number + 1);
    salvaged_ = true;
    failed_ = true;
    return {};
}

// ---- segments and the manifest -------------------------------------------------------------------

// Creates a segment. Its file, header and name are on disk before any manifest lists it.
IoStatus Writer::create_segment(std::uint64_t first_sequence) {
    std::uint64_t number = next_segment_;
    std::unique_ptr<File> file;
    if (IoStatus status = environment_.create(segment_name(number), file); !status.ok()) return status;
    std::string header = encode(SegmentHeader{manifest_.store_number, number, first_sequence});
    if (IoStatus status = file->append(header); !status.ok()) return status;
    if (IoStatus status = file->sync(); !status.ok()) return status;
    if (IoStatus status = environment_.sync_folder(); !status.ok()) return status;
    segment_.number = number;
    segment_.file = std::move(file);
    segment_.checksum = std::make_unique<Checksum>();
    segment_.checksum->add(header);
    segment_.durable_length = header.size();
    ++next_segment_;
    return {};
}

Manifest::Segment Writer::manifest_entry(const OpenSegment& segment, bool sealed) const {
    return {segment.number, sealed, segment.durable_length, sealed ? segment.checksum->value() : 0};
}

// Replaces the manifest, after setting its epoch and the number of the next segment.
IoStatus Writer::replace_manifest(Manifest next) {
    next.next_segment = next_segment_;
    next.epoch = manifest_.epoch + 1;
    auto [status, is_in_doubt] = replace_manifest_file(environment_, next);
    if (is_in_doubt) failed_ = true;
    if (status.ok()) manifest_ = std::move(next);
    return status;
}

// A file that can't be removed now is removed at the next start.
void Writer::remove_if_possible(const std::string& name) {
    static_cast<void>(environment_.remove(name));
}

// Removes segments that no manifest lists. They are left when a crash interrupts a start, a compaction or a
// generation.
void Writer::remove_unlisted() {
    std::vector<std::string> names;
    if (!environment_.list(names).ok()) return;
    for (const std::string& name : names) {
        auto number = segment_number(name);
        if (!number || *number == segment_.number) continue;
        auto is_listed = [&](const Manifest::Segment& segment) { return segment.number == *number; };
        if (std::any_of(manifest_.segments.begin(), manifest_.segments.end(), is_listed)) continue;
        if (std::any_of(generation_.begin(), generation_.end(), is_listed)) continue;
        remove_if_possible(name);
    }
}

// Seals the segment at its durable length and begins the next one.
IoStatus Writer::seal_and_continue() {
    Manifest::Segment sealed = manifest_entry(segment_, true);
    if (IoStatus status = create_segment(next_sequence_); !status.ok()) return status;
    if (generation_open_) {
        generation_.pop_back();
        generation_.push_back(sealed);
        generation_.push_back(manifest_entry(segment_, false));
        return {};
    }
    Manifest next = manifest_;
    next.segments.pop_back();
    next.segments.push_back(sealed);
    next.segments.push_back(manifest_entry(segment_, false));
    return replace_manifest(std::move(next));
}

std::uint64_t Writer::bytes() const {
    std::uint64_t total = segment_.durable_length;
    for (const auto& segment : generation_open_ ? generation_ : manifest_.segments)
        if (segment.sealed) total += segment.length;
    return total;
}

// ---- writing -------------------------------------------------------------------------------------

IoStatus Writer::append(const std::vector<Batch>& group) {
    std::string bytes;
    std::uint64_t sequence = next_sequence_;
    for (const Batch& batch : group) {
        std::string payload;
        for (const Record& record : batch.records) encode_record(record, payload);
        Frame frame{sequence, segment_.durable_length, std::uint32_t(batch.records.size()), payload};
        bytes += encode(frame, manifest_.store_number, segment_.durable_length + bytes.size());
        sequence += batch.records.size();
    }
    if (IoStatus status = segment_.file->append(bytes); !status.ok()) return status;
    if (IoStatus status = segment_.file->sync(); !status.ok()) return status;
    segment_.durable_length += bytes.size();
    segment_.checksum->add(bytes);
    next_sequence_ = sequence;
    counts_.bytes += bytes.size();
    return {};
}

IoStatus Writer::write(const std::vector<Batch>& group) {
    if (failed_) return {EIO, "writing to the log has failed before"};
    if (group.empty()) return {};
    // Sequence numbers determine which record of a key is current, so they must match the owner's.
    if (group.front().sequence != next_sequence_) {
        failed_ = true;
        return {EINVAL, "the batch does not continue the log's sequence numbers"};
    }
    if (segment_.durable_length >= options_.segment_bytes) {
        if (IoStatus status = seal_and_continue(); !status.ok()) {
            failed_ = true;
            return status;
        }
    }
    IoStatus status = append(group);
    if (status.ok()) return status;
    // After a failed write or sync it is unknown which bytes are on disk, and a later successful sync proves
    // nothing. Therefore the segment is never written to again.
    if (seal_and_continue().ok() && !failed_) status = append(group);
    if (!status.ok()) {
        failed_ = true;
        segment_.file.reset();
    }
    return status;
}

// ---- generations ---------------------------------------------------------------------------------

IoStatus Writer::begin_generation(std::uint64_t next_sequence) {
    if (!salvaged_) {
        // After a failed sync of the folder, either the old or the new manifest may be on disk.
        Manifest found;
        if (IoStatus status = read_manifest_file(environment_, found); !status.ok()) return status;
        manifest_ = found;
        next_segment_ = std::max(next_segment_, found.next_segment);
    }
    generation_.clear();
    if (IoStatus status = create_segment(next_sequence); !status.ok()) return status;
    generation_.push_back(manifest_entry(segment_, false));
    next_sequence_ = next_sequence;
    generation_open_ = true;
    failed_ = false;
    compaction_.reset();
    return {};
}

IoStatus Writer::end_generation() {
    generation_.back().length = segment_.durable_length;
    Manifest next = manifest_;
    next.segments = generation_;
    if (IoStatus status = replace_manifest(std::move(next)); !status.ok()) {
        failed_ = true;
        return status;
    }
    generation_open_ = false;
    salvaged_ = false;
    generation_.clear();
    remove_unlisted();
    return {};
}

// ---- compaction ----------------------------------------------------------------------------------

std::optional<CompactionChunk> Writer::read_oldest(std::size_t bytes, IoStatus& status) {
    status = {};
    if (failed_ || generation_open_ || manifest_.segments.size() < 2) return std::nullopt;
    const Manifest::Segment& oldest = manifest_.segments.front();
    if (!oldest.sealed) return std::nullopt;
    CompactionChunk chunk;
    status = compaction_.read(environment_, manifest_.store_number, oldest, bytes, chunk);
    if (!status.ok()) return std::nullopt;
    return chunk;
}

IoStatus Writer::drop_oldest() {
    if (failed_ || generation_open_ || manifest_.segments.size() < 2) return {};
    Manifest next = manifest_;
    std::uint64_t number = next.segments.front().number;
    next.segments.erase(next.segments.begin());
    // The last segment now holds the current records of the oldest one. The manifest states the last
    // segment's length so that recovery detects a copy of the store whose last segment is shorter.
    next.segments.back().length = segment_.durable_length;
    if (IoStatus status = replace_manifest(std::move(next)); !status.ok()) return status;
    compaction_.reset();
    ++counts_.segments_dropped;
    remove_if_possible(segment_name(number));
    return {};
}

}  // namespace indigovane::store
