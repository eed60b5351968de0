// Completes requests: sends and records their final responses, and releases the KV states and reservations
// held for them. Has no state beyond the parts that it coordinates; reports no errors.
#pragma once

#include <string>

#include "core/attempt_result.hpp"
#include "core/core_parts.hpp"
#include "core/step_output.hpp"

namespace chalksail::core {

class RequestCompletion {
public:
    // Keeps a reference to `parts`.
    explicit RequestCompletion(CoreParts& parts) : parts_(parts) {}

    // Sends the final response if the end of this attempt determines it; otherwise the router decides how to
    // continue.
    void respond_after_attempt(ActiveRequest& request, const UpstreamCall& call, const AttemptResult& result,
                               const std::string& detail, Time now, StepOutput& output);
    // Reports a failure to the client, and finishes the request.
    void fail(ActiveRequest& request, int status, observe::TerminationReason reason,
              const std::string& message, Time now, StepOutput& output);
    // Marks the request as finished and writes its record. `status` is that of the final response; 0 if none
    // was needed.
    void finish(ActiveRequest& request, observe::Termination termination, int status,
                observe::TerminationReason reason, Time now, StepOutput& output);
    // Removes a request that is finished and has no attempt in flight, and releases the KV state held for it.
    void remove_if_complete(ActiveRequest& request, Time now, StepOutput& output);
    // Drops the request's deferred attempt and reports it to the router as not sent, which implies nothing
    // about its server.
    void drop_deferred(ActiveRequest& request, Time now, StepOutput& output);

private:
    CoreParts& parts_;
};

}  // namespace chalksail::core
