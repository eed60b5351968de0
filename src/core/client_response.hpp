// The ends of answers to clients, as effects. Stateless; no errors.
#pragma once

#include <string>

#include "core/active_requests.hpp"
#include "core/handles.hpp"
#include "core/protocol.hpp"
#include "core/step_output.hpp"

namespace chalksail::core {

inline constexpr int kOk = 200;
inline constexpr int kBadGateway = 502;
inline constexpr int kServiceUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

// Sends a whole response.
void send_response(ClientId client, ClientResponse answer, StepOutput& output);

// Ends the answer of a request that was served: the end of its stream, or the one object.
void send_end_of_answer(const ActiveRequest& request, StepOutput& output);

// Tells the client of a failure: in its stream if one has started and the protocol has a form for that, by
// closing it if not, else by a whole response. `retryable`: a retry is harmless.
void send_failure(const ActiveRequest& request, int status, const std::string& message, bool retryable,
                  StepOutput& output);

}  // namespace chalksail::core
