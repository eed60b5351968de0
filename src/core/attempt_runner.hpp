// Carries out the attempts of requests, from the call to a server to what its end means for the request, for
// what is held and for the router. Stateless beside the parts that it coordinates; no errors.
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

    // Sends the request to the server; AttemptGuard has found nothing against it.
    void begin(ActiveRequest& request, const membership::EndpointConfig& server, const Send& action, Time now,
               StepOutput& output);
    // Bytes of a decode response.
    void receive_stream(UpstreamCall& call, std::string_view bytes, Time now, StepOutput& output);
    // Closes the attempt's connection and ends it.
    void abort(CallId id, engine::ExchangeEnd ending, const std::string& detail, Time now,
               StepOutput& output);
    // The one place where an attempt ends, whatever ended it. The request may be removed by it.
    void end(CallId id, engine::ExchangeEnd ending, const std::string& detail, Time now, StepOutput& output);
    // Takes back the attempts that still wait for a connection to one of these servers.
    void withhold(const std::set<std::string>& servers, Time now, StepOutput& output);
    // The server did not prove its name.
    void mark_unverified(const std::string& server, const std::string& detail, Time now, StepOutput& output);
    // Sets the timer of a request with this attempt in flight: the attempt's deadline, or sooner the time of
    // what is held.
    void set_timer(ActiveRequest& request, const UpstreamCall& attempt);

private:
    void start_stream(ActiveRequest& request, const UpstreamCall& call, Time now, StepOutput& output);
    [[nodiscard]] AttemptEnded attempt_ended_event(const ActiveRequest& request, const UpstreamCall& call,
                                                   const AttemptResult& result, Time now) const;
    // Takes in the prompt and cache tokens that the engine has counted.
    void record_engine_counts(ActiveRequest& request, const UpstreamCall& call, const AttemptResult& result,
                              Time now, StepOutput& output);
    void record_attempt(ActiveRequest& request, const UpstreamCall& call, const AttemptResult& result,
                        const std::string& detail, Time now, StepOutput& output);

    CoreParts& parts_;
    RequestCompletion& completion_;
};

}  // namespace chalksail::core
