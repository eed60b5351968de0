// Typed access to the members of the JSON objects that the platform and its simulator send. A member that is
// missing or of the wrong type throws BadField, which the function that reads the whole message catches.
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

// A member that is missing or invalid. The text names the member and the problem.
struct BadField : std::runtime_error {
    using std::runtime_error::runtime_error;
};

using Json = rapidjson::Value;

// Largest floating-point number that is converted to std::int64_t; just below 2^63.
inline constexpr double kMaxWholeNumber = 9e18;

// Throws BadField for the member `field`.
[[noreturn]] inline void reject(const char* field, const char* problem) {
    throw BadField(std::string("field '") + field + "': " + problem);
}

// Returns the member, or nullptr if it is absent or null.
inline const Json* find(const Json& object, const char* field) {
    const auto it = object.FindMember(field);
    return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}
// Returns the member; throws if it is absent or null.
inline const Json& need(const Json& object, const char* field) {
    const Json* value = find(object, field);
    if (value == nullptr) reject(field, "missing");
    return *value;
}

// Converts the value to a T. Durations are integers in nanoseconds. The error names `field`.
template <class T>
T convert(const Json& value, const char* field);
template <>
inline std::string convert(const Json& value, const char* field) {
    if (!value.IsString()) reject(field, "must be a string");
    return {value.GetString(), value.GetStringLength()};
}
template <>
inline double convert(const Json& value, const char* field) {
    if (!value.IsNumber() || !std::isfinite(value.GetDouble())) reject(field, "must be a finite number");
    return value.GetDouble();
}
template <>
inline bool convert(const Json& value, const char* field) {
    if (!value.IsBool()) reject(field, "must be true or false");
    return value.GetBool();
}
template <>
inline std::int64_t convert(const Json& value, const char* field) {
    if (value.IsInt64()) return value.GetInt64();
    // Settings may write whole numbers with a decimal point.
    if (!value.IsDouble() || std::abs(value.GetDouble()) > kMaxWholeNumber)
        reject(field, "must be a whole number");
    const double number = value.GetDouble();
    if (number != std::floor(number)) reject(field, "must be a whole number");
    return static_cast<std::int64_t>(number);
}
template <>
inline std::uint64_t convert(const Json& value, const char* field) {
    if (!value.IsUint64()) reject(field, "must be a whole number of at least 0");
    return value.GetUint64();
}
template <>
inline int convert(const Json& value, const char* field) {
    const auto number = convert<std::int64_t>(value, field);
    if (number < std::numeric_limits<int>::min() || number > std::numeric_limits<int>::max())
        reject(field, "must fit in 32 bits");
    return static_cast<int>(number);
}
template <>
inline Duration convert(const Json& value, const char* field) {
    return Duration(convert<std::int64_t>(value, field));
}

// Returns the member as a T; throws if it is absent.
template <class T>
T required(const Json& object, const char* field) {
    return convert<T>(need(object, field), field);
}
// Returns the member as a T; an absent member gives T{} (an empty string, 0 or false).
template <class T>
T optional(const Json& object, const char* field) {
    const Json* value = find(object, field);
    return value == nullptr ? T{} : convert<T>(*value, field);
}
// Returns the member, which must be an array.
inline const Json& array(const Json& object, const char* field) {
    const Json& value = need(object, field);
    if (!value.IsArray()) reject(field, "must be an array");
    return value;
}
// Returns the member, which must be an object.
inline const Json& object(const Json& parent, const char* field) {
    const Json& value = need(parent, field);
    if (!value.IsObject()) reject(field, "must be an object");
    return value;
}
// Returns the elements of an array member, each as a T; empty if the member is absent.
template <class T>
std::vector<T> row(const Json& parent, const char* field) {
    std::vector<T> out;
    const Json* value = find(parent, field);
    if (value == nullptr) return out;
    if (!value->IsArray()) reject(field, "must be an array");
    for (const auto& item : value->GetArray()) out.push_back(convert<T>(item, field));
    return out;
}

// Returns the value to which `words` maps the text of a required member.
template <class T>
T word(const Json& object, const char* field, const std::map<std::string, T>& words) {
    const auto it = words.find(required<std::string>(object, field));
    if (it == words.end()) reject(field, "unknown value");
    return it->second;
}

}  // namespace chalksail::platform
