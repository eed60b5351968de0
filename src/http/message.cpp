#include "http/message.hpp"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include "http/chunk_reader.hpp"

namespace chalksail::http {
namespace {

char to_lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c; }

// Maximum bytes reserved for a request body once its head is parsed, so that a large Content-Length alone
// does not allocate memory.
constexpr std::size_t kMaxInitialBodyReserve = 64 * 1024;

// Informational (1xx) responses that may precede a final one.
constexpr int kMaxInformationalResponses = 32;

// The bytes of a header field beside its name and value: ":" and CRLF.
constexpr std::size_t kFieldSeparatorBytes = 3;
// The memory of a header field beside its bytes, in a vector that has reserved twice of what it holds.
constexpr std::size_t kFieldMemory = 2 * sizeof(Header);

// Builds the header fields from http-parser's callbacks and counts the fields and bytes of the head.
struct HeadBuilder {
    Headers headers;
    bool in_value = false;
    std::size_t bytes = 0;
    std::size_t fields = 0;

    // Both return false if the head exceeds the limits.
    bool add_to_name(std::string_view part, const Limits& limits) {
        if (in_value || headers.all().empty()) {
            if ((fields += 1) > limits.header_fields) return false;
            bytes += kFieldSeparatorBytes;
            headers.add({}, {});
        }
        in_value = false;
        if ((bytes += part.size()) > limits.head_bytes) return false;
        headers.all().back().name += part;
        return true;
    }
    bool add_to_value(std::string_view part, const Limits& limits) {
        if ((bytes += part.size()) > limits.head_bytes) return false;
        if (headers.all().empty()) return false;
        in_value = true;
        headers.all().back().value += part;
        return true;
    }
    // Returns the fields, without the trailing whitespace that http-parser leaves on values and that is not
    // part of them (RFC 9112, section 5).
    Headers take() {
        for (auto& h : headers.all())
            while (!h.value.empty() && (h.value.back() == ' ' || h.value.back() == '\t')) h.value.pop_back();
        return std::exchange(headers, {});
    }
};

std::string parser_error(http_parser& parser) { return http_errno_description(HTTP_PARSER_ERRNO(&parser)); }

}  // namespace

bool same_name(std::string_view a, std::string_view b) {
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(),
                                              [](char x, char y) { return to_lower(x) == to_lower(y); });
}

std::string_view Headers::get(std::string_view name) const {
    for (const auto& h : all_)
        if (same_name(h.name, name)) return h.value;
    return {};
}
void Headers::set(std::string_view name, std::string value) {
    for (auto& header : all_) {
        if (!same_name(header.name, name)) continue;
        header.value = std::move(value);
        return;
    }
    add(std::string(name), std::move(value));
}
bool Headers::has(std::string_view name) const {
    return std::any_of(all_.begin(), all_.end(), [&](const auto& h) { return same_name(h.name, name); });
}

// ---- requests ----

std::size_t Request::memory_bytes() const {
    std::size_t bytes = target.size() + body.size();
    for (const auto& field : headers.all()) bytes += field.name.size() + field.value.size() + kFieldMemory;
    return bytes;
}

struct RequestReader::State {
    explicit State(Limits message_limits) : limits(message_limits) {
        http_parser_settings_init(&callbacks);
        callbacks.on_url = [](http_parser* p, const char* at, std::size_t n) {
            return state_of(p).on_target({at, n});
        };
        callbacks.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
            return state_of(p).on_header_name({at, n});
        };
        callbacks.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
            return state_of(p).on_header_value({at, n});
        };
        callbacks.on_headers_complete = [](http_parser* p) { return state_of(p).on_head_complete(); };
        callbacks.on_body = [](http_parser* p, const char* at, std::size_t n) {
            return state_of(p).on_body({at, n});
        };
        callbacks.on_message_complete = [](http_parser* p) { return state_of(p).on_complete(); };
        begin();
    }
    // Prepares for the next request on the connection.
    void begin() {
        http_parser_init(&parser, HTTP_REQUEST);
        parser.data = this;
        request = {};
        head = {};
        head_complete = complete = continue_expected = false;
        fault.reset();
    }

    Limits limits;
    http_parser parser{};
    http_parser_settings callbacks{};
    Request request;
    HeadBuilder head;
    bool head_complete = false;
    bool complete = false;
    bool continue_expected = false;
    std::optional<Fault> fault;

private:
    // Return values of http-parser's callbacks.
    static constexpr int kContinueParsing = 0;
    static constexpr int kStopParsing = 1;

    static State& state_of(http_parser* p) { return *static_cast<State*>(p->data); }
    int fail(int status, std::string text) {
        fault = Fault{status, std::move(text)};
        return kStopParsing;
    }
    int head_too_large() { return fail(431, "request head too large"); }
    int body_too_large() { return fail(413, "request body too large"); }

    int on_target(std::string_view bytes) {
        head.bytes += bytes.size();
        if (head.bytes > limits.head_bytes) return head_too_large();
        request.target += bytes;
        return kContinueParsing;
    }
    int on_header_name(std::string_view bytes) {
        return head.add_to_name(bytes, limits) ? kContinueParsing : head_too_large();
    }
    int on_header_value(std::string_view bytes) {
        return head.add_to_value(bytes, limits) ? kContinueParsing : head_too_large();
    }
    int on_head_complete() {
        head_complete = true;
        request.headers = head.take();
        request.method = http_method_str(static_cast<http_method>(parser.method));
        request.http_1_0 = parser.http_major == 1 && parser.http_minor == 0;
        request.keep_alive = http_should_keep_alive(&parser) != 0;
        if (parser.http_major != 1) return fail(505, "unsupported HTTP version: HTTP/1.x expected");
        const bool has_length = parser.content_length != ULLONG_MAX;
        if (has_length && parser.content_length > limits.body_bytes) return body_too_large();
        if (const auto expect = request.headers.get("expect"); !expect.empty()) {
            if (!same_name(expect, "100-continue"))
                return fail(417, "unsupported Expect header: only 100-continue is supported");
            continue_expected = !request.http_1_0;
        }
        if (has_length)
            request.body.reserve(std::min<std::size_t>(parser.content_length, kMaxInitialBodyReserve));
        return kContinueParsing;
    }
    int on_body(std::string_view bytes) {
        continue_expected = false;
        if (request.body.size() + bytes.size() > limits.body_bytes) return body_too_large();
        request.body += bytes;
        return kContinueParsing;
    }
    // Pauses the parser, as the bytes that follow belong to the next request.
    int on_complete() {
        complete = true;
        http_parser_pause(&parser, 1);
        return kContinueParsing;
    }
};

RequestReader::RequestReader(Limits limits) : state_(std::make_unique<State>(limits)) {}
RequestReader::~RequestReader() = default;
RequestReader::RequestReader(RequestReader&&) noexcept = default;
RequestReader& RequestReader::operator=(RequestReader&&) noexcept = default;
bool RequestReader::in_body() const { return state_->head_complete; }
std::size_t RequestReader::memory_bytes() const {
    const State& s = *state_;
    return s.head.bytes + s.head.fields * kFieldMemory + s.request.body.size();
}

RequestReader::Progress RequestReader::feed(std::string_view& bytes) {
    State& s = *state_;
    const std::size_t consumed = http_parser_execute(&s.parser, &s.callbacks, bytes.data(), bytes.size());
    bytes.remove_prefix(std::min(consumed, bytes.size()));
    if (s.fault) return *s.fault;
    if (s.complete) {
        Request out = std::move(s.request);
        s.begin();
        return out;
    }
    const auto error = HTTP_PARSER_ERRNO(&s.parser);
    if (error == HPE_HEADER_OVERFLOW) return Fault{431, "request head too large"};
    if (error != HPE_OK || s.parser.upgrade != 0)
        return Fault{400, "malformed HTTP/1.1 message: " + parser_error(s.parser)};
    return NeedMore{std::exchange(s.continue_expected, false)};
}

// ---- responses ----

struct ResponseReader::State {
    explicit State(Limits message_limits) : limits(message_limits) {
        http_parser_settings_init(&callbacks);
        callbacks.on_message_begin = [](http_parser* p) { return state_of(p).on_begin(); };
        callbacks.on_status = [](http_parser* p, const char*, std::size_t n) {
            return state_of(p).on_reason(n);
        };
        callbacks.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
            return state_of(p).on_header_name({at, n});
        };
        callbacks.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
            return state_of(p).on_header_value({at, n});
        };
        callbacks.on_headers_complete = [](http_parser* p) { return state_of(p).on_head_complete(); };
        callbacks.on_body = [](http_parser* p, const char* at, std::size_t n) {
            return state_of(p).on_body({at, n});
        };
        callbacks.on_message_complete = [](http_parser* p) { return state_of(p).on_complete(); };
        begin();
    }
    // Prepares for the next response on the connection.
    void begin() {
        http_parser_init(&parser, HTTP_RESPONSE);
        parser.data = this;
        head = {};
        begun = complete = head_too_large = keep_alive = false;
        informational_responses = 0;
        chunks.reset();
        parsed.clear();
    }

    Limits limits;
    http_parser parser{};
    http_parser_settings callbacks{};
    HeadBuilder head;
    bool begun = false;
    bool complete = false;
    bool head_too_large = false;
    int informational_responses = 0;    // ahead of the final one
    bool keep_alive = false;            // according to the head; used for chunked bodies
    std::optional<ChunkReader> chunks;  // set while a chunked body is being read
    std::vector<ResponsePart> parsed;   // parts completed by the current input

private:
    static State& state_of(http_parser* p) { return *static_cast<State*>(p->data); }
    // Returns true for an informational (1xx) response, which precedes the final one.
    [[nodiscard]] bool informational() const { return parser.status_code < 200; }
    // Returns the callback's result after bytes were added to the head: 1 stops the parser with an error.
    int check_head(bool within_limit) {
        head_too_large = !within_limit;
        return within_limit ? 0 : 1;
    }

    int on_begin() {
        begun = true;
        return 0;
    }
    int on_reason(std::size_t bytes) {
        head.bytes += bytes;
        return check_head(head.bytes <= limits.head_bytes);
    }
    int on_header_name(std::string_view bytes) { return check_head(head.add_to_name(bytes, limits)); }
    int on_header_value(std::string_view bytes) { return check_head(head.add_to_value(bytes, limits)); }
    int on_head_complete() {
        if (!informational())
            parsed.emplace_back(ResponseHead{static_cast<int>(parser.status_code), head.take()});
        head = {};
        if (informational() || (parser.flags & F_CHUNKED) == 0) return 0;
        keep_alive = http_should_keep_alive(&parser) != 0;
        chunks.emplace(limits);
        return 1;  // http-parser is to expect no body: ChunkReader reads it
    }
    int on_body(std::string_view bytes) {
        if (!parsed.empty() && std::holds_alternative<ResponseBodyPart>(parsed.back()))
            std::get<ResponseBodyPart>(parsed.back()).bytes += bytes;
        else parsed.emplace_back(ResponseBodyPart{std::string(bytes)});
        return 0;
    }
    int on_complete() {
        if (informational()) {
            begun = false;
            informational_responses += 1;
            return check_head(informational_responses <= kMaxInformationalResponses);
        }
        http_parser_pause(&parser, 1);
        if (chunks) return 0;  // only the head is complete: ChunkReader finds the end of the body
        complete = true;
        parsed.emplace_back(ResponseEnd{http_should_keep_alive(&parser) != 0});
        return 0;
    }
};

ResponseReader::ResponseReader(Limits limits) : state_(std::make_unique<State>(limits)) {}
ResponseReader::~ResponseReader() = default;
ResponseReader::ResponseReader(ResponseReader&&) noexcept = default;
ResponseReader& ResponseReader::operator=(ResponseReader&&) noexcept = default;
void ResponseReader::reset() { state_->begin(); }

namespace {

// Reads more of a chunked body and appends its parts to `parsed`, the parts that the same input completed
// before.
std::vector<ResponsePart> feed_chunks(ChunkReader& chunks, std::string_view bytes, bool keep_alive,
                                      std::vector<ResponsePart> parsed) {
    std::string body;
    const bool valid = chunks.feed(bytes, body);
    if (!body.empty()) parsed.emplace_back(ResponseBodyPart{std::move(body)});
    if (!valid) parsed.emplace_back(Fault{502, "malformed chunked body in the response"});
    else if (chunks.complete()) parsed.emplace_back(ResponseEnd{keep_alive && bytes.empty(), !bytes.empty()});
    return parsed;
}

}  // namespace

std::vector<ResponsePart> ResponseReader::feed(std::string_view bytes) {
    State& s = *state_;
    if (bytes.empty()) return {};  // http-parser would take empty input for the end of the stream
    if (s.complete) return {Fault{502, "bytes after the end of the response"}};
    std::size_t consumed = 0;
    if (!s.chunks) consumed = http_parser_execute(&s.parser, &s.callbacks, bytes.data(), bytes.size());
    auto out = std::exchange(s.parsed, {});
    if (s.chunks) {
        out = feed_chunks(*s.chunks, bytes.substr(consumed), s.keep_alive, std::move(out));
        s.complete = s.chunks->complete();
        return out;
    }
    if (s.complete) {
        if (consumed < bytes.size()) std::get<ResponseEnd>(out.back()) = {false, true};
        return out;
    }
    if (s.head_too_large || HTTP_PARSER_ERRNO(&s.parser) == HPE_HEADER_OVERFLOW)
        out.emplace_back(Fault{502, "response head too large"});
    else if (HTTP_PARSER_ERRNO(&s.parser) != HPE_OK || s.parser.upgrade != 0)
        out.emplace_back(Fault{502, "malformed HTTP/1.1 message: " + parser_error(s.parser)});
    return out;
}

std::vector<ResponsePart> ResponseReader::close() {
    State& s = *state_;
    if (s.complete || !s.begun) return {};
    if (s.chunks) return {Fault{502, "the connection was closed before the response was complete", true}};
    http_parser_execute(&s.parser, &s.callbacks, nullptr, 0);
    auto out = std::exchange(s.parsed, {});
    if (s.complete) std::get<ResponseEnd>(out.back()).keep_alive = false;
    else out.emplace_back(Fault{502, "the connection was closed before the response was complete", true});
    return out;
}

// ---- formatting ----

std::string_view reason(int status) {
    switch (status) {
#define CHALKSAIL_REASON(number, name, text) \
    case number: return #text;
        HTTP_STATUS_MAP(CHALKSAIL_REASON)
#undef CHALKSAIL_REASON
        default: return "Unknown";
    }
}

namespace {
void append_headers(std::string& out, const Headers& headers) {
    for (const auto& h : headers.all()) {
        out += h.name;
        out += ": ";
        // Prevents header injection: a line break in a value would begin another header field.
        for (const char c : h.value) out += c == '\r' || c == '\n' ? ' ' : c;
        out += "\r\n";
    }
    out += "\r\n";
}
}  // namespace

std::string format_request_head(std::string_view method, std::string_view target, const Headers& headers) {
    std::string out;
    out.reserve(256);
    ((out += method) += ' ') += target;
    out += " HTTP/1.1\r\n";
    append_headers(out, headers);
    return out;
}

std::string format_response_head(int status, const Headers& headers) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + ' ';
    out += reason(status);
    out += "\r\n";
    append_headers(out, headers);
    return out;
}

std::string format_chunk(std::string_view bytes) {
    std::array<char, 20> size{};
    const auto [end, why] = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
    std::string out;
    out.reserve(bytes.size() + 24);
    out.append(size.data(), end);
    out += "\r\n";
    out += bytes;
    out += "\r\n";
    return out;
}

}  // namespace chalksail::http
