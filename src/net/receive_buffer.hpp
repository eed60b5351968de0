// Bytes that were received and not parsed yet, and when they were received: a queue of segments. Appending
// and consuming cost time in proportion to the bytes appended or consumed, never to those that stay in the
// queue, and the memory of consumed bytes is freed with their segment. Reads no clock. Not thread-safe. No
// errors.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstddef>
#include <list>
#include <string>
#include <string_view>

namespace chalksail::net {

class ReceiveBuffer {
public:
    // Times must not decrease from call to call.
    void append(std::string_view bytes, Time received_at);
    // Returns the bytes at the front that are contiguous in memory; empty only if the buffer is. Valid until
    // the next call of a non-const function.
    [[nodiscard]] std::string_view front() const;
    // Returns when the bytes of front() had all been received, at most kTimeResolution after any of them. The
    // buffer must not be empty.
    [[nodiscard]] Time front_received_at() const { return segments_.front().received_at; }
    // Removes the first `count` bytes of front().
    void consume(std::size_t count);
    void clear();
    [[nodiscard]] bool empty() const { return size_ == 0; }
    [[nodiscard]] std::size_t size() const { return size_; }
    // Returns the memory in use. It exceeds size() by much if the bytes were received a few at a time.
    [[nodiscard]] std::size_t memory_bytes() const { return size_ + segments_.size() * kSegmentOverhead; }

    static constexpr Duration kTimeResolution = std::chrono::milliseconds(5);

private:
    struct Segment {
        std::string bytes;
        Time begun_at{};     // when the first byte was received
        Time received_at{};  // when the last byte was received
    };
    // Memory of a segment beside its bytes, with the nodes and headers of its allocations.
    static constexpr std::size_t kSegmentOverhead = 128;

    // Returns whether bytes received at this time need a segment of their own.
    [[nodiscard]] bool needs_segment(Time received_at) const;

    std::list<Segment> segments_;  // none of them is consumed entirely
    std::size_t consumed_ = 0;     // bytes consumed of the first segment
    std::size_t size_ = 0;         // bytes in all segments, less the consumed ones
};

}  // namespace chalksail::net
