// Records when the unread bytes of a stream arrived. The time of a request that waits unread behind others
// counts from the arrival of its own last byte, because its client gives up when that time is over.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

namespace indigovane::transport {

class Arrivals {
  public:
    using Time = std::chrono::steady_clock::time_point;
    // Bytes that arrive within this time after the first byte of an entry are added to that entry and get its
    // time. This bounds the number of entries when bytes arrive one by one.
    static constexpr auto kGranularity = std::chrono::milliseconds(10);

    // Records that `total` bytes of the stream have arrived and the first `consumed` of them have been read.
    // Drops the entries of bytes that have been read.
    void record(std::uint64_t total, std::uint64_t consumed, Time now) {
        while (!pieces_.empty() && pieces_.front().end <= consumed) pieces_.pop_front();
        if (!pieces_.empty() && pieces_.back().end >= total) return;
        if (!pieces_.empty() && now < pieces_.back().time + kGranularity)
            pieces_.back().end = total;
        else
            pieces_.push_back({total, now});
    }
    // Arrival time of the `position`th byte of the stream, counted from 1. If its entry was dropped, the time
    // of the oldest entry; `now` if no entry reaches that far.
    Time at(std::uint64_t position, Time now) const {
        for (const Piece& piece : pieces_)
            if (position <= piece.end) return piece.time;
        return now;
    }
    std::size_t pieces() const { return pieces_.size(); }

  private:
    struct Piece {
        // Number of bytes of the stream up to the end of this entry.
        std::uint64_t end;
        // Arrival time of the entry's first byte.
        Time time;
    };
    std::deque<Piece> pieces_;
};

}  // namespace indigovane::transport
