// The protocol with clients, OpenAI's chat completions: parses requests and formats errors. No I/O, no
// threads, no state between calls. Members of a request that this package does not know are forwarded
// unchanged: the body is kept as received, and only complete top-level members are removed or added.
// Malformed requests give an ApiError.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace chalksail::chat {

// OpenAI's error object, and the HTTP status of the response.
struct ApiError {
    int status = 400;
    std::string message;
    std::string type = "invalid_request_error";
    std::string param;  // the invalid field; empty: none
    std::string code;   // empty: none
};
// Returns the body of an error response: {"error": {...}}.
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
    std::size_t prompt_bytes = 0;  // bytes of messages and tools in the body
    std::size_t prefix_bytes = 0;  // bytes of the messages that `prefix` covers
    std::vector<Member> members;
};

// Limits on a request's body.
struct Limits {
    std::size_t messages = 4096;
    std::size_t depth = 64;  // nesting depth of objects and arrays
};

// Parses a chat completion request. Errors name the invalid field.
[[nodiscard]] tl::expected<Request, ApiError> parse_request(std::string_view body, const Limits& limits = {});

// Returns the top-level members of a JSON object; nullopt if the text is not a JSON object or is nested
// deeper than `depth`.
[[nodiscard]] std::optional<std::vector<Member>> members_of(std::string_view body, std::size_t depth = 64);

// Replaces all members of that name with one, or removes them if `json` has no value.
struct Override {
    std::string name;
    std::optional<std::string> json;
};
// Returns `body` with the overrides applied; all other members stay unchanged, byte for byte.
[[nodiscard]] std::string rewrite(std::string_view body, const std::vector<Member>& members,
                                  const std::vector<Override>& overrides);

}  // namespace chalksail::chat
