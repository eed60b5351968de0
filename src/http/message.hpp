// HTTP/1.1 messages as values, and their bytes. The parsing is http-parser's; this room adds limits and
// types. Incremental: any split of the input gives the same result. Bounded: a message over its limits is an
// error before it is stored. No I/O, no threads.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chalksail::http {

struct Header {
    std::string name;
    std::string value;
};

class Headers {
public:
    void add(std::string name, std::string value) { all_.push_back({std::move(name), std::move(value)}); }
    // Replaces the first of that name, or adds it.
    void set(std::string_view name, std::string value);
    // The first of that name, in any case of letters; empty if there is none.
    [[nodiscard]] std::string_view get(std::string_view name) const;
    [[nodiscard]] bool has(std::string_view name) const;
    [[nodiscard]] const std::vector<Header>& all() const { return all_; }
    std::vector<Header>& all() { return all_; }

private:
    std::vector<Header> all_;
};

[[nodiscard]] bool same_name(std::string_view a, std::string_view b);

struct Request {
    std::string method;
    std::string target;  // as sent; path() leaves the query out
    Headers headers;
    std::string body;
    bool keep_alive = true;
    bool http_1_0 = false;
    [[nodiscard]] std::string_view path() const {
        return std::string_view(target).substr(0, target.find('?'));
    }
};

struct Limits {
    std::size_t head_bytes = 32 * 1024;
    std::size_t body_bytes = 8 * 1024 * 1024;
    std::uint64_t chunk_bytes = std::uint64_t{1} << 30U;  // one chunk of an answer
};

// Why a message can't be taken: the status to answer with, and the reason.
struct Fault {
    int status = 400;
    std::string text;
    bool cut = false;  // the stream ended within a message
};

// Reads requests, one at a time, from a byte stream.
class RequestReader {
public:
    explicit RequestReader(Limits limits);
    ~RequestReader();
    RequestReader(RequestReader&&) noexcept;
    RequestReader& operator=(RequestReader&&) noexcept;
    RequestReader(const RequestReader&) = delete;
    RequestReader& operator=(const RequestReader&) = delete;

    struct NeedMore {
        bool send_continue = false;  // the client waits for "100 Continue" before its body; said once
    };
    using Progress = std::variant<NeedMore, Request, Fault>;
    // Takes from the front of `bytes` what it uses, at most to the end of one request. After a Fault the
    // stream can't be read on.
    [[nodiscard]] Progress feed(std::string_view& bytes);
    // Is the head of the message that is being read whole?
    [[nodiscard]] bool in_body() const;
    [[nodiscard]] std::size_t body_bytes() const;  // of it, so far

private:
    struct State;
    std::unique_ptr<State> state_;
};

// Takes a chunked body apart, strictly: http-parser, as Debian builds it, passes over what stands where a
// chunk's end should be, and so takes a chunk that does not fit for another one.
class ChunkReader {
public:
    explicit ChunkReader(Limits limits) : limits_(limits) {}
    // Takes from the front of `bytes`; what it is not for stays there once whole(). Adds to `body`. False:
    // spoilt.
    [[nodiscard]] bool feed(std::string_view& bytes, std::string& body);
    [[nodiscard]] bool whole() const { return state_ == State::whole; }

private:
    enum class State { size, extension, size_end, data, data_cr, data_lf, trailer, trailer_end, whole };
    Limits limits_;
    State state_ = State::size;
    std::uint64_t left_ = 0;  // of the chunk
    int digits_ = 0;          // of its size
    std::size_t aside_ = 0;   // bytes of extensions and trailers
    bool line_empty_ = true;  // of the trailers
};

struct ResponseHead {
    int status = 0;
    Headers headers;
};
// Pieces of one response, in order: a head, bodies, an end.
struct BodyPiece {
    std::string bytes;
};
struct ResponseEnd {
    bool keep_alive = false;
};
using ResponsePiece = std::variant<ResponseHead, BodyPiece, ResponseEnd, Fault>;

// Reads responses. Informational (1xx) ones are passed over. Body bytes are not bounded here: they are passed
// on piece by piece and the receiver counts them.
class ResponseReader {
public:
    explicit ResponseReader(Limits limits);
    ~ResponseReader();
    ResponseReader(ResponseReader&&) noexcept;
    ResponseReader& operator=(ResponseReader&&) noexcept;
    ResponseReader(const ResponseReader&) = delete;
    ResponseReader& operator=(const ResponseReader&) = delete;

    // Bytes after the end of the response are a Fault: nothing was asked for.
    [[nodiscard]] std::vector<ResponsePiece> feed(std::string_view bytes);
    // The peer closed: ends a response whose body runs to the close; a Fault if it is cut; nothing between
    // responses.
    [[nodiscard]] std::vector<ResponsePiece> close();
    void reset();  // before the next response on the same connection

private:
    struct State;
    std::unique_ptr<State> state_;
};

[[nodiscard]] std::string_view reason(int status);
[[nodiscard]] std::string format_request_head(std::string_view method, std::string_view target,
                                              const Headers& headers);
[[nodiscard]] std::string format_response_head(int status, const Headers& headers);
[[nodiscard]] std::string format_chunk(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";
inline constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace chalksail::http
