#include "store/recovery.hpp"

#include <algorithm>
#include <cerrno>

namespace indigovane::store {

namespace {

constexpr std::string_view kFrameStart("IGVF", 4);

IoStatus read_all(Environment& environment, const std::string& name, std::string& out) {
    std::unique_ptr<File> file;
    if (IoStatus s = environment.open(name, file); !s.ok()) return s;
    return file->read(0, std::size_t(file->size()), out);
}

class Recovery {
  public:
    Recovery(Environment& environment, bool salvage, const FrameSink& sink)
        : environment_(environment), salvage_(salvage), sink_(sink) {}

    Recovered run() {
        if (!read_manifest()) return out_;
        for (std::size_t i = 0; i < out_.manifest.segments.size(); ++i)
            if (!read_segment(out_.manifest.segments[i], i + 1 == out_.manifest.segments.size())) return out_;
        if (out_.outcome == Recovered::Outcome::fresh) out_.outcome = Recovered::Outcome::whole;
        return out_;
    }

  private:
    using Outcome = Recovered::Outcome;

    bool stop(Outcome outcome, Finding finding) {
        out_.outcome = outcome;
        out_.findings.push_back(std::move(finding));
        return false;
    }
    // Damage ends the recovery, or is noted where the operator wants what is left.
    bool damage(std::string file, std::uint64_t offset, std::string what) {
        if (!salvage_) return stop(Outcome::damaged, {std::move(file), offset, std::move(what)});
        out_.findings.push_back({std::move(file), offset, std::move(what)});
        out_.salvaged = true;
        return true;
    }
    bool failed(const IoStatus& status) {
        out_.status = status;
        return stop(Outcome::failed, {"", 0, status.text()});
    }

    bool read_manifest() {
        std::string bytes;
        std::vector<std::string> names;
        if (IoStatus s = environment_.list(names); !s.ok()) return failed(s);
        bool segments =
            std::any_of(names.begin(), names.end(), [](auto& n) { return segment_number(n).has_value(); });
        IoStatus s = read_all(environment_, "MANIFEST", bytes);
        if (s.code == ENOENT) {
            // The first segment is made before the first manifest: alone and without a frame it is a
            // beginning that was cut short. Anything else without a manifest has lost it.
            if (!segments || only_a_beginning(names)) return false;
            return damage("MANIFEST", 0, "it is missing, but there are segments") && rebuild(names);
        }
        if (!s.ok()) return failed(s);
        std::size_t at = 0;
        switch (decode(bytes, out_.manifest, at)) {
            case Read::well:
                return true;
            case Read::newer:
                return stop(Outcome::newer, {"MANIFEST", 8, "it is of a newer version"});
            case Read::wrong:
                break;
        }
        return damage("MANIFEST", at, "it is damaged") && rebuild(names);
    }

    bool only_a_beginning(const std::vector<std::string>& names) {
        for (const std::string& n : names) {
            if (!segment_number(n)) continue;
            std::unique_ptr<File> file;
            if (segment_number(n) != 1 || !environment_.open(n, file).ok() || file->size() > kHeader)
                return false;
        }
        return true;
    }

    // Salvage without a manifest: the segments that are there, in order, of the store that most are of.
    bool rebuild(std::vector<std::string>& names) {
        out_.manifest = {};
        std::sort(names.begin(), names.end());
        for (const std::string& n : names) {
            auto number = segment_number(n);
            std::string bytes;
            SegmentHeader h;
            if (!number || !read_all(environment_, n, bytes).ok()) continue;
            if (decode(bytes, h) != Read::well || h.segment != *number) {
                out_.findings.push_back({n, 0, "its header is damaged: left out"});
                continue;
            }
            if (out_.manifest.segments.empty()) out_.manifest.store = h.store;
            if (h.store != out_.manifest.store) {
                out_.findings.push_back({n, 16, "it is of another store: left out"});
                continue;
            }
            if (!out_.manifest.segments.empty()) out_.manifest.segments.back().sealed = true;
            out_.manifest.segments.push_back({*number, false, 0, 0});
            out_.manifest.next = *number + 1;
        }
        rebuilt_ = true;
        return true;
    }

    bool read_segment(const Manifest::Segment& segment, bool last) {
        std::string name = segment_name(segment.number), bytes;
        IoStatus s = read_all(environment_, name, bytes);
        if (s.code == ENOENT) return damage(name, 0, "the segment is missing");
        if (!s.ok()) return failed(s);
        out_.bytes += bytes.size();
        SegmentHeader h;
        switch (decode(bytes, h)) {
            case Read::well:
                break;
            case Read::newer:
                return stop(Outcome::newer, {name, 8, "it is of a newer version"});
            case Read::wrong:
                return damage(name, 0, "its header is damaged");
        }
        if (h.store != out_.manifest.store) return damage(name, 16, "it is of another store");
        if (h.segment != segment.number) return damage(name, 24, "it is another segment");
        bool sealed = segment.sealed && !rebuilt_;
        if (sealed && bytes.size() < segment.length)
            if (!damage(name, bytes.size(), "it is shorter than its sealed length")) return false;
        std::string_view good = bytes;
        if (sealed) good = good.substr(0, std::size_t(segment.length));
        if (started_ && h.first != out_.next_sequence && !salvage_)
            return damage(name, 32, "its first sequence does not follow the segment before");
        if (!started_ || salvage_) out_.next_sequence = std::max(out_.next_sequence, h.first);
        started_ = true;
        bool whole = !sealed || checksum(good) == segment.checksum;
        std::uint64_t at = 0;
        if (!frames(name, good, h.store, at)) return false;
        if (sealed && (!whole || at != good.size())) {
            if (!salvage_)
                return stop(Outcome::damaged,
                            {name, at == good.size() ? 0 : at, "it is not what was sealed"});
            return salvage_rest(name, good, h.store, at);
        }
        // The manifest says how much of an unsealed one was synced when it was written. A copy that took the
        // manifest later than the segment is found out by that, and so is damage up to there.
        bool short_of = !sealed && !rebuilt_ && at < segment.length;
        if (!sealed && (at != good.size() || short_of)) {
            if (short_of || damage_behind(good, h.store, at)) {
                if (!damage(name, at, "what was synced is damaged")) return false;
                return salvage_rest(name, good, h.store, at);
            }
            out_.findings.push_back(
                {name, at,
                 "cut off: " + std::to_string(good.size() - at) + " bytes that were never acknowledged"});
            out_.outcome = Outcome::torn;
        }
        if (last) {
            out_.good = at;
            out_.good_checksum = checksum(good.substr(0, at));
        }
        return true;
    }

    // Whole frames from the front; `at` is where they end.
    bool frames(const std::string& name, std::string_view bytes, std::uint64_t store, std::uint64_t& at) {
        at = kHeader;
        while (at < bytes.size()) {
            auto frame = decode_frame(bytes.substr(at), store, at);
            if (!frame) return true;
            if (frame->sequence != out_.next_sequence) {
                if (!salvage_) return damage(name, at + 8, "its sequence does not follow the frame before");
                out_.next_sequence = std::max(out_.next_sequence, frame->sequence);
            }
            if (!take(*frame)) return damage(name, at + kFrameHead, "its records can't be read");
            at += frame->size();
        }
        return true;
    }

    bool take(const Frame& frame) {
        records_.clear();
        if (!decode_records(frame, records_)) return false;
        sink_(records_, frame.sequence);
        out_.records += records_.size();
        out_.next_sequence = std::max(out_.next_sequence, frame.sequence + records_.size());
        return true;
    }

    // Whether a frame behind `at` knew that `at` was synced: then what stands there has been changed since.
    static bool damage_behind(std::string_view bytes, std::uint64_t store, std::uint64_t at) {
        for (std::size_t i = std::size_t(at); (i = bytes.find(kFrameStart, i)) != std::string_view::npos; ++i)
            if (auto head = decode_frame_head(bytes.substr(i), store, i); head && head->durable > at)
                return true;
        return false;
    }

    bool salvage_rest(const std::string& name, std::string_view bytes, std::uint64_t store,
                      std::uint64_t at) {
        out_.salvaged = true;
        std::size_t i = std::size_t(at);
        std::uint64_t dropped_from = at;
        while ((i = bytes.find(kFrameStart, i)) != std::string_view::npos) {
            auto frame = decode_frame(bytes.substr(i), store, i);
            if (!frame || !take(*frame)) {
                ++i;
                continue;
            }
            if (i > dropped_from)
                out_.findings.push_back(
                    {name, dropped_from, "dropped " + std::to_string(i - dropped_from) + " bytes"});
            i += frame->size();
            dropped_from = i;
        }
        if (bytes.size() > dropped_from)
            out_.findings.push_back(
                {name, dropped_from, "dropped " + std::to_string(bytes.size() - dropped_from) + " bytes"});
        return true;
    }

    Environment& environment_;
    bool salvage_;
    const FrameSink& sink_;
    std::vector<RecordView> records_;
    Recovered out_;
    bool started_ = false, rebuilt_ = false;
};

}  // namespace

Recovered recover_frames(Environment& environment, bool salvage, const FrameSink& sink) {
    return Recovery(environment, salvage, sink).run();
}

Recovered recover(Environment& environment, bool salvage, const Sink& sink) {
    return recover_frames(environment, salvage,
                          [&](const std::vector<RecordView>& records, std::uint64_t sequence) {
                              for (const RecordView& r : records) sink(r.copy(), sequence++);
                          });
}

}  // namespace indigovane::store
