// Runs the attempts of requests: begins the call to a server, forwards its response, and at its end updates
// the request, the reserved KV states and the router. Has no state beyond the parts that it coordinates;
// reports no errors.
#pragma once

#include <set>
#include <string>
#include <string_view>

#include "core/attempt_result.hpp"
#include "core/core_parts.hpp"
#include "core/request_completion.hpp"
#include "core/step_output.hpp"

namespace chalksail::core {

class AttemptRunner {
public:
    // Keeps references to both.
    AttemptRunner(CoreParts& parts, RequestCompletion& completion) : parts_(parts), completion_(completion) {}

    // Sends the request to the server. AttemptGuard must have allowed the attempt.
    void begin(ActiveRequest& request, const membership::EndpointConfig& server, const Send& action, Time now,
               StepOutput& output);
    // Processes bytes of a decode response.
    void receive_stream(UpstreamCall& call, std::string_view bytes, Time now, StepOutput& output);
    // Closes the attempt's connection and ends it.
    void abort(CallId id, engine::ExchangeEnd ending, const std::string& detail, Time now,
               StepOutput& output);
    // Ends an attempt; every attempt ends here, whatever the cause. May remove the request.
    void end(CallId id, engine::ExchangeEnd ending, const std::string& detail, Time now, StepOutput& output);
    // Aborts the attempts that still wait for a connection to one of these servers.
    void withdraw_queued(const std::set<std::string>& servers, Time now, StepOutput& output);
    // Marks the server as unverified after a failed TLS verification, and aborts the attempts that wait for a
    // connection to it.
    void mark_unverified(const std::string& server, const std::string& detail, Time now, StepOutput& output);
    // Sets the timer of a request with this attempt in flight to the attempt's deadline, or to the time at
    // which a held KV state must be released if that is earlier.
    void set_timer(ActiveRequest& request, const UpstreamCall& attempt);

private:
    void start_stream(ActiveRequest& request, const UpstreamCall& call, Time now, StepOutput& output);
    [[nodiscard]] AttemptEnded attempt_ended_event(const ActiveRequest& request, const UpstreamCall& call,
                                                   const AttemptResult& result, Time now) const;
    // Records the numbers of prompt tokens and cached tokens that the server reported.
    void record_engine_counts(ActiveRequest& request, const UpstreamCall& call, const AttemptResult& result,
                              Time now, StepOutput& output);
    void record_attempt(ActiveRequest& request, const UpstreamCall& call, const AttemptResult& result,
                        const std::string& detail, Time now, StepOutput& output);

    CoreParts& parts_;
    RequestCompletion& completion_;
};

}  // namespace chalksail::core
