// Completes requests: final answers, their records, and the release of all that is held for them.
// Stateless beside the parts that it coordinates; no errors.
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

    // Gives the final answer where the end of this attempt calls for one by itself; else the router decides.
    void answer_after(ActiveRequest& request, const UpstreamCall& call, const AttemptResult& result,
                      const std::string& detail, Time now, StepOutput& output);
    // Tells the client of a failure, and finishes the request.
    void fail(ActiveRequest& request, int status, observe::TerminationReason reason,
              const std::string& message, Time now, StepOutput& output);
    // The request has its final answer, of this status, or needs none (0).
    void finish(ActiveRequest& request, observe::Termination termination, int status,
                observe::TerminationReason reason, Time now, StepOutput& output);
    // Forgets a request that is finished and has no attempt in flight, and releases what is held for it.
    void remove_if_over(ActiveRequest& request, Time now, StepOutput& output);
    // Ends the request's deferred attempt, which never began.
    void drop_deferred(ActiveRequest& request, StepOutput& output);

private:
    CoreParts& parts_;
};

}  // namespace chalksail::core
