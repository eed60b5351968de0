// The wire's JSON to and from the library's types. Nothing is decided here.
#pragma once

#include <chalksail/chalksail.hpp>
#include <string>
#include <string_view>
#include <variant>

#include "platform/fields.hpp"

namespace chalksail::wire {

// A line that is not the wire; the text names the field.
using BadLine = platform::BadField;

struct BatchBegins {
    Time now;
};
struct BatchEnds {};
struct Started {
    std::string instance;
    std::uint64_t seed = 0;
    Settings settings;
};
struct Killed {
    std::string instance;
};
struct Seen {
    std::string instance;
    Event event;
};
using Line = std::variant<BatchBegins, BatchEnds, Started, Killed, Seen>;

[[nodiscard]] Line parse(const std::string& text);
[[nodiscard]] std::string format(const std::string& instance, const Action& action);
inline constexpr std::string_view reply_end = R"({"verb":"eor"})";

}  // namespace chalksail::wire
