// Server-sent events: an incremental reader of the lines, and the events that clients get. Any split of the
// input gives the same events; one event's data is bounded. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chalksail::chat {

class SseReader {
public:
    explicit SseReader(std::size_t most_bytes) : most_(most_bytes) {}
    // The data of each event that became whole, in order. After an overflow nothing more is given.
    [[nodiscard]] std::vector<std::string> feed(std::string_view bytes);
    [[nodiscard]] bool overflowed() const { return overflowed_; }
    // Is an event begun and not ended?
    [[nodiscard]] bool midway() const { return !line_.empty() || has_data_; }

private:
    void end_line(std::vector<std::string>& out);

    std::size_t most_;
    std::string line_;
    std::string data_;
    bool has_data_ = false;
    bool after_cr_ = false;
    bool overflowed_ = false;
};

inline constexpr std::string_view kDone = "[DONE]";

// "data: ...\n\n"; line breaks inside become further data lines.
[[nodiscard]] std::string format_event(std::string_view data);

}  // namespace chalksail::chat
