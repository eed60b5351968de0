// Calls that wait for a connection, first come first served for each server. No I/O, no clock. One thread.
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

// A request before it is written: it is formatted when its connection is ready.
struct UpstreamRequest {
    std::string method;
    std::string target;
    http::Headers headers;
    std::string body;
};

// Puts Host before the request's headers, and Content-Length behind them.
void add_framing_headers(UpstreamRequest& request, const Target& to);

struct PendingCall {
    std::uint64_t call = 0;
    Time since{};                            // when it was made: its dial time-out runs from then on
    std::optional<UpstreamRequest> request;  // nothing: only the connection is wanted
    std::shared_ptr<Target> target;
    double priority = 0;  // among those that wait for a handshake, the highest goes first
};

class CallQueue {
public:
    void push(const UpstreamKey& key, PendingCall call);
    // The one that came first. There must be one.
    [[nodiscard]] PendingCall pop(const UpstreamKey& key);
    // False: it is not in the queue.
    bool remove(std::uint64_t call);
    void clear();

    [[nodiscard]] bool empty(const UpstreamKey& key) const { return size(key) == 0; }
    [[nodiscard]] std::size_t size(const UpstreamKey& key) const;
    [[nodiscard]] std::size_t size() const { return servers_by_call_.size(); }
    // Those that have waited longer than this, by number.
    [[nodiscard]] std::vector<std::uint64_t> overdue(Time now, Duration longest) const;

private:
    std::map<UpstreamKey, std::deque<PendingCall>> queues_;  // none is empty
    std::unordered_map<std::uint64_t, UpstreamKey> servers_by_call_;
};

}  // namespace chalksail::net
