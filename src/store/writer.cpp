#include "store/writer.hpp"

#include <algorithm>
#include <cerrno>

namespace indigovane::store {

Writer::Writer(Environment& environment, Options options) : environment_(environment), options_(options) {}
Writer::~Writer() = default;

// The file, its header and its name are on disk before any manifest names it.
IoStatus Writer::new_segment(std::uint64_t first) {
    std::uint64_t number = next_number_;
    std::unique_ptr<File> file;
    if (IoStatus s = environment_.create(segment_name(number), file); !s.ok()) return s;
    std::string header = encode(SegmentHeader{manifest_.store, number, first});
    if (IoStatus s = file->append(header); !s.ok()) return s;
    if (IoStatus s = file->sync(); !s.ok()) return s;
    if (IoStatus s = environment_.sync_folder(); !s.ok()) return s;
    file_ = std::move(file);
    sum_ = std::make_unique<Checksum>();
    sum_->add(header);
    number_ = number;
    ++next_number_;
    durable_ = size_ = header.size();
    return {};
}

IoStatus Writer::replace_manifest(const Manifest& manifest) {
    std::unique_ptr<File> file;
    if (IoStatus s = environment_.create("MANIFEST.tmp", file); !s.ok()) return s;
    if (IoStatus s = file->append(encode(manifest)); !s.ok()) return s;
    if (IoStatus s = file->sync(); !s.ok()) return s;
    file.reset();
    if (IoStatus s = environment_.rename("MANIFEST.tmp", "MANIFEST"); !s.ok()) return s;
    if (IoStatus s = environment_.sync_folder(); !s.ok()) {
        // Either manifest may be there after a crash. Both are right, but nobody knows which is: no step may
        // be taken that only one of them allows.
        broken_ = true;
        return s;
    }
    manifest_ = manifest;
    return {};
}

IoStatus Writer::begin(const Recovered& recovered, std::uint64_t new_store_number) {
    manifest_ = recovered.manifest;
    if (recovered.outcome == Recovered::Outcome::fresh) manifest_ = Manifest{new_store_number, 0, 1, {}};
    next_sequence_ = recovered.next_sequence;
    next_number_ = std::max<std::uint64_t>(manifest_.next, 1);
    if (IoStatus s = new_segment(next_sequence_); !s.ok()) return s;
    Manifest next = manifest_;
    if (!next.segments.empty() && !next.segments.back().sealed) {
        auto& last = next.segments.back();
        last.sealed = true;
        last.length = recovered.good;
        last.checksum = recovered.good_checksum;
    }
    next.segments.push_back({number_, false, durable_, 0});
    next.next = next_number_;
    ++next.epoch;
    if (IoStatus s = replace_manifest(next); !s.ok()) return s;
    remove_unlisted();
    return {};
}

// Numbers go on behind all files that are there, whatever they are: none of them may be written over.
IoStatus Writer::adopt(const Recovered& recovered, std::uint64_t new_store_number) {
    manifest_ = recovered.manifest;
    if (manifest_.store == 0) manifest_.store = new_store_number;
    next_sequence_ = recovered.next_sequence;
    next_number_ = std::max<std::uint64_t>(manifest_.next, 1);
    std::vector<std::string> names;
    if (IoStatus s = environment_.list(names); !s.ok()) return s;
    for (const std::string& name : names)
        if (auto number = segment_number(name)) next_number_ = std::max(next_number_, *number + 1);
    adopted_ = broken_ = true;
    return {};
}

// Segments that no manifest names: of a beginning, a compaction or a generation that a crash cut short.
void Writer::remove_unlisted() {
    std::vector<std::string> names;
    if (!environment_.list(names).ok()) return;
    for (const std::string& name : names) {
        auto number = segment_number(name);
        if (!number || *number == number_) continue;
        auto named = [&](const auto& s) { return s.number == *number; };
        if (std::none_of(manifest_.segments.begin(), manifest_.segments.end(), named) &&
            std::none_of(fresh_.begin(), fresh_.end(), named))
            environment_.remove(name);
    }
}

IoStatus Writer::append(const std::vector<Batch>& group) {
    std::string bytes;
    std::uint64_t sequence = next_sequence_;
    for (const Batch& b : group) {
        std::string payload;
        for (const Record& r : b.records) encode_record(r, payload);
        Frame frame{sequence, durable_, std::uint32_t(b.records.size()), payload};
        bytes += encode(frame, manifest_.store, size_ + bytes.size());
        sequence += b.records.size();
    }
    if (IoStatus s = file_->append(bytes); !s.ok()) return s;
    if (IoStatus s = file_->sync(); !s.ok()) return s;
    ++counts_.syncs;
    size_ += bytes.size();
    durable_ = size_;
    sum_->add(bytes);
    next_sequence_ = sequence;
    counts_.bytes += bytes.size();
    return {};
}

// Ends the segment at its last good length and begins the next.
IoStatus Writer::roll(std::uint64_t first) {
    Manifest::Segment ended{number_, true, durable_, sum_->value()};
    if (IoStatus s = new_segment(first); !s.ok()) return s;
    if (pending_) {
        fresh_.back() = ended;
        fresh_.push_back({number_, false, durable_, 0});
        return {};
    }
    Manifest next = manifest_;
    next.segments.back() = ended;
    next.segments.push_back({number_, false, durable_, 0});
    next.next = next_number_;
    ++next.epoch;
    return replace_manifest(next);
}

IoStatus Writer::write(const std::vector<Batch>& group) {
    if (broken_) return {EIO, "the log is given up"};
    if (group.empty()) return {};
    if (group.front().sequence !=
        next_sequence_) {  // sequences say what still stands: they must be the owner's
        broken_ = true;
        return {EINVAL, "sequences do not follow"};
    }
    if (size_ >= options_.segment)
        if (IoStatus s = roll(next_sequence_); !s.ok()) {
            broken_ = true;
            return s;
        }
    IoStatus s = append(group);
    if (!s.ok()) {
        // After a failed write or sync nobody knows what of it is on disk, and a later sync that succeeds
        // proves nothing.
        ++counts_.given_up;
        if (roll(next_sequence_).ok() && !broken_) s = append(group);
        if (!s.ok()) {
            broken_ = true;
            file_.reset();
            return s;
        }
    }
    ++counts_.groups;
    counts_.batches += group.size();
    for (const Batch& b : group) counts_.records += b.records.size();
    return {};
}

IoStatus Writer::restart(std::uint64_t next_sequence) {
    if (!adopted_) {
        // What the manifest on disk says is read again: after a failed sync of the folder either may be
        // there.
        std::unique_ptr<File> file;
        std::string bytes;
        Manifest found;
        std::size_t at = 0;
        if (IoStatus s = environment_.open("MANIFEST", file); !s.ok()) return s;
        if (IoStatus s = file->read(0, std::size_t(file->size()), bytes); !s.ok()) return s;
        if (decode(bytes, found, at) != Read::well) return {EIO, "the manifest can't be read"};
        manifest_ = found;
        next_number_ = std::max(next_number_, found.next);
    }
    fresh_.clear();
    if (IoStatus s = new_segment(next_sequence); !s.ok()) return s;
    fresh_.push_back({number_, false, durable_, 0});
    next_sequence_ = next_sequence;
    pending_ = true;
    broken_ = false;
    oldest_number_ = 0;
    return {};
}

IoStatus Writer::switch_over() {
    fresh_.back().length = durable_;
    Manifest next{manifest_.store, manifest_.epoch + 1, next_number_, fresh_};
    if (IoStatus s = replace_manifest(next); !s.ok()) {
        broken_ = true;
        return s;
    }
    pending_ = adopted_ = false;
    fresh_.clear();
    remove_unlisted();
    return {};
}

std::optional<Writer::Chunk> Writer::read_oldest(std::size_t bytes, IoStatus& status) {
    status = {};
    if (broken_ || pending_ || manifest_.segments.size() < 2 || !manifest_.segments.front().sealed)
        return std::nullopt;
    const auto& oldest = manifest_.segments.front();
    if (oldest_number_ != oldest.number) {
        std::unique_ptr<File> file;
        if (status = environment_.open(segment_name(oldest.number), file); !status.ok()) return std::nullopt;
        if (status = file->read(0, std::size_t(oldest.length), oldest_); !status.ok()) return std::nullopt;
        if (checksum(oldest_) != oldest.checksum) {
            // It was whole once. It stays as it is, so that a start refuses it loudly.
            status = {EIO, segment_name(oldest.number) + " is not what was sealed"};
            return std::nullopt;
        }
        oldest_number_ = oldest.number;
        oldest_at_ = kHeader;
    }
    Chunk chunk;
    std::size_t taken = 0;
    while (oldest_at_ < oldest_.size() && taken < bytes) {
        auto frame = decode_frame(std::string_view(oldest_).substr(std::size_t(oldest_at_)), manifest_.store,
                                  oldest_at_);
        std::vector<Record> records;
        if (!frame || !decode_records(*frame, records)) {
            status = {EIO, segment_name(oldest.number) + " can't be read"};
            return std::nullopt;
        }
        std::uint64_t sequence = frame->sequence;
        for (Record& r : records) chunk.records.emplace_back(std::move(r), sequence++);
        oldest_at_ += frame->size();
        taken += frame->size();
    }
    chunk.last = oldest_at_ >= oldest_.size();
    return chunk;
}

IoStatus Writer::drop_oldest() {
    if (broken_ || pending_ || manifest_.segments.size() < 2) return {};
    Manifest next = manifest_;
    std::uint64_t number = next.segments.front().number;
    next.segments.erase(next.segments.begin());
    // What lived in it stands in the last one, up to here at least: with less of it the manifest would be no
    // truth.
    next.segments.back().length = durable_;
    ++next.epoch;
    if (IoStatus s = replace_manifest(next); !s.ok()) return s;
    oldest_.clear();
    oldest_number_ = 0;
    ++counts_.dropped;
    environment_.remove(segment_name(number));  // if not, the next start removes it
    return {};
}

std::uint64_t Writer::bytes() const {
    std::uint64_t sum = size_;
    for (const auto& s : pending_ ? fresh_ : manifest_.segments)
        if (s.sealed) sum += s.length;
    return sum;
}

}  // namespace indigovane::store
