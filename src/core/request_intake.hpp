// Accepts requests: turns a client's request into an active request, or responds to it at once.
//
// Owns the shutdown state of the intake: whether new requests are accepted, and by when accepted requests
// must be answered. Invalid requests get error responses; there are no other errors. Not thread-safe.
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
    // Requests accepted from now on must be answered by the deadline; streams that still run then are broken,
    // for their clients to resume.
    void announce_shutdown(Time response_deadline) { response_deadline_ = response_deadline; }
    // Rejects new requests from now on.
    void start_drain() { draining_ = true; }

private:
    // What is known of a request beside its content.
    struct Arrival {
        ClientId client;
        std::uint64_t number = 0;
        std::size_t body_bytes = 0;
        Time received_at{};  // when its last byte was received
    };

    void reject(ClientId client, Rejection rejection, observe::Termination termination,
                observe::TerminationReason reason, StepOutput& output);
    // Rejects a request whose id is that of an earlier one that must not run again.
    void reject_rerun(ClientId client, const ParsedRequest& parsed, StepOutput& output);
    void start_request(const Arrival& arrival, ParsedRequest parsed, Time now, StepOutput& output);
    // Rejects a request whose deadline passed before it was started.
    void reject_expired(ActiveRequest& request, Time now, StepOutput& output);
    // Returns the deadline of a request that was received at this time.
    [[nodiscard]] Time deadline(const ParsedRequest& parsed, Time received_at, Time now) const;
    // Returns the event that notifies the router of a new request.
    [[nodiscard]] RequestArrived make_arrival_event(const ActiveRequest& request, Time now) const;

    CoreParts& parts_;
    bool draining_ = false;
    Time response_deadline_ = Time::max();  // Time::max(): no shutdown is announced
};

}  // namespace chalksail::core
