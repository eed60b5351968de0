// The outputs of Edge::step(): what the network layer has to do, in order. Plain data, no I/O.
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

// Sends a complete response.
struct SendResponse {
    ClientId client;
    int status = 200;
    http::Headers headers;
    std::string body;
};
// Starts a streamed response with status 200.
struct BeginStream {
    ClientId client;
    http::Headers headers;
};
struct SendStreamBytes {
    ClientId client;
    std::string bytes;
};
struct EndStream {
    ClientId client;
};
// Closes the client's connection before the end of the stream.
struct AbortStream {
    ClientId client;
};

// ---- calls to servers ----

enum class CallKind {
    attempt,      // a prefill or decode attempt of a request
    release,      // releases a reserved KV state
    reservation,  // reserves capacity at a decode server
    health_check,
    verify,  // opens a TLS connection to verify the server's name, without a request; ends in CallDone or
             // CallFailed
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
    double priority = 0;  // calls waiting for a handshake are served in descending order of priority
};
// Closes the call's connection, or removes the call from its queue. Nothing more is reported for the call.
struct AbortCall {
    CallId call;
};
// Closes the sending side of the call's connection. The rest of its response is still reported.
struct HalfCloseCall {
    CallId call;
};
// Ignores the rest of the response. The connection may be reused once the response has ended.
struct CompleteCall {
    CallId call;
};
// Stops or resumes reading the call's response.
struct SetCallPaused {
    CallId call;
    bool paused = false;
};

// ---- cache events ----

// Subscribes to a server's cache events, or moves an existing subscription to other addresses.
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
// Stores the snapshot, replacing the server's previous one.
struct StoreCacheSnapshot {
    std::string server;
    std::string snapshot;
};
struct DropCacheSnapshot {
    std::string server;
};

// ---- endpoints and records ----

// Frees the network layer's state for a server that was removed from the endpoint list; the core has already
// dropped its own.
struct ForgetEndpoint {
    std::string server;
};
// Writes the record to the log and counts it in the metrics.
struct EmitRecord {
    observe::Record record;
};

using Output =
    std::variant<SendResponse, BeginStream, SendStreamBytes, EndStream, AbortStream, Call, AbortCall,
                 HalfCloseCall, CompleteCall, SetCallPaused, SubscribeCacheEvents, UnsubscribeCacheEvents,
                 ReplayCacheEvents, StoreCacheSnapshot, DropCacheSnapshot, ForgetEndpoint, EmitRecord>;

}  // namespace chalksail::core
