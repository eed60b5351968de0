// Parses and formats HTTP/1.1 messages. http-parser does the parsing; this package adds limits and types.
// Parsing is incremental (any split of the input gives the same result) and bounded: a message over a limit
// is rejected before it is stored. No I/O, no threads. Errors are returned as Fault.
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

// The header fields of a message, in order. Names are compared case-insensitively.
class Headers {
public:
    // Appends a field; keeps existing fields of the same name.
    void add(std::string name, std::string value) { all_.push_back({std::move(name), std::move(value)}); }
    // Replaces the value of the first field of that name, or appends a field if there is none.
    void set(std::string_view name, std::string value);
    // Returns the value of the first field of that name; empty if there is none.
    [[nodiscard]] std::string_view get(std::string_view name) const;
    [[nodiscard]] bool has(std::string_view name) const;
    // Returns all fields, in order.
    [[nodiscard]] const std::vector<Header>& all() const { return all_; }
    std::vector<Header>& all() { return all_; }

private:
    std::vector<Header> all_;
};

// Returns true if the header names are equal, compared case-insensitively.
[[nodiscard]] bool same_name(std::string_view a, std::string_view b);

// A complete request, as a server receives it.
struct Request {
    std::string method;
    std::string target;  // as received, including the query
    Headers headers;
    std::string body;
    bool keep_alive = true;
    bool http_1_0 = false;
    [[nodiscard]] std::string_view path() const {
        return std::string_view(target).substr(0, target.find('?'));
    }
    // Returns the memory that the request takes, approximately.
    [[nodiscard]] std::size_t memory_bytes() const;
};

// Maximum sizes of the parts of a message.
struct Limits {
    std::size_t head_bytes = 32 * 1024;
    std::size_t body_bytes = 8 * 1024 * 1024;
    std::uint64_t chunk_bytes = std::uint64_t{1} << 30U;  // one chunk of a response body
    std::size_t header_fields = 100;  // bounds the memory of a head whose fields are short
};

// A parse error: the status to respond with, and a description for logs and error responses.
struct Fault {
    int status = 400;
    std::string text;
    bool cut = false;  // the connection was closed within a message
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
        // The client waits for "100 Continue" before it sends the body. Set once for each request.
        bool send_continue = false;
    };
    using Progress = std::variant<NeedMore, Request, Fault>;
    // Parses `bytes` up to the end of one request at most, and removes the consumed bytes from the front.
    // After a Fault the reader must not be used again.
    [[nodiscard]] Progress feed(std::string_view& bytes);
    // Returns true once the head of the current request is complete.
    [[nodiscard]] bool in_body() const;
    // Returns the memory that the part of the current request received so far takes, approximately.
    [[nodiscard]] std::size_t memory_bytes() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

// The parts of one response, in order: the head, any number of body parts, the end. After an error a Fault
// takes the place of the remaining parts.
struct ResponseHead {
    int status = 0;
    Headers headers;
};
struct ResponseBodyPart {
    std::string bytes;
};
struct ResponseEnd {
    bool keep_alive = false;
    bool surplus = false;  // bytes that belong to no response followed in the same input
};
using ResponsePart = std::variant<ResponseHead, ResponseBodyPart, ResponseEnd, Fault>;

// Reads responses from a byte stream. Skips a limited number of informational (1xx) responses. Does not limit
// the size of the whole body: body parts are returned as they arrive, and the caller must count their bytes.
class ResponseReader {
public:
    explicit ResponseReader(Limits limits);
    ~ResponseReader();
    ResponseReader(ResponseReader&&) noexcept;
    ResponseReader& operator=(ResponseReader&&) noexcept;
    ResponseReader(const ResponseReader&) = delete;
    ResponseReader& operator=(const ResponseReader&) = delete;

    // Returns the parts that `bytes` complete. Bytes after the end of the response give a Fault, as no
    // request is in flight.
    [[nodiscard]] std::vector<ResponsePart> feed(std::string_view bytes);
    // Handles the end of the connection: completes a response whose body is delimited by it, and returns a
    // Fault for any other incomplete response. Returns nothing between responses.
    [[nodiscard]] std::vector<ResponsePart> close();
    // Prepares for the next response on the same connection.
    void reset();

private:
    struct State;
    std::unique_ptr<State> state_;
};

// Returns the reason phrase of a status code; "Unknown" for an unregistered code.
[[nodiscard]] std::string_view reason(int status);
// Format a message head, including the empty line that ends it. Replace CR and LF in header values with
// spaces.
[[nodiscard]] std::string format_request_head(std::string_view method, std::string_view target,
                                              const Headers& headers);
[[nodiscard]] std::string format_response_head(int status, const Headers& headers);
// Formats one chunk of a chunked body, including its size line.
[[nodiscard]] std::string format_chunk(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";
inline constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace chalksail::http
