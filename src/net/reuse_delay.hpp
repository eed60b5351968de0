// How long a connection stays idle after a response before it may carry the next request. A server may send
// more than the response that it owes, and what arrives after the next request was written cannot be told
// from that request's response. Unrequested bytes that arrive during the delay close the connection instead.
//
// Servers that have sent unrequested bytes get a longer delay for a while. Reads no clock. Not thread-safe.
// No errors.
#pragma once

#include <chalksail/chalksail.hpp>
#include <map>

#include "net/upstream_target.hpp"

namespace chalksail::net {

class ReuseDelay {
public:
    struct Limits {
        Duration normal{};
        Duration increased{};      // for servers that have sent unrequested bytes
        Duration increased_for{};  // from the last unrequested bytes on
    };
    explicit ReuseDelay(Limits limits) : limits_(limits) {}

    // Records that the server has sent bytes that belong to no request.
    void record_unrequested_bytes(const UpstreamKey& server, Time now);
    // Returns when a connection whose last response ended at `response_ended` may be reused.
    [[nodiscard]] Time reusable_at(const UpstreamKey& server, Time response_ended) const;

private:
    void forget_expired(Time now);

    Limits limits_;
    std::map<UpstreamKey, Time> increased_until_;
};

}  // namespace chalksail::net
