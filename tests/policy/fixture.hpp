// Settings and a manually driven gateway for the tests.
#pragma once

#include <gtest/gtest.h>

#include <chalksail/chalksail.hpp>
#include <string>
#include <utility>
#include <vector>

namespace chalksail::testing {

using namespace std::chrono_literals;

inline Settings plain_settings() {
    Settings s;
    RequestClassSettings c;
    c.name = "talk";
    c.first_token_objective = 1s;
    c.deadline = 4s;
    c.inter_token_objective = 50ms;
    c.priority_weight = 1;
    c.late_weight_factor = 0.2;
    c.deduplication_window = 2s;
    s.classes = {c};
    c.name = "order";
    c.priority_weight = 3;
    c.idempotency = Idempotency::non_idempotent;
    s.classes.push_back(c);
    c.name = "keyed";
    c.idempotency = Idempotency::idempotent_by_key;
    c.deduplication_scope = DeduplicationScope::zone;
    s.classes.push_back(c);
    s.kinds = {{"reader", Role::prefill, 200'000},
               {"writer", Role::decode, 100'000},
               {"both", Role::mixed, 100'000}};
    s.zone = "north";
    s.tick = 4ms;
    s.answer_slack = 16ms;
    s.release_within = 400ms;
    s.slow_start_duration = 10s;
    s.slow_start_initial_capacity = 0.3;
    s.slow_start_overload_factor = 3;
    s.slow_start_overload_window = 2s;
    s.dial_timeout = 250ms;
    s.max_retry_after = 500ms;
    s.max_attempts = 4;
    s.cancellation_enabled = true;
    s.health_checks_enabled = true;
    s.weigh_by_work = true;
    return s;
}

inline Endpoint server(const std::string& id, const std::string& kind, const std::string& zone = "north",
                       std::int64_t cell = 0) {
    Endpoint e;
    e.id = {id};
    e.kind = kind;
    e.zone = zone;
    e.cell = cell;
    return e;
}

class Gateway {
public:
    explicit Gateway(const Settings& settings = plain_settings(), std::uint64_t seed = 1)
        : router(settings, seed) {}

    std::vector<Action> step(std::vector<Event> events = {}) {
        last = router.step(now, events);
        return last;
    }
    std::vector<Action> list(std::vector<Endpoint> entries,
                             EndpointUpdateKind scope = EndpointUpdateKind::snapshot) {
        return step({EndpointUpdate{scope, std::move(entries)}});
    }
    std::vector<Action> arrive(std::uint64_t id, const std::string& class_name = "talk",
                               double prompt = 1000) {
        return step({request(id, class_name, prompt)});
    }
    static RequestArrived request(std::uint64_t id, const std::string& class_name = "talk",
                                  double prompt = 1000) {
        RequestArrived a;
        a.id = {id};
        a.class_name = class_name;
        a.session = "s" + std::to_string(id);
        a.prefix = "p";
        a.time_remaining = 4s;
        a.prompt_tokens = prompt;
        a.max_output = 200;
        return a;
    }
    std::vector<Action> end(std::uint64_t id, int attempt, const std::string& at, AttemptOutcome outcome,
                            bool finished = false, bool kv_state_missing = false,
                            std::vector<double> report = {}) {
        return step({AttemptEnded{
            {id}, {attempt}, {at}, outcome, 20ms, finished, kv_state_missing, 0, std::move(report)}});
    }
    std::vector<Action> begin_stream(std::uint64_t id, int attempt, const std::string& at) {
        return step({StreamStarted{{id}, {attempt}, {at}, 20ms}});
    }
    void advance(Duration elapsed) { now += elapsed; }

    template <class A>
    [[nodiscard]] std::vector<A> all() const {
        std::vector<A> out;
        for (const auto& action : last)
            if (const auto* a = std::get_if<A>(&action)) out.push_back(*a);
        return out;
    }
    [[nodiscard]] std::string sent_to() const {
        std::string out;
        for (const auto& s : all<Send>()) out += (out.empty() ? "" : ",") + s.server.value;
        return out;
    }

    Router router;
    Time now{10s};
    std::vector<Action> last;
};

}  // namespace chalksail::testing
