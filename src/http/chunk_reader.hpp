// A strict incremental reader of HTTP/1.1 chunked bodies (RFC 9112, 7.1). Bounded; no I/O, no threads.
//
// http-parser, as Debian builds it, skips whatever stands where a chunk's end should be, and so accepts a
// chunk whose size is wrong. A response whose chunks don't fit is an error here.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "http/message.hpp"

namespace chalksail::http {

// Reads one chunked body. An explicit state machine: any split of the input gives the same result.
class ChunkReader {
public:
    explicit ChunkReader(Limits limits) : limits_(limits) {}
    // Removes from the front of `bytes` what it has read; what follows the body stays there. Appends the
    // chunks' data to `body`. False if the body is malformed or over a limit: it can't be read further then.
    [[nodiscard]] bool feed(std::string_view& bytes, std::string& body);
    // Has the last chunk, with its trailers, been read?
    [[nodiscard]] bool complete() const { return state_ == State::complete; }

private:
    enum class State {
        size,         // the hexadecimal digits of a chunk's size
        extension,    // chunk extensions up to CR, skipped
        size_end,     // the LF that ends the size line
        data,         // the chunk's data
        data_cr,      // the CR after it
        data_lf,      // the LF after it
        trailer,      // a trailer line up to CR, skipped
        trailer_end,  // its LF; an empty line ends the body
        complete,
    };

    // One function for each state: they read one byte (on_data: as many as there are), and make the
    // transition. False if the byte is not allowed there.
    bool on_byte(char byte);
    bool on_size(char byte);
    bool on_extension(char byte);
    bool on_size_end(char byte);
    void on_data(std::string_view& bytes, std::string& body);
    bool on_data_cr(char byte);
    bool on_data_lf(char byte);
    bool on_trailer(char byte);
    bool on_trailer_end(char byte);
    // Counts a byte of an extension or trailer; false if it is not allowed or there are too many.
    bool skip(char byte);

    Limits limits_;
    State state_ = State::size;
    std::uint64_t chunk_left_ = 0;  // bytes of the chunk that are still to come
    int size_digits_ = 0;
    std::size_t skipped_bytes_ = 0;  // of extensions and trailers; bounded by Limits::head_bytes
    bool trailer_line_empty_ = true;
};

}  // namespace chalksail::http
