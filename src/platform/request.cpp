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

constexpr std::size_t kMostId = 128;
constexpr double kMostTokens = 1e9;
constexpr double kBytesPerToken = 4;  // the platform's own measure

// Names that come from outside go into paths and logs: letters, digits and a few marks only.
bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= kMostId && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
               c == '_' || c == '.';
    });
}
std::size_t count(const http::Headers& headers, std::string_view name) {
    return static_cast<std::size_t>(
        std::count_if(headers.all().begin(), headers.all().end(),
                      [&](const auto& h) { return http::same_name(h.name, name); }));
}
std::optional<double> parse_count(std::string_view text) {
    double out = 0;
    const auto [end, why] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (why != std::errc{} || end != text.data() + text.size() || !(out >= 0 && out <= kMostTokens))
        return std::nullopt;
    return out;
}

// name=value, name=value, ...; unknown names are passed over.
bool read_facts(std::string_view text, ClientRequest& out) {
    while (!text.empty()) {
        const auto end = text.find(',');
        auto fact = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        while (!fact.empty() && fact.front() == ' ') fact.remove_prefix(1);
        while (!fact.empty() && fact.back() == ' ') fact.remove_suffix(1);
        if (fact.empty()) continue;
        const auto equals = fact.find('=');
        if (equals == std::string_view::npos) return false;
        const auto name = fact.substr(0, equals);
        const auto value = fact.substr(equals + 1);
        if (name == "prefix") {
            if (!is_name(value)) return false;
            out.prefix = value;
            continue;
        }
        double* const place = name == "prompt_len"   ? &out.prompt_tokens
                              : name == "prefix_len" ? &out.shared_tokens
                              : name == "max_out"    ? &out.max_output
                                                     : nullptr;
        if (place == nullptr) continue;
        const auto number = parse_count(value);
        if (!number) return false;
        *place = *number;
    }
    return true;
}

// Is the body one JSON object? Looks at each byte once and stores nothing.
bool is_object(std::string_view body) {
    const auto first = body.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos || body[first] != '{') return false;
    rapidjson::MemoryStream bytes(body.data(), body.size());
    rapidjson::BaseReaderHandler<> nothing;
    rapidjson::Reader reader;
    return !reader.Parse<rapidjson::kParseIterativeFlag>(bytes, nothing).IsError();
}

}  // namespace

tl::expected<ClientRequest, std::string> read_request(const http::Request& request) {
    const auto& headers = request.headers;
    const auto bad = [](std::string_view header, std::string_view what) {
        return tl::unexpected(std::string(header) + ": " + std::string(what));
    };
    // One that stands there twice may be read in two ways, here and at the servers.
    for (const auto header : {kIdHeader, kClassHeader, kTenantHeader, kSessionHeader, kTimeLeftHeader,
                              kFactsHeader, kRepeatHeader, kIdempotencyHeader})
        if (count(headers, header) > 1) return bad(header, "given twice");
    ClientRequest out;
    out.id = headers.get(kIdHeader);
    if (!is_name(out.id)) return bad(kIdHeader, "missing, or no id");
    out.class_name = headers.get(kClassHeader);
    if (!is_name(out.class_name)) return bad(kClassHeader, "missing, or no class");
    out.tenant = headers.get(kTenantHeader);
    out.idempotency_key = headers.get(kIdempotencyHeader);
    out.session = headers.get(kSessionHeader);
    if (!out.session.empty() && !is_name(out.session)) return bad(kSessionHeader, "no key");
    const auto left = parse_time_left(headers.get(kTimeLeftHeader));
    if (!left) return bad(kTimeLeftHeader, "missing, or no time");
    out.time_left = *left;
    if (!read_facts(headers.get(kFactsHeader), out)) return bad(kFactsHeader, "no facts");
    if (out.prompt_tokens == 0) out.prompt_tokens = static_cast<double>(request.body.size()) / kBytesPerToken;
    out.shared_tokens = std::min(out.shared_tokens, out.prompt_tokens);
    const auto repeat = headers.get(kRepeatHeader);
    out.retry = repeat == "1";
    out.again = repeat == "again";
    if (!repeat.empty() && !out.retry && !out.again) return bad(kRepeatHeader, "unknown word");
    if (!is_object(request.body)) return bad("body", "no JSON object");
    return out;
}

std::optional<Duration> parse_time_left(std::string_view text) {
    if (text.size() < 2) return std::nullopt;
    const char unit = text.back();
    text.remove_suffix(1);
    std::int64_t number = 0;
    const auto [end, why] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (why != std::errc{} || end != text.data() + text.size() || number <= 0) return std::nullopt;
    constexpr std::int64_t kDayMs = 86'400'000;
    if (unit == 'm' && number <= kDayMs) return std::chrono::milliseconds(number);
    if (unit == 'u' && number <= kDayMs * 1000) return std::chrono::microseconds(number);
    return std::nullopt;
}

std::string format_time_left(Duration left) {
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
