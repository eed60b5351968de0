// What the network layer is to do, as returned by Edge::step(), in order. Plain data, no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "base/units.hpp"
#include "core/handles.hpp"
#include "http/message.hpp"
#include "observe/record.hpp"

namespace chalksail::core {

// ---- to clients ----

// Sends a whole response.
struct SendResponse {
    ClientId client;
    int status = 200;
    http::Headers headers;
    std::string body;
};
// Starts a streamed response with status 200.
struct StreamBegin {
    ClientId client;
    http::Headers headers;
};
struct StreamBytes {
    ClientId client;
    std::string bytes;
};
struct StreamEnd {
    ClientId client;
};
// Closes the client's connection without the end of the stream.
struct AbortStream {
    ClientId client;
};

// ---- calls to servers ----

enum class CallKind {
    attempt,      // a prefill or decode attempt of a request
    release,      // releases a reserved KV state
    reservation,  // reserves capacity at a decode server
    health_check,
    verify,  // only a connection whose server has proved its name, with no request; done or failed
};
// Begins an HTTP exchange with a server.
struct Call {
    CallId call;
    CallKind kind = CallKind::attempt;
    std::string server;
    std::string server_kind;
    Address address;
    std::string method;
    std::string target;
    http::Headers headers;
    std::string body;
    double priority = 0;  // of the calls that wait for a handshake, the highest goes first
};
// Closes the call's connection, or takes the call out of its queue; nothing more is reported of it.
struct CallAbort {
    CallId call;
};
// Closes the sending side of the call's connection; what still comes of its response is reported.
struct HalfCloseCall {
    CallId call;
};
// All that was wanted of the response is here; its connection may be reused once the response has ended.
struct CompleteCall {
    CallId call;
};
// Stops or resumes reading the call's response.
struct SetCallPaused {
    CallId call;
    bool paused = false;
};

// ---- cache events ----

// Subscribes to a server's cache events; for one that is subscribed to, at other addresses than before.
struct SubscribeCacheEvents {
    std::string server;
    Address events;
    std::optional<Address> replay;
};
struct UnsubscribeCacheEvents {
    std::string server;
};
// Requests past cache events, from this sequence number on.
struct ReplayCacheEvents {
    std::string server;
    std::uint64_t from = 0;
};
// Stores the snapshot in place of the server's former one.
struct StoreCacheSnapshot {
    std::string server;
    std::string snapshot;
};
struct DropCacheSnapshot {
    std::string server;
};

// ---- the rest ----

// The server is off the list and the core holds nothing of it any more.
struct EndpointForgotten {
    std::string server;
};
// Writes the record to the log and counts it in the metrics.
struct EmitRecord {
    observe::Record record;
};

using Output =
    std::variant<SendResponse, StreamBegin, StreamBytes, StreamEnd, AbortStream, Call, CallAbort,
                 HalfCloseCall, CompleteCall, SetCallPaused, SubscribeCacheEvents, UnsubscribeCacheEvents,
                 ReplayCacheEvents, StoreCacheSnapshot, DropCacheSnapshot, EndpointForgotten, EmitRecord>;

}  // namespace chalksail::core
