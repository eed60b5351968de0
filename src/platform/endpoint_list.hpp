// The platform's list of model servers as its discovery service sends it: as a complete list, or as a watch
// (a stream of JSON objects, each with the changes since the previous one).
#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "base/units.hpp"

namespace chalksail::platform {

struct EndpointEntry {
    std::string id;
    Address address;
    std::string zone;
    std::string kind;
    std::int64_t cell = 0;
    EndpointState state = EndpointState::up;
    double weight = 1;
    std::int64_t started_unix_ms = 0;  // 0: unknown, treated as long ago
};
struct EndpointListUpdate {
    std::int64_t generation = 0;
    bool complete = false;  // a snapshot: endpoints that it does not list were removed
    std::vector<EndpointEntry> endpoints;
};

// Both reject an update as a whole, with the reason, if an entry has an unknown value, a duplicate id or an
// invalid address.
[[nodiscard]] tl::expected<EndpointListUpdate, std::string> read_endpoint_list(const rapidjson::Value& list);
[[nodiscard]] tl::expected<EndpointListUpdate, std::string> parse_endpoint_list(std::string_view text);

// Return the request target of the complete list, and of a watch for changes after a generation of the list.
[[nodiscard]] std::string list_target();
[[nodiscard]] std::string watch_target(std::int64_t generation);

// Splits the bytes of a watch into JSON objects, each on one line or several. Drops the whitespace between
// them, which only keeps the watch alive. Returns text that is not an object unchanged, line by line. Not
// thread-safe.
class ObjectReader {
public:
    // `max_bytes` is the maximum size of one object; the reader stops at a larger one.
    explicit ObjectReader(std::size_t max_bytes) : max_bytes_(max_bytes) {}
    // Returns the objects that `bytes` complete; none after an overflow.
    [[nodiscard]] std::vector<std::string> feed(std::string_view bytes);
    [[nodiscard]] bool overflowed() const { return overflowed_; }
    // Returns true while an object is incomplete.
    [[nodiscard]] bool midway() const { return !partial_.empty(); }
    // Returns the number of bytes of the incomplete object.
    [[nodiscard]] std::size_t partial_bytes() const { return partial_.size(); }

private:
    // Tracks strings and nesting over one more byte. Returns true if the byte ends the object.
    [[nodiscard]] bool is_last_byte(char c);

    std::size_t max_bytes_;
    std::string partial_;
    std::size_t depth_ = 0;  // number of open braces
    bool in_string_ = false;
    bool escaped_ = false;
    bool overflowed_ = false;
};

}  // namespace chalksail::platform
