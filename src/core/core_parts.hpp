// The owners of the core's state, grouped for the classes that coordinate them: Edge, RequestIntake,
// AttemptRunner and RequestCompletion. Each part is used through its public interface only.
#pragma once

#include <memory>

#include "config/settings.hpp"
#include "core/active_requests.hpp"
#include "core/attempt_guard.hpp"
#include "core/cache_index.hpp"
#include "core/endpoint_registry.hpp"
#include "core/protocol.hpp"
#include "core/reserved_kv_states.hpp"
#include "core/run_history.hpp"
#include "core/upstream_calls.hpp"
#include "engine/vocabulary.hpp"

namespace chalksail::core {

struct CoreParts {
    CoreParts(const config::EdgeSettings& edge_settings, std::shared_ptr<const engine::Vocabulary> vocabulary)
        : settings(edge_settings),
          protocol(make_protocol(settings)),
          endpoints({settings.limits.unverified_backoff, settings.limits.unverified_backoff_max}),
          cache_index(settings, std::move(vocabulary)),
          requests(settings.limits),
          kv_states(settings, *protocol, endpoints, calls),
          guard(settings.router, endpoints) {}
    CoreParts(const CoreParts&) = delete;  // the parts hold references to each other
    CoreParts& operator=(const CoreParts&) = delete;

    const config::EdgeSettings settings;
    const std::unique_ptr<Protocol> protocol;
    EndpointRegistry endpoints;
    CacheIndex cache_index;
    UpstreamCalls calls;
    ActiveRequests requests;
    ReservedKvStates kv_states;
    AttemptGuard guard;
    RunHistory run_history;  // of requests that are not idempotent
};

}  // namespace chalksail::core
