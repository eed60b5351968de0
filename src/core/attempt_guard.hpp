// The rules that every attempt keeps, whatever the router decides: at most one in flight for a request, none
// after its final answer or deadline, none to a server out of service, and no repeat of what may have run
// beyond its class's idempotency.
//
// The router keeps them by itself; what is stopped here is a fault. Stateless; no errors.
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

    // Why this attempt must not be sent; nothing: it may.
    [[nodiscard]] std::optional<observe::GuardReason> check(const ActiveRequest& request, const Send& attempt,
                                                            Time now) const;
    // May an attempt that waited for its connection to this server still begin? The wait may have outlasted
    // the client, the deadline or the window for repeats.
    [[nodiscard]] bool may_begin(const ActiveRequest& request, const std::string& server, Time now) const;
    // May the client be answered that the request was not run?
    [[nodiscard]] bool may_reject(const ActiveRequest& request) const;
    // Is a retry by the client harmless?
    [[nodiscard]] bool retryable(const ActiveRequest& request) const;

private:
    // May another attempt begin at this server? Deduplication scopes are distinguished by its zone and cell.
    [[nodiscard]] bool repeat_allowed(const ActiveRequest& request, const std::string& server,
                                      Time now) const;
    [[nodiscard]] const RequestClassSettings& class_of(const ActiveRequest& request) const {
        return settings_.classes[request.parsed.class_index];
    }

    const Settings& settings_;
    const EndpointRegistry& endpoints_;
};

}  // namespace chalksail::core
