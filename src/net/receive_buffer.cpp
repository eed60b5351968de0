#include "net/receive_buffer.hpp"

#include <algorithm>
#include <cassert>

namespace chalksail::net {
namespace {

// Small enough to free memory early, large enough that the list itself takes little.
constexpr std::size_t kSegmentBytes = std::size_t{16} * 1024;

}  // namespace

void ReceiveBuffer::append(std::string_view bytes) {
    size_ += bytes.size();
    while (!bytes.empty()) {
        if (segments_.empty() || segments_.back().size() >= kSegmentBytes) segments_.emplace_back();
        std::string& last = segments_.back();
        const std::size_t count = std::min(bytes.size(), kSegmentBytes - last.size());
        last += bytes.substr(0, count);
        bytes.remove_prefix(count);
    }
}

std::string_view ReceiveBuffer::front() const {
    if (segments_.empty()) return {};
    return std::string_view(segments_.front()).substr(consumed_);
}

void ReceiveBuffer::consume(std::size_t count) {
    assert(count <= front().size());
    size_ -= count;
    consumed_ += count;
    if (segments_.empty() || consumed_ < segments_.front().size()) return;
    segments_.pop_front();
    consumed_ = 0;
}

void ReceiveBuffer::clear() {
    segments_.clear();
    consumed_ = 0;
    size_ = 0;
}

}  // namespace chalksail::net
