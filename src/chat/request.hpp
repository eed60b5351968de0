// The client's side of the OpenAI-style chat protocol: requests in, errors out. Bytes <-> typed values; no
// I/O, no threads, no state between calls. Members of a request that this package does not know are forwarded
// unaltered: the body stays as received, and only complete top-level members are removed or added. Malformed
// requests are returned as ApiError.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace chalksail::chat {

// OpenAI's error object, and the HTTP status that it is sent with.
struct ApiError {
    int status = 400;
    std::string message;
    std::string type = "invalid_request_error";
    std::string param;  // the field at fault; empty: none
    std::string code;   // empty: none
};
// The body of an error response: {"error": {...}}.
[[nodiscard]] std::string format_error(const ApiError& error);

// A top-level member of a JSON object, as offsets into its text: [begin, end) covers name, colon and value.
struct Member {
    std::string name;
    std::size_t begin = 0;
    std::size_t value = 0;
    std::size_t end = 0;
};

// A parsed chat completion request.
struct Request {
    std::string model;
    bool stream = false;
    bool include_usage = false;
    double max_output = 0;         // tokens; 0: not given
    std::string session;           // prompt_cache_key, else user; empty: neither
    std::string prefix;            // hash of the leading system and developer messages; empty: none
    std::size_t prompt_bytes = 0;  // of all messages and tools, as in the body
    std::size_t prefix_bytes = 0;  // of these, the ones that `prefix` covers
    std::vector<Member> members;
};

// Bounds of a request's body.
struct Limits {
    std::size_t messages = 4096;
    std::size_t depth = 64;  // of nested objects and arrays
};

// Errors name the field at fault.
[[nodiscard]] tl::expected<Request, ApiError> parse_request(std::string_view body, const Limits& limits = {});

// The top-level members of a JSON object; nullopt if the text is no JSON object or nests deeper than `depth`.
[[nodiscard]] std::optional<std::vector<Member>> members_of(std::string_view body, std::size_t depth = 64);

// A member that replaces all of that name; without a value they are only removed.
struct Override {
    std::string name;
    std::optional<std::string> json;
};
// `body` with the overrides applied; all other members stay as they are, byte for byte.
[[nodiscard]] std::string rewrite(std::string_view body, const std::vector<Member>& members,
                                  const std::vector<Override>& overrides);

}  // namespace chalksail::chat
