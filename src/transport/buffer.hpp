// The bytes that a connection has read and nobody has consumed yet.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <vector>

namespace indigovane::transport {

// Grows as it needs to and is compacted in place: what is unread moves to the front when free space runs out
// behind it. Gives back a large block once it has been emptied, so that many idle connections stay small.
class Buffer {
  public:
    std::string_view view() const { return {bytes_.data() + begin_, end_ - begin_}; }
    std::size_t size() const { return end_ - begin_; }
    bool empty() const { return begin_ == end_; }
    std::uint64_t consumed() const { return consumed_; }  // bytes, since the beginning
    std::size_t capacity() const { return bytes_.size(); }

    // Free space for at least `least` more bytes; returned with its true length.
    struct Span {
        char* data;
        std::size_t size;
    };
    Span prepare(std::size_t least) {
        if (bytes_.size() - end_ < least) compact();
        if (bytes_.size() - end_ < least) bytes_.resize(std::max(end_ + least, bytes_.size() * 2));
        return {bytes_.data() + end_, bytes_.size() - end_};
    }
    // Space for so many unread bytes in all, and no more: what is to come is known.
    void reserve(std::size_t total) {
        compact();
        if (bytes_.size() >= total) return;
        std::vector<char> larger(total);
        std::memcpy(larger.data(), bytes_.data(), size());
        bytes_.swap(larger);
    }
    void commit(std::size_t count) { end_ += count; }
    void consume(std::size_t count) {
        count = std::min(count, size());
        begin_ += count;
        consumed_ += count;
        if (begin_ != end_) return;
        begin_ = end_ = 0;
        if (bytes_.size() > kRetainedCapacity) {
            bytes_.clear();
            bytes_.shrink_to_fit();
        }
    }

  private:
    static constexpr std::size_t kRetainedCapacity = 16384;

    void compact() {
        if (begin_ == 0) return;
        std::memmove(bytes_.data(), bytes_.data() + begin_, size());
        end_ -= begin_;
        begin_ = 0;
    }

    std::vector<char> bytes_;
    std::size_t begin_ = 0, end_ = 0;
    std::uint64_t consumed_ = 0;
};

}  // namespace indigovane::transport
