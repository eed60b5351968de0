// Reads and formats server-sent events. Reading is incremental: any split of the input gives the same events.
// The size of an event is bounded. No I/O, no threads.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chalksail::chat {

// Reads one stream of events.
class SseReader {
public:
    // `max_bytes` is the maximum size of one event's data and the current line together.
    explicit SseReader(std::size_t max_bytes) : max_bytes_(max_bytes) {}
    // Returns the data of each event that `bytes` complete, in order; none after an overflow.
    [[nodiscard]] std::vector<std::string> feed(std::string_view bytes);
    // Returns true if an event exceeded the maximum size.
    [[nodiscard]] bool overflowed() const { return overflowed_; }

private:
    // Processes a complete line; an empty one ends the event, whose data is appended to `out`.
    void end_line(std::vector<std::string>& out);

    std::size_t max_bytes_;
    std::string line_;
    std::string data_;
    bool has_data_ = false;
    bool after_cr_ = false;
    bool overflowed_ = false;
};

// The data of the event that ends a stream of chunks.
inline constexpr std::string_view kDone = "[DONE]";

// Formats one event, "data: ...\n\n". A line break in the data begins another data line.
[[nodiscard]] std::string format_event(std::string_view data);

}  // namespace chalksail::chat
