// Small helpers over rapidjson. Parsing is iterative, so that nesting costs no stack, and checks the
// encoding. No I/O, no threads. Malformed text is a false return.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <string>
#include <string_view>

namespace chalksail::json {

using Value = rapidjson::Value;
using Document = rapidjson::Document;

// How all text is parsed.
inline constexpr unsigned kFlags = rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag;

// False if the text is not one JSON value.
inline bool parse(std::string_view text, Document& out) {
    out.Parse<kFlags>(text.data(), text.size());
    return !out.HasParseError();
}
// The member of that name, or nullptr if there is none or `object` is no object. A null counts as absent.
inline const Value* find(const Value& object, const char* name) {
    if (!object.IsObject()) return nullptr;
    const auto it = object.FindMember(name);
    return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}
// The text of a string. The second form: empty for anything else.
inline std::string_view text(const Value& value) { return {value.GetString(), value.GetStringLength()}; }
inline std::string_view text(const Value* value) {
    return value != nullptr && value->IsString() ? text(*value) : std::string_view{};
}
// The value as JSON without white space.
inline std::string dump(const Value& value) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    value.Accept(writer);
    return {buffer.GetString(), buffer.GetSize()};
}

// Writes one object member by member, in the order of the calls.
class ObjectWriter {
public:
    ObjectWriter() : out_(buffer_) { out_.StartObject(); }
    ObjectWriter& text(const char* name, std::string_view value) {
        out_.Key(name);
        out_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
        return *this;
    }
    ObjectWriter& number(const char* name, double value) {
        out_.Key(name);
        out_.Double(value);
        return *this;
    }
    // An integer.
    ObjectWriter& whole(const char* name, std::int64_t value) {
        out_.Key(name);
        out_.Int64(value);
        return *this;
    }
    ObjectWriter& flag(const char* name, bool value) {
        out_.Key(name);
        out_.Bool(value);
        return *this;
    }
    ObjectWriter& null(const char* name) {
        out_.Key(name);
        out_.Null();
        return *this;
    }
    // A value that is JSON already.
    ObjectWriter& raw(const char* name, std::string_view value) {
        out_.Key(name);
        out_.RawValue(value.data(), value.size(), rapidjson::kObjectType);
        return *this;
    }
    // The object. Call it once, at the end.
    [[nodiscard]] std::string done() {
        out_.EndObject();
        return {buffer_.GetString(), buffer_.GetSize()};
    }

private:
    rapidjson::StringBuffer buffer_;
    rapidjson::Writer<rapidjson::StringBuffer> out_;
};

}  // namespace chalksail::json
