#include "platform/request.hpp"

#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <optional>

#include "base/json.hpp"

namespace chalksail::platform {
namespace {

constexpr double kMaxTokens = 1e9;
constexpr double kBytesPerToken = 4;  // the platform's estimate for prompts without a token count
constexpr std::int64_t kMaxTimeRemainingMs = 86'400'000;

// Names in requests are written to paths and logs, so only letters, digits, '-', '_' and '.' are allowed.
bool is_name_char(char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
           c == '_' || c == '.';
}
bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= kMaxNameBytes &&
           std::all_of(text.begin(), text.end(), is_name_char);
}

std::size_t count(const http::Headers& headers, std::string_view name) {
    return static_cast<std::size_t>(
        std::count_if(headers.all().begin(), headers.all().end(),
                      [&](const auto& header) { return http::same_name(header.name, name); }));
}

std::optional<double> parse_token_count(std::string_view text) {
    double value = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || stop != end || !(value >= 0 && value <= kMaxTokens)) return std::nullopt;
    return value;
}

std::string_view trim_spaces(std::string_view text) {
    while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
    while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
    return text;
}

// Reads one "name=value" pair; ignores unknown names. Returns false if the pair is malformed.
bool read_pair(std::string_view pair, ClientRequest& request) {
    const auto equals = pair.find('=');
    if (equals == std::string_view::npos) return false;
    const auto name = pair.substr(0, equals);
    const auto value = pair.substr(equals + 1);
    if (name == "prefix") {
        if (!is_name(value)) return false;
        request.prefix = value;
        return true;
    }
    double* tokens = nullptr;
    if (name == "prompt_len") tokens = &request.prompt_tokens;
    else if (name == "prefix_len") tokens = &request.shared_tokens;
    else if (name == "max_out") tokens = &request.max_output;
    else return true;
    const auto number = parse_token_count(value);
    if (!number) return false;
    *tokens = *number;
    return true;
}

// Reads the comma-separated pairs of kFactsHeader. Returns false if one is malformed.
bool read_pairs(std::string_view text, ClientRequest& request) {
    while (!text.empty()) {
        const auto comma = text.find(',');
        const auto pair = trim_spaces(text.substr(0, comma));
        text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
        if (!pair.empty() && !read_pair(pair, request)) return false;
    }
    return true;
}

// Returns true if the body is one JSON object. Validates it in one pass and stores nothing.
bool is_json_object(std::string_view body) {
    const auto first = body.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos || body[first] != '{') return false;
    rapidjson::MemoryStream bytes(body.data(), body.size());
    rapidjson::BaseReaderHandler<> ignore;
    rapidjson::Reader reader;
    return !reader.Parse<rapidjson::kParseIterativeFlag>(bytes, ignore).IsError();
}

}  // namespace

tl::expected<ClientRequest, std::string> read_request(const http::Request& request) {
    const auto& headers = request.headers;
    const auto error = [](std::string_view header, std::string_view problem) {
        return tl::unexpected(std::string(header) + ": " + std::string(problem));
    };
    // Rejects repeated headers, as the gateway and the servers might use different ones of them.
    for (const auto header : {kIdHeader, kClassHeader, kTenantHeader, kSessionHeader, kTimeRemainingHeader,
                              kFactsHeader, kRepeatHeader, kIdempotencyHeader})
        if (count(headers, header) > 1) return error(header, "occurs more than once");
    ClientRequest out;
    out.id = headers.get(kIdHeader);
    if (!is_name(out.id)) return error(kIdHeader, "missing or not a valid id");
    out.class_name = headers.get(kClassHeader);
    if (!is_name(out.class_name)) return error(kClassHeader, "missing or not a valid class name");
    out.tenant = headers.get(kTenantHeader);
    out.idempotency_key = headers.get(kIdempotencyHeader);
    out.session = headers.get(kSessionHeader);
    if (!out.session.empty() && !is_name(out.session))
        return error(kSessionHeader, "not a valid session key");
    const auto left = parse_time_remaining(headers.get(kTimeRemainingHeader));
    if (!left) return error(kTimeRemainingHeader, "missing or not a valid time");
    out.time_remaining = *left;
    if (!read_pairs(headers.get(kFactsHeader), out))
        return error(kFactsHeader, "malformed list of name=value pairs");
    if (out.prompt_tokens == 0) out.prompt_tokens = static_cast<double>(request.body.size()) / kBytesPerToken;
    out.shared_tokens = std::min(out.shared_tokens, out.prompt_tokens);
    const auto repeat = headers.get(kRepeatHeader);
    out.retry = repeat == "1";
    out.resumes_stream = repeat == "again";
    if (!repeat.empty() && !out.retry && !out.resumes_stream) return error(kRepeatHeader, "unknown value");
    if (!is_json_object(request.body)) return error("body", "not a JSON object");
    return out;
}

std::optional<Duration> parse_time_remaining(std::string_view text) {
    if (text.size() < 2) return std::nullopt;
    const char unit = text.back();
    text.remove_suffix(1);
    std::int64_t number = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{} || stop != end || number <= 0) return std::nullopt;
    if (unit == 'm' && number <= kMaxTimeRemainingMs) return std::chrono::milliseconds(number);
    if (unit == 'u' && number <= kMaxTimeRemainingMs * 1000) return std::chrono::microseconds(number);
    return std::nullopt;
}

std::string format_time_remaining(Duration left) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
    return std::to_string(std::max<std::int64_t>(1, ms)) + "m";
}

std::string format_retry_after(Duration after) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", seconds(after));
    return text.data();
}

std::string format_error(std::string_view message) {
    return json::ObjectWriter().raw("error", json::ObjectWriter().text("message", message).done()).done();
}

}  // namespace chalksail::platform
