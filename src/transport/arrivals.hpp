// When the unread bytes of a stream came. A request that waits unread behind others counts its time from its
// own last byte, and its client goes when that time is up.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

namespace indigovane::transport {

class Arrivals {
  public:
    using Time = std::chrono::steady_clock::time_point;
    // What comes within so long counts as come at the beginning of it: bytes one by one cost no entry each.
    static constexpr auto kTogether = std::chrono::milliseconds(10);

    // `total` bytes have come by now, and the first `consumed` of them are read.
    void came(std::uint64_t total, std::uint64_t consumed, Time now) {
        while (!pieces_.empty() && pieces_.front().end <= consumed) pieces_.pop_front();
        if (!pieces_.empty() && pieces_.back().end >= total) return;
        if (!pieces_.empty() && now < pieces_.back().at + kTogether)
            pieces_.back().end = total;
        else
            pieces_.push_back({total, now});
    }
    // When the byte came that is the `count`th of the stream; `now` where that is not known any more.
    Time at(std::uint64_t count, Time now) const {
        for (const Piece& p : pieces_)
            if (count <= p.end) return p.at;
        return now;
    }
    std::size_t pieces() const { return pieces_.size(); }

  private:
    struct Piece {
        std::uint64_t end;  // of the stream's bytes
        Time at;
    };
    std::deque<Piece> pieces_;
};

}  // namespace indigovane::transport
