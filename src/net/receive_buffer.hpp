// Bytes that were received and not parsed yet: a queue of segments. Appending and consuming cost time in
// proportion to the bytes appended or consumed, never to those that stay in the queue, and the memory of
// consumed bytes is freed with their segment. Not thread-safe. No errors.
#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <string_view>

namespace chalksail::net {

class ReceiveBuffer {
public:
    void append(std::string_view bytes);
    // Returns the bytes at the front that are contiguous in memory; empty only if the buffer is. Valid until
    // the next call of a non-const function.
    [[nodiscard]] std::string_view front() const;
    // Removes the first `count` bytes of front().
    void consume(std::size_t count);
    void clear();
    [[nodiscard]] bool empty() const { return size_ == 0; }
    [[nodiscard]] std::size_t size() const { return size_; }

private:
    std::list<std::string> segments_;  // none of them is consumed entirely
    std::size_t consumed_ = 0;         // bytes consumed of the first segment
    std::size_t size_ = 0;             // bytes in all segments, less the consumed ones
};

}  // namespace chalksail::net
