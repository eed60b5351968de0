#include "net/receive_buffer.hpp"

#include <algorithm>
#include <cassert>

namespace chalksail::net {
namespace {

// Small enough to free memory early, large enough that the list itself takes little.
constexpr std::size_t kSegmentBytes = std::size_t{16} * 1024;

}  // namespace

bool ReceiveBuffer::needs_segment(Time received_at) const {
    if (segments_.empty()) return true;
    const Segment& last = segments_.back();
    return last.bytes.size() >= kSegmentBytes || received_at - last.begun_at > kTimeResolution;
}

void ReceiveBuffer::append(std::string_view bytes, Time received_at) {
    size_ += bytes.size();
    while (!bytes.empty()) {
        if (needs_segment(received_at)) segments_.push_back({{}, received_at, received_at});
        Segment& last = segments_.back();
        const std::size_t count = std::min(bytes.size(), kSegmentBytes - last.bytes.size());
        last.bytes += bytes.substr(0, count);
        last.received_at = received_at;
        bytes.remove_prefix(count);
    }
}

std::string_view ReceiveBuffer::front() const {
    if (segments_.empty()) return {};
    return std::string_view(segments_.front().bytes).substr(consumed_);
}

void ReceiveBuffer::consume(std::size_t count) {
    assert(count <= front().size());
    size_ -= count;
    consumed_ += count;
    if (segments_.empty() || consumed_ < segments_.front().bytes.size()) return;
    segments_.pop_front();
    consumed_ = 0;
}

void ReceiveBuffer::clear() {
    segments_.clear();
    consumed_ = 0;
    size_ = 0;
}

}  // namespace chalksail::net
