// A strict incremental reader of HTTP/1.1 chunked bodies (RFC 9112, section 7.1). Bounded; no I/O, no
// threads.
//
// http-parser, as Debian builds it, skips any bytes found where the CRLF after a chunk's data should be, and
// so accepts a chunk whose size line is wrong. This reader rejects such a body.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "http/message.hpp"

namespace chalksail::http {

// Reads one chunked body. Any split of the input gives the same result.
class ChunkReader {
public:
    explicit ChunkReader(Limits limits) : limits_(limits) {}
    // Consumes `bytes` from the front, up to the end of the body at most, and appends the chunks' data to
    // `body`. Returns false if the body is malformed or over a limit; the reader must not be used again then.
    [[nodiscard]] bool feed(std::string_view& bytes, std::string& body);
    // Returns true once the last chunk and its trailers have been read.
    [[nodiscard]] bool complete() const { return state_ == State::complete; }

private:
    enum class State {
        size,         // the hexadecimal digits of a chunk's size
        extension,    // chunk extensions up to CR, skipped
        size_end,     // the LF that ends the size line
        data,         // the chunk's data
        data_cr,      // the CR after the data
        data_lf,      // the LF after the data
        trailer,      // a trailer line up to CR, skipped
        trailer_end,  // the LF of a trailer line; an empty line ends the body
        complete,
    };

    // One function for each state: consumes one byte (on_data: as many as are available) and makes the state
    // transition. Returns false if the byte is not allowed in that state.
    bool on_byte(char byte);
    bool on_size(char byte);
    bool on_extension(char byte);
    bool on_size_end(char byte);
    void on_data(std::string_view& bytes, std::string& body);
    bool on_data_cr(char byte);
    bool on_data_lf(char byte);
    bool on_trailer(char byte);
    bool on_trailer_end(char byte);
    // Counts a byte of an extension or trailer; returns false if it is not allowed or there are too many.
    bool skip(char byte);

    Limits limits_;
    State state_ = State::size;
    std::uint64_t chunk_bytes_remaining_ = 0;  // bytes of the current chunk not yet received
    int size_digits_ = 0;
    std::size_t skipped_bytes_ = 0;  // bytes of extensions and trailers; at most Limits::head_bytes
    bool trailer_line_empty_ = true;
};

}  // namespace chalksail::http
