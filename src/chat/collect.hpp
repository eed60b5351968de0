// Puts the chunks of a streamed answer together to the one object that a client gets which did not ask for a
// stream. Bounded; no I/O.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "base/json.hpp"

namespace chalksail::chat {

class Collector {
public:
    explicit Collector(std::size_t most_bytes) : most_(most_bytes) { all_.SetObject(); }
    // Takes one chunk's JSON. False if it is no chunk, or the answer grows past its bound.
    [[nodiscard]] bool add(std::string_view chunk);
    // The "chat.completion" object.
    [[nodiscard]] std::string finish();

private:
    json::Value& choice(int index);
    // Strings grow, arrays of indexed objects merge by index, other arrays append, objects merge, the rest
    // replaces.
    void merge(json::Value& into, const json::Value& from, bool text_grows, const std::string& path);
    // Puts the grown texts back into the tree.
    void restore(json::Value& value, const std::string& path);

    std::size_t most_;
    std::size_t taken_ = 0;
    json::Document all_;  // all but the choices
    std::map<int, json::Value> choices_;
    std::map<std::string, std::string> grown_;  // by path: choice/member/...
};

}  // namespace chalksail::chat
