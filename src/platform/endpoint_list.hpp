// The platform's list of model servers, as discovery tells it: whole, or as a watch of one JSON object a
// line. Bytes to typed values; no I/O. Bounded: a line over its limit is an error before it is stored.
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
    std::int64_t started_unix_ms = 0;  // 0: long ago
};
struct EndpointListUpdate {
    std::int64_t generation = 0;
    bool whole = false;  // all that are left out are gone
    std::vector<EndpointEntry> instances;
};

// Taken whole or not at all: an unknown word, a name twice, an address that is none refuse all of it, with
// the reason.
[[nodiscard]] tl::expected<EndpointListUpdate, std::string> read_endpoint_list(const rapidjson::Value& list);
[[nodiscard]] tl::expected<EndpointListUpdate, std::string> parse_endpoint_list(std::string_view text);

// The path of a watch that begins with the whole list. Versions are not asked for: a discovery that has
// started anew, or another one, may count from a lower number, and would leave out what it thinks is known.
[[nodiscard]] std::string watch_target();

// Cuts a watch's bytes into JSON objects, one to a line or spread over several. White space between them,
// which only says that discovery lives, is left out. What is no object is given as it stands, up to the
// line's end.
class ObjectReader {
public:
    explicit ObjectReader(std::size_t most_bytes) : most_(most_bytes) {}
    // The objects that became whole. After an overflow nothing more is given.
    [[nodiscard]] std::vector<std::string> feed(std::string_view bytes);
    [[nodiscard]] bool overflowed() const { return overflowed_; }
    // Has an object begun and not ended?
    [[nodiscard]] bool midway() const { return !text_.empty(); }

private:
    [[nodiscard]] bool ends_with(char c);

    std::size_t most_;
    std::string text_;
    std::size_t depth_ = 0;  // of braces
    bool quoted_ = false;
    bool escaped_ = false;
    bool overflowed_ = false;
};

}  // namespace chalksail::platform
