#include "chat/sse.hpp"

#include <cstring>

namespace chalksail::chat {

namespace {

// Returns the position of the first line end in `bytes`. Uses memchr, because a search for either of two
// characters costs several times more, and this search covers every streamed byte.
std::size_t find_line_end(std::string_view bytes) {
    const auto find = [](std::string_view in, char c) {
        const void* const at = in.empty() ? nullptr : std::memchr(in.data(), c, in.size());
        return at == nullptr ? std::string_view::npos
                             : static_cast<std::size_t>(static_cast<const char*>(at) - in.data());
    };
    const auto lf = find(bytes, '\n');
    const auto cr = find(bytes.substr(0, lf), '\r');
    return cr != std::string_view::npos ? cr : lf;
}

}  // namespace

void SseReader::end_line(std::vector<std::string>& out) {
    if (line_.empty()) {
        if (has_data_) out.push_back(std::move(data_));
        data_.clear();
        has_data_ = false;
        return;
    }
    std::string_view line = line_;
    const auto colon = line.find(':');
    const std::string_view field = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view{} : line.substr(colon + 1);
    if (value.starts_with(' ')) value.remove_prefix(1);
    if (field == "data") {
        if (has_data_) data_ += '\n';
        data_ += value;
        has_data_ = true;
    }
    line_.clear();
}

std::vector<std::string> SseReader::feed(std::string_view bytes) {
    std::vector<std::string> out;
    while (!bytes.empty() && !overflowed_) {
        if (after_cr_ && bytes.front() == '\n') {
            after_cr_ = false;
            bytes.remove_prefix(1);
            continue;
        }
        after_cr_ = false;
        const auto end = find_line_end(bytes);
        const std::string_view part = bytes.substr(0, end);
        if (line_.size() + data_.size() + part.size() > max_bytes_) {
            overflowed_ = true;
            break;
        }
        line_ += part;
        if (end == std::string_view::npos) break;
        after_cr_ = bytes[end] == '\r';
        bytes.remove_prefix(end + 1);
        end_line(out);
    }
    return out;
}

std::string format_event(std::string_view data) {
    std::string out;
    out.reserve(data.size() + 10);
    for (;;) {
        const auto end = data.find('\n');
        out += "data: ";
        out += data.substr(0, end);
        out += '\n';
        if (end == std::string_view::npos) break;
        data.remove_prefix(end + 1);
    }
    out += '\n';
    return out;
}

}  // namespace chalksail::chat
