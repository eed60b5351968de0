// HTTP/1.1 messages as values, and their bytes on the wire. http-parser does the parsing; this package adds
// limits and types. Parsing is incremental: any split of the input gives the same result. It is bounded: a
// message over its limits is an error before it is stored. No I/O, no threads. Errors are returned as Fault.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chalksail::http {

// One header field, as received or to be sent.
struct Header {
    std::string name;
    std::string value;
};

// The header fields of a message, in order; names compare without regard to case.
class Headers {
public:
    // Appends a field; fields of the same name stay.
    void add(std::string name, std::string value) { all_.push_back({std::move(name), std::move(value)}); }
    // Replaces the first of that name, or adds it.
    void set(std::string_view name, std::string value);
    // The first of that name, in any case of letters; empty if there is none.
    [[nodiscard]] std::string_view get(std::string_view name) const;
    [[nodiscard]] bool has(std::string_view name) const;
    // All fields, in order.
    [[nodiscard]] const std::vector<Header>& all() const { return all_; }
    std::vector<Header>& all() { return all_; }

private:
    std::vector<Header> all_;
};

// Are these the same header name, in any case of letters?
[[nodiscard]] bool same_name(std::string_view a, std::string_view b);

// A complete request, as a server receives it.
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

// The most bytes of each part of a message.
struct Limits {
    std::size_t head_bytes = 32 * 1024;
    std::size_t body_bytes = 8 * 1024 * 1024;
    std::uint64_t chunk_bytes = std::uint64_t{1} << 30U;  // one chunk of an answer
};

// Why a message can't be read: the status to answer with, and the reason as text for logs.
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
        bool send_continue = false;  // the client waits for "100 Continue" before its body; set once
    };
    using Progress = std::variant<NeedMore, Request, Fault>;
    // Removes from the front of `bytes` what it has read, at most to the end of one request. After a Fault
    // the stream can't be read further.
    [[nodiscard]] Progress feed(std::string_view& bytes);
    // Has the head of the current request been read completely?
    [[nodiscard]] bool in_body() const;
    // Bytes of its body so far.
    [[nodiscard]] std::size_t body_bytes() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

// The parts of one response, in order: a head, parts of the body, the end. A Fault ends it instead.
struct ResponseHead {
    int status = 0;
    Headers headers;
};
struct ResponseBodyPart {
    std::string bytes;
};
struct ResponseEnd {
    bool keep_alive = false;
};
using ResponsePart = std::variant<ResponseHead, ResponseBodyPart, ResponseEnd, Fault>;

// Reads responses from a byte stream. Informational (1xx) ones are skipped. The body as a whole is not
// bounded here: its parts are returned as they arrive, and the caller counts them.
class ResponseReader {
public:
    explicit ResponseReader(Limits limits);
    ~ResponseReader();
    ResponseReader(ResponseReader&&) noexcept;
    ResponseReader& operator=(ResponseReader&&) noexcept;
    ResponseReader(const ResponseReader&) = delete;
    ResponseReader& operator=(const ResponseReader&) = delete;

    // The parts that `bytes` complete. Bytes after the end of the response are a Fault: no request is open.
    [[nodiscard]] std::vector<ResponsePart> feed(std::string_view bytes);
    // The peer closed: ends a response whose body runs to the close; a Fault if it is cut; nothing between
    // responses.
    [[nodiscard]] std::vector<ResponsePart> close();
    // Makes ready for the next response on the same connection.
    void reset();

private:
    struct State;
    std::unique_ptr<State> state_;
};

// The reason phrase of a status code; "Unknown" for others.
[[nodiscard]] std::string_view reason(int status);
// Heads with the empty line that ends them. Line breaks in values become spaces.
[[nodiscard]] std::string format_request_head(std::string_view method, std::string_view target,
                                              const Headers& headers);
[[nodiscard]] std::string format_response_head(int status, const Headers& headers);
// One chunk of a chunked body, with its size line.
[[nodiscard]] std::string format_chunk(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";
inline constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace chalksail::http
