// The bytes that a connection has read and its handler has not consumed yet.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <vector>

namespace indigovane::transport {

// A byte queue in one block of memory. The block grows when needed; when the free space behind the unread
// bytes runs out, they move to its front. A large block is freed once it is empty, so that many idle
// connections use little memory.
class Buffer {
  public:
    std::string_view view() const { return {bytes_.data() + begin_, end_ - begin_}; }
    std::size_t size() const { return end_ - begin_; }
    bool empty() const { return begin_ == end_; }
    // Total number of bytes consumed so far.
    std::uint64_t consumed() const { return consumed_; }
    std::size_t capacity() const { return bytes_.size(); }

    struct Span {
        char* data;
        std::size_t size;
    };
    // Returns all free space behind the unread bytes, at least `min_bytes` bytes. Valid until the buffer
    // changes.
    Span prepare(std::size_t min_bytes) {
        if (bytes_.size() - end_ < min_bytes) compact();
        if (bytes_.size() - end_ < min_bytes) bytes_.resize(std::max(end_ + min_bytes, bytes_.size() * 2));
        return {bytes_.data() + end_, bytes_.size() - end_};
    }
    // Makes room for `total` unread bytes, and for no more than that: the caller knows how much will come.
    void reserve(std::size_t total) {
        compact();
        if (bytes_.size() >= total) return;
        std::vector<char> larger(total);
        std::memcpy(larger.data(), bytes_.data(), size());
        bytes_.swap(larger);
    }
    // Adds `count` bytes, which the caller wrote into the span of prepare(), to the unread bytes.
    void commit(std::size_t count) { end_ += count; }
    // Removes `count` bytes from the front, or all if there are fewer.
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
    // Maximum capacity in bytes that an empty buffer keeps.
    static constexpr std::size_t kRetainedCapacity = 4096;

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
