#include "http/message.hpp"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

namespace chalksail::http {
namespace {

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c; }

// Collects a head from http-parser's callbacks, counting its bytes.
struct HeadBuilder {
    Headers headers;
    bool in_value = false;
    std::size_t bytes = 0;

    bool name(const char* at, std::size_t length, std::size_t limit) {
        if ((bytes += length) > limit) return false;
        if (in_value || headers.all().empty()) headers.add({}, {});
        in_value = false;
        headers.all().back().name.append(at, length);
        return true;
    }
    bool value(const char* at, std::size_t length, std::size_t limit) {
        if ((bytes += length) > limit) return false;
        if (headers.all().empty()) return false;
        in_value = true;
        headers.all().back().value.append(at, length);
        return true;
    }
    // http-parser leaves the white space after a value, which is no part of it (RFC 9112, 5).
    Headers take() {
        for (auto& h : headers.all())
            while (!h.value.empty() && (h.value.back() == ' ' || h.value.back() == '\t')) h.value.pop_back();
        return std::exchange(headers, {});
    }
};

std::string parser_says(http_parser& parser) { return http_errno_description(HTTP_PARSER_ERRNO(&parser)); }

}  // namespace

bool same_name(std::string_view a, std::string_view b) {
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
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

struct RequestReader::State {
    Limits limits;
    http_parser parser{};
    http_parser_settings callbacks{};
    Request request;
    HeadBuilder head;
    bool head_done = false;
    bool whole = false;
    bool want_continue = false;
    std::optional<Fault> fault;

    static State& of(http_parser* p) { return *static_cast<State*>(p->data); }
    int refuse(int status, std::string text) {
        fault = Fault{status, std::move(text)};
        return 1;
    }
    void begin() {
        http_parser_init(&parser, HTTP_REQUEST);
        parser.data = this;
        request = {};
        head = {};
        head_done = whole = want_continue = false;
        fault.reset();
    }
    explicit State(Limits l) : limits(l) {
        http_parser_settings_init(&callbacks);
        callbacks.on_url = [](http_parser* p, const char* at, std::size_t n) {
            State& s = of(p);
            if ((s.head.bytes += n) > s.limits.head_bytes) return s.refuse(431, "request head too large");
            s.request.target.append(at, n);
            return 0;
        };
        callbacks.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
            State& s = of(p);
            return s.head.name(at, n, s.limits.head_bytes) ? 0 : s.refuse(431, "request head too large");
        };
        callbacks.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
            State& s = of(p);
            return s.head.value(at, n, s.limits.head_bytes) ? 0 : s.refuse(431, "request head too large");
        };
        callbacks.on_headers_complete = [](http_parser* p) {
            State& s = of(p);
            s.head_done = true;
            s.request.headers = s.head.take();
            s.request.method = http_method_str(static_cast<http_method>(p->method));
            s.request.http_1_0 = p->http_major == 1 && p->http_minor == 0;
            s.request.keep_alive = http_should_keep_alive(p) != 0;
            if (p->http_major != 1) return s.refuse(505, "HTTP/1.1 wanted");
            const bool sized = p->content_length != ULLONG_MAX;
            if (sized && p->content_length > s.limits.body_bytes)
                return s.refuse(413, "request body too large");
            if (const auto expect = s.request.headers.get("expect"); !expect.empty()) {
                if (!same_name(expect, "100-continue")) return s.refuse(417, "unknown expectation");
                s.want_continue = !s.request.http_1_0;
            }
            if (sized) s.request.body.reserve(std::min<std::size_t>(p->content_length, 64 * 1024));
            return 0;
        };
        callbacks.on_body = [](http_parser* p, const char* at, std::size_t n) {
            State& s = of(p);
            s.want_continue = false;
            if (s.request.body.size() + n > s.limits.body_bytes)
                return s.refuse(413, "request body too large");
            s.request.body.append(at, n);
            return 0;
        };
        callbacks.on_message_complete = [](http_parser* p) {
            of(p).whole = true;
            http_parser_pause(p, 1);
            return 0;
        };
        begin();
    }
};

RequestReader::RequestReader(Limits limits) : state_(std::make_unique<State>(limits)) {}
RequestReader::~RequestReader() = default;
RequestReader::RequestReader(RequestReader&&) noexcept = default;
RequestReader& RequestReader::operator=(RequestReader&&) noexcept = default;
bool RequestReader::in_body() const { return state_->head_done; }
std::size_t RequestReader::body_bytes() const { return state_->request.body.size(); }

RequestReader::Progress RequestReader::feed(std::string_view& bytes) {
    State& s = *state_;
    const std::size_t used = http_parser_execute(&s.parser, &s.callbacks, bytes.data(), bytes.size());
    bytes.remove_prefix(std::min(used, bytes.size()));
    if (s.fault) return *s.fault;
    if (s.whole) {
        Request out = std::move(s.request);
        s.begin();
        return out;
    }
    const auto error = HTTP_PARSER_ERRNO(&s.parser);
    if (error == HPE_HEADER_OVERFLOW) return Fault{431, "request head too large"};
    if (error != HPE_OK || s.parser.upgrade != 0) return Fault{400, "not HTTP/1.1: " + parser_says(s.parser)};
    const bool say = s.want_continue;
    s.want_continue = false;
    return NeedMore{say};
}

// ---- chunks ----

bool ChunkReader::feed(std::string_view& bytes, std::string& body) {
    while (!bytes.empty() && state_ != State::whole) {
        if (state_ == State::data) {
            const auto n = static_cast<std::size_t>(std::min<std::uint64_t>(left_, bytes.size()));
            body.append(bytes.substr(0, n));
            bytes.remove_prefix(n);
            left_ -= n;
            if (left_ == 0) state_ = State::data_cr;
            continue;
        }
        const char c = bytes.front();
        bytes.remove_prefix(1);
        switch (state_) {
            case State::size: {
                const char l = lower(c);
                const int digit = c >= '0' && c <= '9' ? c - '0' : l >= 'a' && l <= 'f' ? l - 'a' + 10 : -1;
                if (digit >= 0) {
                    if (++digits_ > 16) return false;
                    left_ = left_ * 16 + static_cast<std::uint64_t>(digit);
                    if (left_ > limits_.chunk_bytes) return false;
                    break;
                }
                if (digits_ == 0) return false;
                if (c == '\r') state_ = State::size_end;
                else if (c == ';' || c == ' ' || c == '\t') state_ = State::extension;
                else return false;
                break;
            }
            case State::extension:
                if (++aside_ > limits_.head_bytes || c == '\n') return false;
                if (c == '\r') state_ = State::size_end;
                break;
            case State::size_end:
                if (c != '\n') return false;
                digits_ = 0;
                state_ = left_ == 0 ? State::trailer : State::data;
                break;
            case State::data_cr:
                if (c != '\r') return false;
                state_ = State::data_lf;
                break;
            case State::data_lf:
                if (c != '\n') return false;
                state_ = State::size;
                break;
            case State::trailer:
                if (++aside_ > limits_.head_bytes || c == '\n') return false;
                if (c == '\r') state_ = State::trailer_end;
                else line_empty_ = false;
                break;
            case State::trailer_end:
                if (c != '\n') return false;
                state_ = line_empty_ ? State::whole : State::trailer;
                line_empty_ = true;
                break;
            case State::data:
            case State::whole: break;
        }
    }
    return true;
}

// ---- responses ----

struct ResponseReader::State {
    Limits limits;
    http_parser parser{};
    http_parser_settings callbacks{};
    HeadBuilder head;
    bool begun = false;
    bool whole = false;
    bool over_limit = false;
    bool keep_alive = false;  // as its head says
    std::optional<ChunkReader> chunks;
    std::vector<ResponsePiece> pieces;

    static State& of(http_parser* p) { return *static_cast<State*>(p->data); }
    void begin() {
        http_parser_init(&parser, HTTP_RESPONSE);
        parser.data = this;
        head = {};
        begun = whole = over_limit = keep_alive = false;
        chunks.reset();
        pieces.clear();
    }
    explicit State(Limits l) : limits(l) {
        http_parser_settings_init(&callbacks);
        callbacks.on_message_begin = [](http_parser* p) {
            of(p).begun = true;
            return 0;
        };
        callbacks.on_status = [](http_parser* p, const char*, std::size_t n) {
            State& s = of(p);
            s.over_limit = (s.head.bytes += n) > s.limits.head_bytes;
            return s.over_limit ? 1 : 0;
        };
        callbacks.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
            State& s = of(p);
            s.over_limit = !s.head.name(at, n, s.limits.head_bytes);
            return s.over_limit ? 1 : 0;
        };
        callbacks.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
            State& s = of(p);
            s.over_limit = !s.head.value(at, n, s.limits.head_bytes);
            return s.over_limit ? 1 : 0;
        };
        callbacks.on_headers_complete = [](http_parser* p) {
            State& s = of(p);
            if (p->status_code >= 200)
                s.pieces.emplace_back(ResponseHead{static_cast<int>(p->status_code), s.head.take()});
            s.head = {};
            if (p->status_code < 200 || (p->flags & F_CHUNKED) == 0) return 0;
            s.keep_alive = http_should_keep_alive(p) != 0;
            s.chunks.emplace(s.limits);
            return 1;  // the head is the end, to http-parser
        };
        callbacks.on_body = [](http_parser* p, const char* at, std::size_t n) {
            State& s = of(p);
            if (!s.pieces.empty() && std::holds_alternative<BodyPiece>(s.pieces.back()))
                std::get<BodyPiece>(s.pieces.back()).bytes.append(at, n);
            else s.pieces.emplace_back(BodyPiece{std::string(at, n)});
            return 0;
        };
        callbacks.on_message_complete = [](http_parser* p) {
            State& s = of(p);
            if (p->status_code < 200) {
                s.begun = false;
                return 0;
            }
            if (s.chunks) {
                http_parser_pause(p, 1);
                return 0;
            }
            s.whole = true;
            s.pieces.emplace_back(ResponseEnd{http_should_keep_alive(p) != 0});
            http_parser_pause(p, 1);
            return 0;
        };
        begin();
    }
};

ResponseReader::ResponseReader(Limits limits) : state_(std::make_unique<State>(limits)) {}
ResponseReader::~ResponseReader() = default;
ResponseReader::ResponseReader(ResponseReader&&) noexcept = default;
ResponseReader& ResponseReader::operator=(ResponseReader&&) noexcept = default;
void ResponseReader::reset() { state_->begin(); }

std::vector<ResponsePiece> ResponseReader::feed(std::string_view bytes) {
    State& s = *state_;
    if (bytes.empty()) return {};  // to http-parser an empty input is the end of the stream
    if (s.whole) return {Fault{502, "bytes after the end of the answer"}};
    std::size_t used = 0;
    if (!s.chunks) used = http_parser_execute(&s.parser, &s.callbacks, bytes.data(), bytes.size());
    auto out = std::exchange(s.pieces, {});
    if (s.chunks) {
        auto rest = bytes.substr(used);
        std::string body;
        const bool good = s.chunks->feed(rest, body);
        if (!body.empty()) out.emplace_back(BodyPiece{std::move(body)});
        s.whole = good && s.chunks->whole();
        if (!good) out.emplace_back(Fault{502, "not HTTP/1.1: a chunk that can't be read, or does not fit"});
        else if (s.whole) out.emplace_back(ResponseEnd{s.keep_alive && rest.empty()});
        return out;
    }
    if (s.whole) {
        if (used < bytes.size()) std::get<ResponseEnd>(out.back()).keep_alive = false;
        return out;
    }
    if (s.over_limit || HTTP_PARSER_ERRNO(&s.parser) == HPE_HEADER_OVERFLOW)
        out.emplace_back(Fault{502, "answer's head too large"});
    else if (HTTP_PARSER_ERRNO(&s.parser) != HPE_OK || s.parser.upgrade != 0)
        out.emplace_back(Fault{502, "not HTTP/1.1: " + parser_says(s.parser)});
    return out;
}

std::vector<ResponsePiece> ResponseReader::close() {
    State& s = *state_;
    if (s.whole || !s.begun) return {};
    if (s.chunks) return {Fault{502, "the answer was cut", true}};
    http_parser_execute(&s.parser, &s.callbacks, nullptr, 0);
    auto out = std::exchange(s.pieces, {});
    if (s.whole) std::get<ResponseEnd>(out.back()).keep_alive = false;
    else out.emplace_back(Fault{502, "the answer was cut", true});
    return out;
}

// ---- bytes ----

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
void put_headers(std::string& out, const Headers& headers) {
    for (const auto& h : headers.all()) {
        out += h.name;
        out += ": ";
        // A line break in a value would begin a header of its own: nothing from outside may do that.
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
    put_headers(out, headers);
    return out;
}

std::string format_response_head(int status, const Headers& headers) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + ' ';
    out += reason(status);
    out += "\r\n";
    put_headers(out, headers);
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
