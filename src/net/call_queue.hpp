// A queue of calls that wait for a connection, in first-in, first-out order for each server. No I/O, no
// clock. Not thread-safe.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "http/message.hpp"
#include "net/upstream_target.hpp"

namespace chalksail::net {

// A request that is not formatted yet; this happens when its connection is ready.
struct UpstreamRequest {
    std::string method;
    std::string target;
    http::Headers headers;
    std::string body;
};

// Adds Host before the request's headers and, unless the method is GET, Content-Length after them.
void add_framing_headers(UpstreamRequest& request, const Target& to);

struct PendingCall {
    std::uint64_t call = 0;
    Time since{};                            // Start of the call and of its dial time-out
    std::optional<UpstreamRequest> request;  // Empty if only a connection is to be established
    std::shared_ptr<Target> target;
    double priority = 0;  // Among the calls that wait for a handshake, the highest is served first
};

class CallQueue {
public:
    void push(const UpstreamKey& key, PendingCall call);
    // Removes and returns the server's oldest call. The server's queue must not be empty.
    [[nodiscard]] PendingCall pop(const UpstreamKey& key);
    // Returns false if the call is not in the queue.
    bool remove(std::uint64_t call);
    void clear();

    [[nodiscard]] bool empty(const UpstreamKey& key) const { return size(key) == 0; }
    [[nodiscard]] std::size_t size(const UpstreamKey& key) const;
    [[nodiscard]] std::size_t size() const { return servers_by_call_.size(); }
    // Returns the calls that have waited for longer than `longest`, sorted by number.
    [[nodiscard]] std::vector<std::uint64_t> overdue(Time now, Duration longest) const;

private:
    std::map<UpstreamKey, std::deque<PendingCall>> queues_;  // No deque is empty
    std::unordered_map<std::uint64_t, UpstreamKey> servers_by_call_;
};

}  // namespace chalksail::net
