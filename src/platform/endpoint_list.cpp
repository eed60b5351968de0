#include "platform/endpoint_list.hpp"

#include <set>
#include <utility>

#include "base/json.hpp"
#include "platform/fields.hpp"

namespace chalksail::platform {
namespace {

// In the year 2255; later times would overflow when converted to nanoseconds.
constexpr std::int64_t kMaxUnixMs = 9'000'000'000'000;

EndpointEntry read_instance(const Json& item) {
    EndpointEntry entry;
    entry.id = required<std::string>(item, "instanceId");
    if (entry.id.empty()) reject("instanceId", "must not be empty");
    entry.state = word<EndpointState>(item, "lifecycle",
                                      {{"up", EndpointState::up},
                                       {"draining", EndpointState::draining},
                                       {"removed", EndpointState::removed}});
    const auto address = parse_address(optional<std::string>(item, "hostPort"));
    // A removed server needs no address.
    if ((!address || address->port == 0) && entry.state != EndpointState::removed)
        reject("hostPort", "must be IP:PORT with a port above 0");
    if (address) entry.address = *address;
    entry.zone = optional<std::string>(item, "zone");
    entry.kind = optional<std::string>(item, "machineType");
    entry.cell = optional<std::int64_t>(item, "cell");
    if (find(item, "weight") != nullptr) entry.weight = required<double>(item, "weight");
    entry.started_unix_ms = optional<std::int64_t>(item, "startedAtMs");
    if (entry.started_unix_ms < 0 || entry.started_unix_ms > kMaxUnixMs)
        reject("startedAtMs", "must be a time in milliseconds since 1970, up to the year 2255");
    return entry;
}

}  // namespace

tl::expected<EndpointListUpdate, std::string> read_endpoint_list(const Json& list) {
    try {
        if (!list.IsObject()) return tl::unexpected(std::string("the endpoint list must be a JSON object"));
        EndpointListUpdate update;
        update.generation = required<std::int64_t>(list, "generation");
        update.complete = optional<bool>(list, "reset");
        std::set<std::string> ids;
        for (const auto& item : array(list, "instances").GetArray()) {
            if (!item.IsObject()) reject("instances", "must contain only objects");
            update.endpoints.push_back(read_instance(item));
            if (!ids.insert(update.endpoints.back().id).second) reject("instanceId", "an id occurs twice");
        }
        return update;
    } catch (const BadField& error) {
        return tl::unexpected(std::string(error.what()));
    }
}

tl::expected<EndpointListUpdate, std::string> parse_endpoint_list(std::string_view text) {
    json::Document list;
    if (!json::parse(text, list)) return tl::unexpected(std::string("the endpoint list is not valid JSON"));
    return read_endpoint_list(list);
}

std::string list_target() { return "/v1/endpoints"; }

std::string watch_target(std::int64_t generation) {
    return list_target() + "?follow=1&since=" + std::to_string(generation);
}

bool ObjectReader::is_last_byte(char c) {
    if (partial_.front() != '{') return c == '\n';
    if (escaped_) {
        escaped_ = false;
    } else if (in_string_) {
        escaped_ = c == '\\';
        in_string_ = c != '"';
    } else if (c == '"') {
        in_string_ = true;
    } else if (c == '{') {
        ++depth_;
    } else if (c == '}') {
        return --depth_ == 0;
    }
    return false;
}

std::vector<std::string> ObjectReader::feed(std::string_view bytes) {
    constexpr std::string_view kWhiteSpace = " \t\r\n";
    std::vector<std::string> objects;
    for (const char c : bytes) {
        if (overflowed_) break;
        if (partial_.empty() && kWhiteSpace.find(c) != std::string_view::npos) continue;
        partial_ += c;
        if (is_last_byte(c)) objects.push_back(std::exchange(partial_, {}));
        overflowed_ = partial_.size() > max_bytes_;
    }
    if (overflowed_) std::string().swap(partial_);
    return objects;
}

}  // namespace chalksail::platform
