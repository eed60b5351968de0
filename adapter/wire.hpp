// The bench's wire: its lines of JSON to and from the library's types. Makes no decisions; no I/O, no
// threads.
#pragma once

#include <chalksail/chalksail.hpp>
#include <string>
#include <string_view>
#include <variant>

#include "platform/fields.hpp"

namespace chalksail::wire {

// A malformed line; the text names the field.
using BadLine = platform::BadField;

// Begins a batch of events, all at the time `now`.
struct BatchBegins {
    Time now;
};
// Ends a batch: the adapter replies with the actions.
struct BatchEnds {};
// A gateway instance starts with a router of its own.
struct Started {
    std::string instance;
    std::uint64_t seed = 0;
    Settings settings;
};
// A gateway instance ends without notice.
struct Killed {
    std::string instance;
};
// An event for an instance's router.
struct EventReceived {
    std::string instance;
    Event event;
};
using Line = std::variant<BatchBegins, BatchEnds, Started, Killed, EventReceived>;

// Throws BadLine.
[[nodiscard]] Line parse(const std::string& text);
// One action of the instance's router, as a line without its end.
[[nodiscard]] std::string format(const std::string& instance, const Action& action);
// The line that ends a reply.
inline constexpr std::string_view kReplyEnd = R"({"verb":"eor"})";

}  // namespace chalksail::wire
