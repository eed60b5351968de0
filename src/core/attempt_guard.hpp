// Enforces the rules for attempts independently of the router: at most one attempt in flight for each
// request, none after its final response or its deadline, none to a server that is out of service, and no
// repetition of an attempt that may have run unless the idempotency of the request's class allows it.
//
// The router follows these rules itself; an attempt that is stopped here indicates a defect. Stateless;
// reports no errors.
#pragma once

#include <chalksail/chalksail.hpp>
#include <optional>
#include <string>

#include "core/active_requests.hpp"
#include "core/endpoint_registry.hpp"
#include "observe/record.hpp"

namespace chalksail::core {

class AttemptGuard {
public:
    // Keeps references to both.
    AttemptGuard(const Settings& settings, const EndpointRegistry& endpoints)
        : settings_(settings), endpoints_(endpoints) {}

    // Returns the reason why this attempt must not be sent; std::nullopt if it may be sent.
    [[nodiscard]] std::optional<observe::GuardReason> check(const ActiveRequest& request, const Send& attempt,
                                                            Time now) const;
    // Returns true if an attempt that waited for its connection to this server may still begin. Meanwhile the
    // client may have disconnected, the deadline passed or the deduplication window ended.
    [[nodiscard]] bool may_begin(const ActiveRequest& request, const std::string& server, Time now) const;
    // Returns true if the client may be told that the request was not run.
    [[nodiscard]] bool may_reject(const ActiveRequest& request) const;
    // Returns true if the request may have run, and a second run under its id is not harmless.
    [[nodiscard]] bool must_not_rerun(const ActiveRequest& request) const { return !retryable(request); }
    // Returns true if the client can safely retry.
    [[nodiscard]] bool retryable(const ActiveRequest& request) const;

private:
    // Returns true if another attempt may begin at this server. Its zone and cell determine whether it is
    // within the deduplication scope of the first attempt.
    [[nodiscard]] bool repeat_allowed(const ActiveRequest& request, const std::string& server,
                                      Time now) const;
    [[nodiscard]] const RequestClassSettings& class_of(const ActiveRequest& request) const {
        return settings_.classes[request.parsed.class_index];
    }

    const Settings& settings_;
    const EndpointRegistry& endpoints_;
};

}  // namespace chalksail::core
