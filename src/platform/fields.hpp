// Typed access to the members of the JSON objects that the platform and its simulator send. A member that is
// missing or of a wrong type throws BadField, which the reader of the whole message catches.
#pragma once

#include <rapidjson/document.h>

#include <chalksail/chalksail.hpp>
#include <cmath>
#include <limits>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace chalksail::platform {

// Its text names the member and what is wrong with it.
struct BadField : std::runtime_error {
    using std::runtime_error::runtime_error;
};

using Json = rapidjson::Value;

// Largest number with a decimal point that is converted to std::int64_t; just below 2^63.
inline constexpr double kMaxWholeNumber = 9e18;

[[noreturn]] inline void reject(const char* field, const char* wanted) {
    throw BadField(std::string("field '") + field + "': " + wanted);
}

// nullptr if the member is absent or null.
inline const Json* find(const Json& object, const char* field) {
    const auto it = object.FindMember(field);
    return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}
inline const Json& need(const Json& object, const char* field) {
    const Json* value = find(object, field);
    if (value == nullptr) reject(field, "missing");
    return *value;
}

// The value as a T. Durations are whole nanoseconds. `field` is named in the error.
template <class T>
T convert(const Json& value, const char* field);
template <>
inline std::string convert(const Json& value, const char* field) {
    if (!value.IsString()) reject(field, "text wanted");
    return {value.GetString(), value.GetStringLength()};
}
template <>
inline double convert(const Json& value, const char* field) {
    if (!value.IsNumber() || !std::isfinite(value.GetDouble())) reject(field, "number wanted");
    return value.GetDouble();
}
template <>
inline bool convert(const Json& value, const char* field) {
    if (!value.IsBool()) reject(field, "true or false wanted");
    return value.GetBool();
}
template <>
inline std::int64_t convert(const Json& value, const char* field) {
    if (value.IsInt64()) return value.GetInt64();
    // Settings may carry whole numbers with a decimal point.
    if (!value.IsDouble() || std::abs(value.GetDouble()) > kMaxWholeNumber)
        reject(field, "whole number wanted");
    const double number = value.GetDouble();
    if (number != std::floor(number)) reject(field, "whole number wanted");
    return static_cast<std::int64_t>(number);
}
template <>
inline std::uint64_t convert(const Json& value, const char* field) {
    if (!value.IsUint64()) reject(field, "whole number of 0 or more wanted");
    return value.GetUint64();
}
template <>
inline int convert(const Json& value, const char* field) {
    const auto number = convert<std::int64_t>(value, field);
    if (number < std::numeric_limits<int>::min() || number > std::numeric_limits<int>::max())
        reject(field, "number out of range");
    return static_cast<int>(number);
}
template <>
inline Duration convert(const Json& value, const char* field) {
    return Duration(convert<std::int64_t>(value, field));
}

template <class T>
T required(const Json& object, const char* field) {
    return convert<T>(need(object, field), field);
}
// An absent member is the type's empty value: none, 0 or false.
template <class T>
T optional(const Json& object, const char* field) {
    const Json* value = find(object, field);
    return value == nullptr ? T{} : convert<T>(*value, field);
}
inline const Json& array(const Json& object, const char* field) {
    const Json& value = need(object, field);
    if (!value.IsArray()) reject(field, "array wanted");
    return value;
}
inline const Json& object(const Json& parent, const char* field) {
    const Json& value = need(parent, field);
    if (!value.IsObject()) reject(field, "object wanted");
    return value;
}
// An array of values of one type; empty if the member is absent.
template <class T>
std::vector<T> row(const Json& parent, const char* field) {
    std::vector<T> out;
    const Json* value = find(parent, field);
    if (value == nullptr) return out;
    if (!value->IsArray()) reject(field, "array wanted");
    for (const auto& item : value->GetArray()) out.push_back(convert<T>(item, field));
    return out;
}

// The value that a required text stands for.
template <class T>
T word(const Json& line, const char* field, const std::map<std::string, T>& words) {
    const auto it = words.find(required<std::string>(line, field));
    if (it == words.end()) reject(field, "unknown word");
    return it->second;
}

}  // namespace chalksail::platform
