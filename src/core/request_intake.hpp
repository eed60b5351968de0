// Accepts requests: turns what a client sends into an active request, or answers it at once.
//
// Owns what a shutdown changes about that: whether new requests are taken, and until when those taken are
// answered. Bad requests become answers; no other errors. Not thread-safe.
#pragma once

#include "core/core_parts.hpp"
#include "core/inputs.hpp"
#include "core/step_output.hpp"

namespace chalksail::core {

class RequestIntake {
public:
    // Keeps a reference to `parts`.
    explicit RequestIntake(CoreParts& parts) : parts_(parts) {}

    void receive(ClientRequest& input, Time now, StepOutput& output);
    // Requests taken from now on are answered by the deadline, and their streams cut then to be resumed.
    void announce_shutdown(Time answer_deadline) { answer_deadline_ = answer_deadline; }
    // New requests are refused from now on.
    void start_drain() { draining_ = true; }

private:
    void reject(ClientId client, Rejection rejection, observe::Termination termination,
                observe::TerminationReason reason, StepOutput& output);
    void start_request(ClientId client, ParsedRequest parsed, std::uint64_t number, std::size_t body_bytes,
                       Time now, StepOutput& output);
    // The event that notifies the router of a new request.
    [[nodiscard]] RequestArrived arrival_of(const ActiveRequest& request, Time now) const;

    CoreParts& parts_;
    bool draining_ = false;
    Time answer_deadline_ = Time::max();  // Time::max(): no shutdown is announced
};

}  // namespace chalksail::core
