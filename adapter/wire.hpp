// The bench's wire format: converts between its lines of JSON and the library's types. Makes no decisions and
// uses neither I/O nor threads.
#pragma once

#include <chalksail/chalksail.hpp>
#include <string>
#include <string_view>
#include <variant>

#include "platform/fields.hpp"

namespace chalksail::wire {

// Thrown for a malformed line; the message names the field.
using BadLine = platform::BadField;

// Begins a batch of events, all at the time `now`.
struct BatchBegins {
    Time now;
};
// Ends a batch. The adapter replies with the actions.
struct BatchEnds {};
// A gateway instance has started, and needs a router of its own.
struct Started {
    std::string instance;
    std::uint64_t seed = 0;
    Settings settings;
};
// A gateway instance has been killed without notice.
struct Killed {
    std::string instance;
};
// An event for an instance's router.
struct EventReceived {
    std::string instance;
    Event event;
};
using Line = std::variant<BatchBegins, BatchEnds, Started, Killed, EventReceived>;

// Parses one line. Throws BadLine if it is malformed.
[[nodiscard]] Line parse(const std::string& text);
// Formats one action of the instance's router as a line without a line break.
[[nodiscard]] std::string format(const std::string& instance, const Action& action);
// The line that ends a reply.
inline constexpr std::string_view kReplyEnd = R"({"verb":"eor"})";

}  // namespace chalksail::wire
