// Joins the chunks of a streamed response into the single object that is sent to a client that did not
// request a stream. Bounded; no I/O, no threads.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "base/json.hpp"

namespace chalksail::chat {

// Joins the chunks of one response.
class Collector {
public:
    // `max_bytes` is the maximum total size of all chunks.
    explicit Collector(std::size_t max_bytes) : max_bytes_(max_bytes) { completion_.SetObject(); }
    // Adds one chunk, a JSON object. Returns false if it is malformed or exceeds the total limit.
    [[nodiscard]] bool add(std::string_view chunk);
    // Returns the "chat.completion" object of all chunks. Must be called once, as the last call.
    [[nodiscard]] std::string finish();

private:
    // Returns the choice with this index, adding it if it is new.
    json::Value& choice(int index);
    // Adds one element of a chunk's "choices". Returns false if it is malformed.
    bool add_choice(const json::Value& part);
    // Merges a delta's value. Strings are appended, arrays of indexed objects merge by index, other arrays
    // are appended, objects merge member by member, and anything else replaces.
    void merge(json::Value& into, const json::Value& from, bool append_text, const std::string& path);
    void merge_object(json::Value& into, const json::Value& from, const std::string& path);
    void merge_array(json::Value& into, const json::Value& from, bool append_text, const std::string& path);
    // Copies the texts of appended_texts_ back into the tree.
    void restore(json::Value& value, const std::string& path);

    std::size_t max_bytes_;
    std::size_t received_bytes_ = 0;
    json::Document completion_;  // all members except the choices
    std::map<int, json::Value> choices_;
    std::map<std::string, std::string> appended_texts_;  // keyed by path: choice/member/...
};

}  // namespace chalksail::chat
