// Server-sent events: an incremental reader, and the formatting of events. Any split of the input gives the
// same events; one event's data is bounded. No I/O, no threads.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chalksail::chat {

// Reads one stream of events.
class SseReader {
public:
    // `max_bytes`: of one event's data and of a line.
    explicit SseReader(std::size_t max_bytes) : max_bytes_(max_bytes) {}
    // The data of each event that `bytes` complete, in order. After an overflow no more events are returned.
    [[nodiscard]] std::vector<std::string> feed(std::string_view bytes);
    // Has an event been longer than the bound?
    [[nodiscard]] bool overflowed() const { return overflowed_; }

private:
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

// One event, "data: ...\n\n"; line breaks inside become further data lines.
[[nodiscard]] std::string format_event(std::string_view data);

}  // namespace chalksail::chat
