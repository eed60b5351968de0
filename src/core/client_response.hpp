// Emits the effects that send or complete responses to clients. Stateless; reports no errors.
#pragma once

#include <string>

#include "core/active_requests.hpp"
#include "core/handles.hpp"
#include "core/protocol.hpp"
#include "core/step_output.hpp"

namespace chalksail::core {

inline constexpr int kOk = 200;
inline constexpr int kConflict = 409;
inline constexpr int kBadGateway = 502;
inline constexpr int kServiceUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

// Sends a complete response.
void send_response(ClientId client, ClientResponse response, StepOutput& output);

// Completes the response to a request that was served: ends its stream, or sends the collected response.
void complete_response(const ActiveRequest& request, StepOutput& output);

// Reports a failure to the client. If its stream has started, sends the protocol's error event, or closes the
// connection if the protocol has none; otherwise sends an error response. `retryable` is true if the client
// can safely retry.
void send_failure(const ActiveRequest& request, int status, const std::string& message, bool retryable,
                  StepOutput& output);

}  // namespace chalksail::core
