// Helpers for rapidjson. Parsing is iterative, so that deep nesting uses no stack, and validates the
// encoding. No I/O, no threads. Parsing malformed text returns false.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <string>
#include <string_view>

namespace chalksail::json {

using Value = rapidjson::Value;
using Document = rapidjson::Document;

// The parse flags that parse() uses.
inline constexpr unsigned kFlags = rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag;

// Parses exactly one JSON value. Returns false for other text.
inline bool parse(std::string_view text, Document& out) {
    out.Parse<kFlags>(text.data(), text.size());
    return !out.HasParseError();
}
// Returns the member `name`, or nullptr if it is absent or null, or if `object` is not an object.
inline const Value* find(const Value& object, const char* name) {
    if (!object.IsObject()) return nullptr;
    const auto it = object.FindMember(name);
    return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}
// Returns the text of a string. The overload for pointers returns an empty text for any other value.
inline std::string_view text(const Value& value) { return {value.GetString(), value.GetStringLength()}; }
inline std::string_view text(const Value* value) {
    return value != nullptr && value->IsString() ? text(*value) : std::string_view{};
}
// Serializes the value without white space.
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
    ObjectWriter& integer(const char* name, std::int64_t value) {
        out_.Key(name);
        out_.Int64(value);
        return *this;
    }
    ObjectWriter& boolean(const char* name, bool value) {
        out_.Key(name);
        out_.Bool(value);
        return *this;
    }
    ObjectWriter& null(const char* name) {
        out_.Key(name);
        out_.Null();
        return *this;
    }
    // Adds a value that is already serialized as JSON.
    ObjectWriter& raw(const char* name, std::string_view value) {
        out_.Key(name);
        out_.RawValue(value.data(), value.size(), rapidjson::kObjectType);
        return *this;
    }
    // Ends the object and returns it. Must be called once, as the last call.
    [[nodiscard]] std::string done() {
        out_.EndObject();
        return {buffer_.GetString(), buffer_.GetSize()};
    }

private:
    rapidjson::StringBuffer buffer_;
    rapidjson::Writer<rapidjson::StringBuffer> out_;
};

}  // namespace chalksail::json
