// The endpoints known to the core: the list that membership delivers, the state of their TLS verification,
// and the time of their last activity.
//
// An endpoint that has failed the verification of its name is reported to the router as draining until it
// succeeds. No I/O, no clock; not thread-safe; reports no errors.
#pragma once

#include <chalksail/chalksail.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/last_activity.hpp"
#include "core/step_output.hpp"
#include "membership/endpoint_list.hpp"
#include "membership/verification.hpp"

namespace chalksail::core {

class EndpointRegistry {
public:
    using Endpoints = std::map<ServerId, membership::EndpointConfig>;

    explicit EndpointRegistry(membership::Verification::Backoff verification_backoff)
        : verification_(verification_backoff) {}

    // ---- the list ----

    // Applies an update of the list, records the changes and notifies the router. Returns the servers whose
    // queued attempts must be withdrawn: those that are not up, and those that have restarted.
    [[nodiscard]] std::set<std::string> apply(const membership::EndpointList& list, Time now,
                                              StepOutput& output);
    // Deletes the removed endpoints, except those in `in_use`; returns the names of the deleted ones.
    [[nodiscard]] std::vector<std::string> forget_removed(const std::set<std::string>& in_use);

    // Returns nullptr if the endpoint was never listed or has been deleted. The pointer is valid until the
    // next apply() or forget_removed().
    [[nodiscard]] const membership::EndpointConfig* find(const std::string& server) const;
    [[nodiscard]] const Endpoints& all() const { return endpoints_; }
    // Returns true if the endpoint is listed as up, whether or not it is verified.
    [[nodiscard]] bool is_up(const std::string& server) const;

    // ---- verification ----

    // Records that the verification of the server's name failed. Returns true if attempts that wait for a
    // connection to it must be withdrawn: it is listed, and was not unverified before.
    [[nodiscard]] bool mark_unverified(const std::string& server, const std::string& detail, Time now,
                                       StepOutput& output);
    // Records that the server's name was verified.
    void mark_verified(const std::string& server, StepOutput& output);
    // Records that a verification ended without a result; it is repeated after a pause.
    void verification_inconclusive(const std::string& server, Time now) {
        verification_.inconclusive(server, now);
    }
    // Schedules the verification of all unverified servers at once, as the trusted certificates have changed.
    void trust_changed(Time now) { verification_.trust_changed(now); }
    // Returns the endpoints whose verification is due; each counts as in progress until its result is
    // reported.
    [[nodiscard]] std::vector<membership::EndpointConfig> due_verifications(Time now);
    [[nodiscard]] std::optional<Time> next_verification() const { return verification_.next(); }
    [[nodiscard]] bool unverified(const std::string& server) const {
        return verification_.unverified(server);
    }
    [[nodiscard]] std::size_t unverified_count() const { return verification_.count(); }

    // ---- activity ----

    // Records that bytes of a response of this server were received.
    void record_activity(const std::string& server, Time now) { activity_.record(server, now); }
    // Returns the most recently active endpoint that is up and not excluded. If none has been active, returns
    // the first by name; nullptr if none is eligible.
    [[nodiscard]] const membership::EndpointConfig* last_active(const std::set<std::string>& excluded) const;

private:
    // Marks an endpoint as removed because a snapshot does not list it.
    static void mark_removed(membership::EndpointConfig& config, StepOutput& output);
    // Stores one entry of the list; returns true if the endpoint has restarted since its previous entry.
    bool update(const membership::EndpointConfig& config, Time now, StepOutput& output);

    Endpoints endpoints_;
    membership::Verification verification_;
    LastActivity activity_;
};

}  // namespace chalksail::core
