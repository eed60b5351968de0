#include "platform/endpoint_list.hpp"

#include <set>
#include <utility>

#include "base/json.hpp"
#include "platform/fields.hpp"

namespace chalksail::platform {
namespace {

EndpointEntry read_instance(const Json& item) {
    EndpointEntry out;
    out.id = required<std::string>(item, "instanceId");
    if (out.id.empty()) reject("instanceId", "text wanted");
    out.state = word<EndpointState>(item, "lifecycle",
                                    {{"up", EndpointState::up},
                                     {"draining", EndpointState::draining},
                                     {"removed", EndpointState::removed}});
    const auto address = parse_address(optional<std::string>(item, "hostPort"));
    // One that is gone needs no address.
    if ((!address || address->port == 0) && out.state != EndpointState::removed)
        reject("hostPort", "IP:PORT wanted");
    if (address) out.address = *address;
    out.zone = optional<std::string>(item, "zone");
    out.kind = optional<std::string>(item, "machineType");
    out.cell = optional<std::int64_t>(item, "cell");
    if (find(item, "weight") != nullptr) out.weight = required<double>(item, "weight");
    out.started_unix_ms = optional<std::int64_t>(item, "startedAtMs");
    // A time that no clock shows would overflow further on.
    if (out.started_unix_ms < 0 || out.started_unix_ms > 9'000'000'000'000)
        reject("startedAtMs", "time wanted");
    return out;
}

}  // namespace

tl::expected<EndpointListUpdate, std::string> read_endpoint_list(const Json& list) {
    try {
        if (!list.IsObject()) return tl::unexpected(std::string("an object wanted"));
        EndpointListUpdate out;
        out.generation = required<std::int64_t>(list, "generation");
        out.whole = optional<bool>(list, "reset");
        std::set<std::string> named;
        for (const auto& item : array(list, "instances").GetArray()) {
            if (!item.IsObject()) reject("instances", "objects wanted");
            out.instances.push_back(read_instance(item));
            if (!named.insert(out.instances.back().id).second) reject("instanceId", "named twice");
        }
        return out;
    } catch (const BadField& error) {
        return tl::unexpected(std::string(error.what()));
    }
}

tl::expected<EndpointListUpdate, std::string> parse_endpoint_list(std::string_view text) {
    json::Document list;
    if (!json::parse(text, list)) return tl::unexpected(std::string("not JSON"));
    return read_endpoint_list(list);
}

std::string watch_target() { return "/v1/endpoints?follow=1&since=0"; }

// Takes one more byte; is it the last one of what began?
bool ObjectReader::ends_with(char c) {
    if (text_.front() != '{') return c == '\n';
    if (escaped_) {
        escaped_ = false;
    } else if (quoted_) {
        escaped_ = c == '\\';
        quoted_ = c != '"';
    } else if (c == '"') {
        quoted_ = true;
    } else if (c == '{') {
        ++depth_;
    } else if (c == '}') {
        return --depth_ == 0;
    }
    return false;
}

std::vector<std::string> ObjectReader::feed(std::string_view bytes) {
    constexpr std::string_view kWhiteSpace = " \t\r\n";
    std::vector<std::string> out;
    for (const char c : bytes) {
        if (overflowed_) break;
        if (text_.empty() && kWhiteSpace.find(c) != std::string_view::npos) continue;
        text_ += c;
        if (ends_with(c)) out.push_back(std::exchange(text_, {}));
        overflowed_ = text_.size() > most_;
    }
    if (overflowed_) std::string().swap(text_);
    return out;
}

}  // namespace chalksail::platform
