// What the network layer reports to the core: values of Edge::step(). Plain data, no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>

#include "core/handles.hpp"
#include "engine/outcome.hpp"
#include "http/message.hpp"
#include "membership/endpoint_list.hpp"

namespace chalksail::core {

// ---- clients ----

// A whole request of a client.
struct ClientRequest {
    ClientId client;
    http::Request request;
};
// The client disconnected, or the network layer closed its connection.
struct ClientClosed {
    ClientId client;
    std::string detail = {};  // for the log: which side closed it, and with what error
};
// The bytes that wait to be written to the client have passed the limit, or are below it again.
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
// The head of the server's response.
struct CallHead {
    CallId call;
    int status = 0;
    http::Headers headers;
};
// Bytes of the response's body.
struct CallBody {
    CallId call;
    std::string bytes;
};
// The response came to its proper end.
struct CallDone {
    CallId call;
};
// The call ended without a whole response.
struct CallFailed {
    CallId call;
    engine::Ending ending = engine::Ending::closed;
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
// A replay has delivered all that the server has, or can't be had.
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
// This gateway ends soon: requests taken from now on are answered by the deadline.
struct ShutdownAnnounced {
    Time answer_deadline;
};
// No new request is taken from now on.
struct DrainStarted {};
// Every request gets its final answer now.
struct DrainExpired {};

using Input =
    std::variant<ClientRequest, ClientClosed, ClientBacklog, CallSent, CallWritten, CallHead, CallBody,
                 CallDone, CallFailed, membership::EndpointList, CacheEventMessage, CacheReplayEnded,
                 CacheSnapshots, TrustStoreChanged, ShutdownAnnounced, DrainStarted, DrainExpired>;

}  // namespace chalksail::core
