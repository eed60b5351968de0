// The inputs of Edge::step(): what the network layer reports to the core. Plain data, no I/O.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "core/handles.hpp"
#include "engine/outcome.hpp"
#include "http/message.hpp"
#include "membership/endpoint_list.hpp"

namespace chalksail::core {

// ---- clients ----

// A complete request of a client.
struct ClientRequest {
    ClientId client;
    http::Request request;
    // When the request's last byte was received; if absent, at the time of the step.
    std::optional<Time> received_at = {};
};
// The client disconnected, or the network layer closed its connection.
struct ClientClosed {
    ClientId client;
    std::string detail = {};  // for the log: which side closed it, and the error
};
// The number of bytes queued for the client has exceeded the limit, or has dropped below it again.
struct ClientBacklog {
    ClientId client;
    bool full = false;
};

// ---- calls to servers ----

// The first byte of the call was handed to a connection.
struct CallSent {
    CallId call;
};
// The last byte of the call was handed to a connection.
struct CallWritten {
    CallId call;
};
// The status and headers of the server's response were received.
struct CallHead {
    CallId call;
    int status = 0;
    http::Headers headers;
};
// A part of the response's body was received.
struct CallBody {
    CallId call;
    std::string bytes;
};
// The response has been received completely.
struct CallDone {
    CallId call;
};
// The call ended without a complete response.
struct CallFailed {
    CallId call;
    engine::ExchangeEnd ending = engine::ExchangeEnd::connection_closed;
    std::string detail;
};

// ---- cache events ----

// One message of a server's cache events, or of a replay of past ones.
struct CacheEventMessage {
    std::string server;
    std::uint64_t sequence = 0;
    std::string payload;
    bool replayed = false;
};
// A replay has delivered all the events that the server retains, or is not available.
struct CacheReplayEnded {
    std::string server;
};
// The snapshots stored by StoreCacheSnapshot before this process started, by server.
struct CacheSnapshots {
    std::map<std::string, std::string> by_server;
};

// ---- the process ----

// The certificates that servers are verified against have changed.
struct TrustStoreChanged {};
// This gateway shuts down soon: requests accepted from now on must be answered by the deadline.
struct ShutdownAnnounced {
    Time response_deadline;
};
// No new request is accepted from now on.
struct DrainStarted {};
// The drain timeout has expired: every open request gets its final response now.
struct DrainExpired {};

using Input =
    std::variant<ClientRequest, ClientClosed, ClientBacklog, CallSent, CallWritten, CallHead, CallBody,
                 CallDone, CallFailed, membership::EndpointList, CacheEventMessage, CacheReplayEnded,
                 CacheSnapshots, TrustStoreChanged, ShutdownAnnounced, DrainStarted, DrainExpired>;

}  // namespace chalksail::core
