#include "chat/request.hpp"

#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

#include "base/json.hpp"

namespace chalksail::chat {
namespace {

// A handler for rapidjson's reader that records where top-level members begin and end, and forwards every
// event to the handler `next`, so that one pass gives both the tree and the offsets.
template <class Handler>
class MemberHandler {
public:
    MemberHandler(std::string_view text, rapidjson::MemoryStream& stream, std::size_t max_depth,
                  Handler& next)
        : text_(text), stream_(stream), max_depth_(max_depth), next_(next) {}
    bool Null() { return scalar() && next_.Null(); }
    bool Bool(bool b) { return scalar() && next_.Bool(b); }
    bool Int(int i) { return scalar() && next_.Int(i); }
    bool Uint(unsigned u) { return scalar() && next_.Uint(u); }
    bool Int64(std::int64_t i) { return scalar() && next_.Int64(i); }
    bool Uint64(std::uint64_t u) { return scalar() && next_.Uint64(u); }
    bool Double(double d) { return scalar() && next_.Double(d); }
    bool RawNumber(const char* text, rapidjson::SizeType n, bool copy) {
        return scalar() && next_.RawNumber(text, n, copy);
    }
    bool String(const char* text, rapidjson::SizeType n, bool copy) {
        return scalar() && next_.String(text, n, copy);
    }
    bool StartObject() { return open(true) && next_.StartObject(); }
    bool StartArray() { return open(false) && next_.StartArray(); }
    bool EndObject(rapidjson::SizeType n) { return close() && next_.EndObject(n); }
    bool EndArray(rapidjson::SizeType n) { return close() && next_.EndArray(n); }
    bool Key(const char* name, rapidjson::SizeType length, bool copy) {
        if (depth_ == 1) begin_member({name, length});
        return next_.Key(name, length, copy);
    }
    std::vector<Member> members;
    bool object = false;

private:
    // Called after the reader has consumed a top-level member's name, including the closing quote.
    void begin_member(std::string_view name) {
        Member member;
        member.name = name;
        std::size_t at = stream_.Tell();
        while (at < text_.size() && text_[at] != ':') ++at;
        ++at;
        while (at < text_.size() && is_space(text_[at])) ++at;
        member.value = at;
        // Skips the comma and whitespace between the end of the previous member and this name's opening
        // quote.
        std::size_t begin = members.empty() ? 0 : members.back().end;
        while (begin < text_.size() && text_[begin] != '"') ++begin;
        member.begin = begin;
        members.push_back(std::move(member));
    }
    static bool is_space(char c) { return c == ' ' || c == '\t' || c == '\n' || c == '\r'; }
    bool scalar() {
        if (depth_ == 1 && object) members.back().end = stream_.Tell();
        return depth_ > 0;
    }
    bool open(bool is_object) {
        if (depth_ == 0) {
            object = is_object;
            // Releases of rapidjson differ in whether a bracket has been consumed when its event is sent.
            bracket_consumed_ = stream_.Tell() > 0 && text_[stream_.Tell() - 1] == '{';
        }
        return ++depth_ <= max_depth_ && object;
    }
    bool close() {
        if (--depth_ == 1) members.back().end = stream_.Tell() + (bracket_consumed_ ? 0 : 1);
        return true;
    }

    std::string_view text_;
    rapidjson::MemoryStream& stream_;
    std::size_t max_depth_;
    std::size_t depth_ = 0;
    bool bracket_consumed_ = false;
    Handler& next_;
};

ApiError invalid(std::string param, std::string message) {
    return {400, std::move(message), "invalid_request_error", std::move(param), {}};
}

bool is_object_or_null(const json::Value& v) { return v.IsObject() || v.IsNull(); }

constexpr double kMaxTokenLimit = 1e9;  // larger limits are rejected as mistakes

// Reads an optional member that must be a whole number from 1 to kMaxTokenLimit.
std::optional<ApiError> read_limit(const json::Value& body, const char* name, double& out) {
    const auto* value = json::find(body, name);
    if (value == nullptr) return std::nullopt;
    if (!value->IsNumber() || value->GetDouble() < 1 || value->GetDouble() > kMaxTokenLimit ||
        value->GetDouble() != std::floor(value->GetDouble()))
        return invalid(name, std::string("'") + name + "' must be a whole number from 1 to 1000000000");
    out = value->GetDouble();
    return std::nullopt;
}
// Reads an optional member that must be a boolean. The error names it by `path`.
std::optional<ApiError> read_flag(const json::Value& body, const char* name, const std::string& path,
                                  bool& out) {
    const auto* value = json::find(body, name);
    if (value == nullptr) return std::nullopt;
    if (!value->IsBool()) return invalid(path, "'" + path + "' must be true or false");
    out = value->GetBool();
    return std::nullopt;
}

std::optional<ApiError> check_messages(const json::Value& messages, std::size_t max_messages) {
    if (!messages.IsArray() || messages.Empty())
        return invalid("messages", "'messages' must be a non-empty array");
    if (messages.Size() > max_messages)
        return invalid("messages",
                       "'messages' must have at most " + std::to_string(max_messages) + " elements");
    for (rapidjson::SizeType i = 0; i < messages.Size(); ++i) {
        const std::string at = "messages[" + std::to_string(i) + "]";
        if (!messages[i].IsObject()) return invalid(at, "'" + at + "' must be an object");
        const auto* role = json::find(messages[i], "role");
        if (role == nullptr || !role->IsString())
            return invalid(at + ".role", "'" + at + ".role' must be a string");
        const auto* content = json::find(messages[i], "content");
        if (content != nullptr && !content->IsString() && !content->IsArray())
            return invalid(at + ".content", "'" + at + ".content' must be a string or an array of parts");
    }
    return std::nullopt;
}

// Reads "stream" and "stream_options".
std::optional<ApiError> read_stream_options(const json::Document& body, Request& out) {
    if (auto error = read_flag(body, "stream", "stream", out.stream)) return error;
    const auto options = body.FindMember("stream_options");
    if (options == body.MemberEnd()) return std::nullopt;
    if (!is_object_or_null(options->value))
        return invalid("stream_options", "'stream_options' must be an object");
    if (!out.stream && options->value.IsObject())
        return invalid("stream_options", "'stream_options' is only allowed when 'stream' is true");
    return read_flag(options->value, "include_usage", "stream_options.include_usage", out.include_usage);
}

// What identifies a session: "prompt_cache_key", else "user".
std::optional<ApiError> read_session(const json::Document& body, Request& out) {
    for (const char* name : {"prompt_cache_key", "user"}) {
        const auto* value = json::find(body, name);
        if (value == nullptr) continue;
        if (!value->IsString()) return invalid(name, std::string("'") + name + "' must be a string");
        if (out.session.empty()) out.session = json::text(*value);
    }
    return std::nullopt;
}

// Sets the hash and length of the leading system and developer messages, which many prompts have in common.
void find_prefix(const json::Value& messages, Request& out) {
    std::string leading;
    for (const auto& m : messages.GetArray()) {
        const auto role = json::text(json::find(m, "role"));
        if (role != "system" && role != "developer") break;
        leading += json::dump(m);
    }
    if (leading.empty()) return;
    const auto hash = XXH3_64bits(leading.data(), leading.size());
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(hash));
    out.prefix = text.data();
    out.prefix_bytes = leading.size();
}

// Parses a JSON object into `doc` and returns the offsets of its top-level members, in one pass.
std::optional<std::vector<Member>> read_members(std::string_view body, std::size_t depth,
                                                json::Document& doc) {
    std::optional<std::vector<Member>> out;
    auto generate = [&](json::Document& tree) {
        rapidjson::MemoryStream stream(body.data(), body.size());
        MemberHandler<json::Document> handler(body, stream, depth, tree);
        rapidjson::Reader reader;
        reader.Parse<json::kFlags>(stream, handler);
        if (reader.HasParseError() || !handler.object) return false;
        out = std::move(handler.members);
        return true;
    };
    doc.Populate(generate);
    return out;
}

}  // namespace

std::string format_error(const ApiError& error) {
    json::ObjectWriter inner;
    inner.text("message", error.message).text("type", error.type);
    error.param.empty() ? inner.null("param") : inner.text("param", error.param);
    error.code.empty() ? inner.null("code") : inner.text("code", error.code);
    return json::ObjectWriter().raw("error", inner.done()).done();
}

std::optional<std::vector<Member>> members_of(std::string_view body, std::size_t depth) {
    json::Document unused;
    return read_members(body, depth, unused);
}

tl::expected<Request, ApiError> parse_request(std::string_view body, const Limits& limits) {
    Request out;
    json::Document doc;
    auto members = read_members(body, limits.depth, doc);
    if (!members)
        return tl::unexpected(invalid("", "the body must be one JSON object, not too deeply nested"));
    out.members = std::move(*members);
    const auto* model = json::find(doc, "model");
    if (model == nullptr || !model->IsString() || model->GetStringLength() == 0)
        return tl::unexpected(invalid("model", "'model' must be a non-empty string"));
    out.model = json::text(*model);
    const auto messages = doc.FindMember("messages");
    if (messages == doc.MemberEnd()) return tl::unexpected(invalid("messages", "'messages' is missing"));
    if (auto error = check_messages(messages->value, limits.messages)) return tl::unexpected(*error);
    if (auto error = read_stream_options(doc, out)) return tl::unexpected(*error);
    if (auto error = read_limit(doc, "max_tokens", out.max_output)) return tl::unexpected(*error);
    if (auto error = read_limit(doc, "max_completion_tokens", out.max_output)) return tl::unexpected(*error);
    if (auto error = read_session(doc, out)) return tl::unexpected(*error);
    for (const auto& m : out.members)
        if (m.name == "messages" || m.name == "tools") out.prompt_bytes += m.end - m.value;
    find_prefix(messages->value, out);
    out.prefix_bytes = std::min(out.prefix_bytes, out.prompt_bytes);
    return out;
}

std::string rewrite(std::string_view body, const std::vector<Member>& members,
                    const std::vector<Override>& overrides) {
    std::string out = "{";
    out.reserve(body.size() + 256);
    const auto append = [&](std::string_view member) {
        if (out.size() > 1) out += ',';
        out += member;
    };
    for (const auto& m : members) {
        const bool replaced =
            std::any_of(overrides.begin(), overrides.end(), [&](const auto& o) { return o.name == m.name; });
        if (!replaced) append(body.substr(m.begin, m.end - m.begin));
    }
    for (const auto& o : overrides)
        if (o.json) append("\"" + o.name + "\":" + *o.json);
    return out + "}";
}

}  // namespace chalksail::chat
