// The coordinator of the routing policy. It forwards events to the components, asks these for decisions in a
// fixed order and translates the decisions into actions. A component never modifies another one's state: it
// receives what it needs as arguments, or reads it through the other's interface. See docs/design.md for the
// reasons.
#include <algorithm>
#include <chalksail/chalksail.hpp>
#include <optional>
#include <string>
#include <utility>

#include "admission.hpp"
#include "attempt_recorder.hpp"
#include "candidate_set.hpp"
#include "concurrency_limit.hpp"
#include "decode_capacity.hpp"
#include "decode_selection.hpp"
#include "endpoint_table.hpp"
#include "latency_estimates.hpp"
#include "outlier_detection.hpp"
#include "prefill_selection.hpp"
#include "request_table.hpp"
#include "retry_policy.hpp"
#include "slow_start.hpp"
#include "statistics.hpp"
#include "step_timer.hpp"

namespace chalksail {
namespace {

// A step is late if it runs more than this part (1/n) of the shortest latency objective after its timer.
constexpr int kLateStepDivisor = 4;
// Observations are sparse if this gateway's share of a decode server's memory holds fewer typical requests
// than this, because its own load then says little about the server.
constexpr double kMinRequestsPerServer = 3;
// Ticks before the end of the release time by which a KV state must be claimed: one step and the network
// delay.
constexpr int kClaimMarginTicks = 3;
// Ticks between steps while a request waits, or a server waits for readmission.
constexpr int kStepIntervalTicks = 2;

}  // namespace

class Router::Impl {
public:
    Impl(const Settings& settings, std::uint64_t seed)
        : settings_(settings),
          seed_(std::to_string(seed)),
          requests_(settings_),
          endpoints_(settings_),
          latencies_(settings_.classes.size()),
          retry_policy_(settings_.max_attempts, settings_.tick),
          slow_start_(settings_),
          limits_(settings_),
          outliers_(settings_),
          admission_(settings_, seed_, requests_, latencies_, retry_policy_),
          recorder_(requests_, admission_, limits_, latencies_, outliers_, slow_start_),
          candidates_(settings_, requests_, endpoints_, slow_start_, outliers_, retry_policy_),
          decode_capacity_(requests_, endpoints_, limits_),
          prefill_selection_(endpoints_, latencies_),
          decode_selection_(settings_, endpoints_, limits_, prefill_selection_) {}

    std::vector<Action> step(Time now, std::span<const Event> events) {
        begin_step(now, events);
        for (const auto& event : events) std::visit([this](const auto& typed) { on(typed); }, event);
        cancel_silent_attempts();
        limits_.update_pool(summary().decode_memory());
        reject_unservable_requests();
        place_held_requests();
        readmit_ejected_servers();
        set_timer();
        return std::move(actions_);
    }

    [[nodiscard]] std::size_t tracked_requests() const { return requests_.size(); }

private:
    using Attempt = policy::Attempt;
    using Request = policy::Request;
    using Server = policy::Server;
    using Stage = policy::Stage;

    // The phases of a step.
    void begin_step(Time now, std::span<const Event> events);
    void cancel_silent_attempts();
    void reject_unservable_requests();
    void place_held_requests();
    void readmit_ejected_servers();
    void set_timer();

    // Events.
    void on(const RequestArrived& event);
    void on(const StreamStarted& event);
    void on(const AttemptEnded& event);
    void on(const KvStateReleased& event);
    void on(const ClientDisconnected& event);
    void on(const EndpointUpdate& event);
    void on(const HealthCheckEnded& event);
    void on(const CacheReportingChanged& event);
    void on(const TimerFired& event) { timer_.on_fired(event.id); }
    void on(const ReservationResult&) {}  // no reservation is requested
    void on(const PeerMessage&) {}        // no peer messages are sent

    // Placement of a held request.
    void place_prefill(Request& request);
    void place_decode(Request& request);
    void send(Request& request, Server& server, Stage stage);
    [[nodiscard]] Attempt make_attempt(const Request& request, const Server& server, Stage stage) const;

    // The end of a request and of its KV state.
    void continue_after_failure(Request& request, const AttemptEnded& event);
    void reject_or_fail(Request& request);
    void cancel(Request& request);
    void erase_request(Request& request);
    void release_kv_state(Request& request);
    void clear_kv_state(Request& request);
    [[nodiscard]] Time kv_state_claim_deadline(const Request& request) const;

    void reset_observations(Server& server);
    [[nodiscard]] const policy::FleetSummary& summary() const {
        return endpoints_.summary(now_, outliers_.version());
    }
    [[nodiscard]] policy::StepContext context() const { return {now_, has_sparse_observations()}; }
    [[nodiscard]] bool has_sparse_observations() const {
        return endpoints_.largest_decode_memory() <
               kMinRequestsPerServer * settings_.gateways * requests_.typical_request_tokens();
    }

    const Settings settings_;
    const std::string seed_;  // for choices that should differ between gateways
    policy::RequestTable requests_;
    policy::EndpointTable endpoints_;
    policy::LatencyEstimates latencies_;
    policy::RetryPolicy retry_policy_;
    policy::SlowStart slow_start_;
    policy::ConcurrencyLimit limits_;
    policy::OutlierDetection outliers_;
    policy::Admission admission_;
    policy::AttemptRecorder recorder_;
    policy::CandidateSet candidates_;
    policy::DecodeCapacity decode_capacity_;
    policy::PrefillSelection prefill_selection_;
    policy::DecodeSelection decode_selection_;
    policy::StepTimer timer_;
    std::vector<Action> actions_;
    std::optional<Time> last_step_;
    Time now_{};
    bool step_late_ = false;
};

// ---- the phases of a step ----

void Router::Impl::begin_step(Time now, std::span<const Event> events) {
    now_ = now;
    step_late_ =
        timer_.fired_late(events, now, policy::shortest_first_token_objective(settings_) / kLateStepDivisor);
    actions_.clear();
    if (!last_step_ && settings_.endpoint_watch_required) actions_.emplace_back(WatchEndpoints{true});
    const double elapsed = seconds(now - last_step_.value_or(now));
    last_step_ = now;
    if (limits_.begin_recovery())
        for (auto& [id, server] : endpoints_.all()) limits_.recover(server.limit, elapsed);
    limits_.recover_pool(elapsed);
    admission_.refill_quotas(elapsed);
}

// Cancels attempts whose server has been silent for longer than their timeout, and ejects the server.
// Attempts that could not be retried have no timeout. In an overload, prefills past their objective are
// cancelled, too: they would delay other requests (docs/incidents/2026-11-full-size.md, Lfcc8ee).
void Router::Impl::cancel_silent_attempts() {
    if (!settings_.cancellation_enabled) return;
    const policy::StepContext context = this->context();
    for (auto& [id, request] : requests_.all()) {
        if (!request.attempt || !request.awaits_stream()) continue;
        const Attempt& attempt = *request.attempt;
        if (attempt.timeout == Duration::zero()) continue;
        if (attempt.stage == Stage::prefill && now_ > request.objective && admission_.overloaded(context) &&
            policy::RetryPolicy::may_reject(*request.class_settings, request.history)) {
            cancel(request);
            continue;
        }
        Server* server = endpoints_.find(attempt.server);
        if (server == nullptr) {
            if (now_ >= attempt.sent_at + attempt.timeout) cancel(request);
            continue;
        }
        const auto response =
            outliers_.check_silence(server->health, attempt.sent_at, attempt.timeout, context);
        if (response.send_health_check) actions_.emplace_back(HealthCheck{server->endpoint.id});
        if (!response.cancel_attempt) continue;
        cancel(request);
        outliers_.eject(server->endpoint.id, server->health, now_);
    }
}

void Router::Impl::reject_unservable_requests() {
    const policy::StepContext context = this->context();
    const bool has_decode_server = summary().has_decode_server();
    for (auto it = requests_.all().begin(); it != requests_.all().end();) {
        Request& request = (it++)->second;  // reject_or_fail() erases the request
        if (request.held() && admission_.should_reject(request, has_decode_server, context))
            reject_or_fail(request);
    }
}

void Router::Impl::place_held_requests() {
    std::vector<Request*> held;
    for (auto& [id, request] : requests_.all())
        if (request.held()) held.push_back(&request);
    admission_.sort(held, now_);
    candidates_.begin_step(now_);
    decode_capacity_.begin_step();
    for (Request* request : held) {
        if (request->kv_state_server) place_decode(*request);
        else place_prefill(*request);
    }
}

// Begins the readmission of idle servers whose ejection time has passed.
void Router::Impl::readmit_ejected_servers() {
    for (const ServerId& id : outliers_.unhealthy_servers()) {
        Server& server = *endpoints_.find(id);
        if (!server.in_service() || server.references > 0) continue;
        if (outliers_.begin_readmission(server.health, now_)) actions_.emplace_back(HealthCheck{id});
    }
}

void Router::Impl::set_timer() {
    const Time soon = now_ + kStepIntervalTicks * settings_.tick;
    Time next = Time::max();
    for (const auto& [id, request] : requests_.all())
        if (request.awaits_stream()) next = std::min(next, soon);
    for (const ServerId& id : outliers_.unhealthy_servers()) {
        const Server& server = *endpoints_.find(id);
        const std::optional<Time> due = policy::OutlierDetection::readmission_due(server.health);
        if (due && server.references == 0) next = std::min(next, std::max(*due, soon));
    }
    if (next == Time::max()) return;
    if (const auto timer = timer_.set(next, now_, settings_.tick)) actions_.emplace_back(*timer);
}

// ---- events ----

void Router::Impl::on(const RequestArrived& event) {
    if (requests_.contains(event.id)) return;
    // A gateway whose event loop lags behind would answer late, so it rejects new requests immediately.
    if (step_late_) {
        actions_.emplace_back(Reject{event.id, settings_.max_retry_after / 2});
        return;
    }
    const std::optional<std::size_t> class_index = requests_.class_index(event.class_name);
    if (!class_index) {  // the request was never sent, so a rejection is safe
        actions_.emplace_back(Reject{event.id, {}});
        return;
    }
    Request& request = requests_.add(event, *class_index, latencies_.stream_seconds(*class_index), now_);
    request.over_quota = !admission_.record_arrival(request, now_);
    requests_.record_work(request);
    prefill_selection_.record_arrival(request);
}

void Router::Impl::on(const StreamStarted& event) {
    Request* request = requests_.find_in_flight(event.id, event.attempt);
    if (request == nullptr) return;
    Attempt& attempt = *request->attempt;
    attempt.stream_started = true;
    attempt.stream_started_at = now_;
    latencies_.record_first_token(event.elapsed);
    const Server* prefill = request->kv_state_server ? endpoints_.find(*request->kv_state_server) : nullptr;
    if (Server* server = endpoints_.find(attempt.server)) {
        policy::OutlierDetection::record_answer(server->health, now_);
        // Within a cell the transfer time is negligible, so a late first token has queued at the decode
        // server.
        if (prefill != nullptr && prefill->endpoint.cell == server->endpoint.cell)
            limits_.record_first_token(server->limit, event.elapsed,
                                       request->class_settings->first_token_objective, attempt.sent_at,
                                       context());
        else if (prefill != nullptr)
            decode_selection_.record_transfer(prefill->endpoint.cell, event.elapsed, now_);
    }
    clear_kv_state(*request);
}

void Router::Impl::on(const AttemptEnded& event) {
    const policy::StepContext context = this->context();
    Server* server = endpoints_.find(event.server);
    if (server != nullptr) recorder_.record_load_report(*server, event.load_report, context);
    Request* request = requests_.find_in_flight(event.id, event.attempt);
    if (request == nullptr) return;
    const Attempt attempt = *std::exchange(request->attempt, std::nullopt);
    if (policy::proves_arrival(event.outcome)) request->kv_state_unclaimed_since = now_;
    if (std::exchange(request->kv_state_released, false)) clear_kv_state(*request);
    if (server != nullptr) recorder_.record_end(*server, *request, attempt, event, context);
    const bool may_have_run = attempt.stage == Stage::decode && policy::may_have_arrived(event.outcome) &&
                              event.outcome != AttemptOutcome::at_capacity;
    if (may_have_run && !request->history.first_run_endpoint && server != nullptr) {
        request->history.first_run_endpoint = server->endpoint;
        request->history.first_run_sent_at = attempt.sent_at;
    }
    if (event.request_finished || request->answered) {
        // A prefill that ends after its request leaves a KV state that must be released.
        if (event.outcome == AttemptOutcome::prefilled || request->kv_state_server)
            actions_.emplace_back(ReleaseKvState{event.id});
        erase_request(*request);
    } else if (event.outcome == AttemptOutcome::prefilled && server != nullptr) {
        request->kv_state_server = event.server;
        server->references += 1;
    } else {
        continue_after_failure(*request, event);
    }
}

// An attempt in flight may still succeed; any later attempt needs a new prefill.
void Router::Impl::on(const KvStateReleased& event) {
    Request* request = requests_.find(event.id);
    if (request == nullptr || !request->kv_state_server) return;
    if (request->attempt) request->kv_state_released = true;
    else clear_kv_state(*request);
}

void Router::Impl::on(const ClientDisconnected& event) {
    Request* request = requests_.find(event.id);
    if (request == nullptr) return;
    if (request->attempt && !request->attempt->stream_started && !request->attempt->cancelled &&
        settings_.cancellation_enabled)
        cancel(*request);
    request->answered = true;
    release_kv_state(*request);
    if (!request->attempt) erase_request(*request);
}

void Router::Impl::on(const EndpointUpdate& event) {
    if (event.kind == EndpointUpdateKind::watch_lost) {
        if (settings_.endpoint_watch_required) actions_.emplace_back(WatchEndpoints{true});
        return;
    }
    for (Server* server : endpoints_.merge(event)) reset_observations(*server);
    for (const ServerId& id : endpoints_.remove_unlisted()) outliers_.forget(id);
    prefill_selection_.endpoints_changed();
}

void Router::Impl::on(const HealthCheckEnded& event) {
    Server* server = endpoints_.find(event.server);
    if (server == nullptr) return;
    if (event.outcome == AttemptOutcome::ok)
        recorder_.record_load_report(*server, event.load_report, context());
    outliers_.record_health_check(server->health, event, now_);
}

void Router::Impl::on(const CacheReportingChanged& event) {
    if (Server* server = endpoints_.find(event.server)) server->cache.set_reported(event.reporting);
}

// ---- placement of one held request ----

void Router::Impl::place_prefill(Request& request) {
    const policy::StepContext context = this->context();
    if (decode_capacity_.available(request, candidates_, context) <= 0) return;
    Server* prefill = prefill_selection_.select(request, candidates_, decode_capacity_, context);
    const bool any_prefill = prefill != nullptr || candidates_.any_usable(request, Stage::prefill);
    if (prefill == nullptr && any_prefill) return;  // all queues are too long
    if (prefill != nullptr &&
        prefill_selection_.should_wait_for_cached_text(*prefill, request, candidates_, now_))
        return;
    Server* decode = decode_selection_.select(request, true, candidates_, context);
    Server* mixed = decode_selection_.select_mixed(request, candidates_, context);
    const auto mixed_scores_best = [&] {
        return decode_selection_.combined_score(*mixed, *mixed, request, context) >=
               decode_selection_.combined_score(*prefill, *decode, request, context);
    };
    if (mixed != nullptr && (prefill == nullptr || decode == nullptr || mixed_scores_best()))
        send(request, *mixed, Stage::decode);
    else if (prefill != nullptr) send(request, *prefill, Stage::prefill);
    else if (settings_.prefill_on_decode_enabled && decode != nullptr)
        send(request, *decode, Stage::decode);  // no prefill server is usable, so the decode server prefills
}

// A KV state may wait for decode capacity until shortly before its release time. Then it is sent to the
// server with the best score, even if that has no capacity.
void Router::Impl::place_decode(Request& request) {
    const policy::StepContext context = this->context();
    Server* decode = decode_selection_.select(request, true, candidates_, context);
    const bool due = now_ >= kv_state_claim_deadline(request);
    if (decode == nullptr && due) decode = decode_selection_.select(request, false, candidates_, context);
    if (decode != nullptr) send(request, *decode, Stage::decode);
    else if (due)
        release_kv_state(request);  // no decode server is usable; the request waits for a new prefill
}

void Router::Impl::send(Request& request, Server& server, Stage stage) {
    const Attempt attempt = make_attempt(request, server, stage);
    const Duration timeout = settings_.cancellation_enabled
                                 ? Duration::zero()
                                 : std::min(attempt.timeout, request.deadline - now_);
    request.history.sends += 1;
    recorder_.record_sent(server, request, attempt);
    decode_capacity_.record_sent(request, stage);
    request.attempt = attempt;
    actions_.emplace_back(Send{request.arrival.id, server.endpoint.id, timeout});
}

Router::Impl::Attempt Router::Impl::make_attempt(const Request& request, const Server& server,
                                                 Stage stage) const {
    const bool prefill = stage == Stage::prefill;
    Attempt attempt;
    attempt.id = {request.history.sends};
    attempt.server = server.endpoint.id;
    attempt.sent_at = now_;
    attempt.stage = stage;
    attempt.uncached_tokens = server.cache.uncached_tokens(server.endpoint.id, request);
    attempt.tokens_ahead = server.queued_prefill_tokens;
    // Sets a timeout only if the request can be retried. A prefill needs two more attempts, one for each
    // stage.
    const bool has_spare_attempts = retry_policy_.attempts_left(request.history) > (prefill ? 2 : 1);
    const bool may_run_again = prefill || request.class_settings->idempotency != Idempotency::non_idempotent;
    if (has_spare_attempts && may_run_again)
        attempt.timeout = latencies_.attempt_timeout(attempt, request.class_settings->first_token_objective);
    return attempt;
}

// ---- the end of a request and of its KV state ----

void Router::Impl::continue_after_failure(Request& request, const AttemptEnded& event) {
    request.history.failed_at.insert(event.server);
    if (event.outcome == AttemptOutcome::at_capacity && event.kv_state_missing) clear_kv_state(request);
    // No connection could be established in time to claim the KV state.
    if (!policy::may_have_arrived(event.outcome) && now_ >= kv_state_claim_deadline(request))
        release_kv_state(request);
    if (event.outcome == AttemptOutcome::not_sent || now_ >= request.deadline ||
        !retry_policy_.may_retry(*request.class_settings, request.history, now_))
        reject_or_fail(request);
}

void Router::Impl::reject_or_fail(Request& request) {
    const RequestId id = request.arrival.id;
    if (policy::RetryPolicy::may_reject(*request.class_settings, request.history) && now_ < request.deadline)
        actions_.emplace_back(Reject{id, settings_.max_retry_after / 2});
    else actions_.emplace_back(Fail{id});
    release_kv_state(request);
    erase_request(request);
}

void Router::Impl::cancel(Request& request) {
    request.attempt->cancelled = true;
    actions_.emplace_back(CancelAttempt{request.arrival.id, request.attempt->id});
}

void Router::Impl::erase_request(Request& request) {
    clear_kv_state(request);
    requests_.erase(request.arrival.id);
}

void Router::Impl::release_kv_state(Request& request) {
    if (!request.kv_state_server) return;
    clear_kv_state(request);
    actions_.emplace_back(ReleaseKvState{request.arrival.id});
}

void Router::Impl::clear_kv_state(Request& request) {
    if (!request.kv_state_server) return;
    if (Server* server = endpoints_.find(*request.kv_state_server)) server->references -= 1;
    request.kv_state_server.reset();
}

Time Router::Impl::kv_state_claim_deadline(const Request& request) const {
    return request.kv_state_unclaimed_since + settings_.release_within - kClaimMarginTicks * settings_.tick;
}

// Resets the observations of a server that is new or has restarted.
void Router::Impl::reset_observations(Server& server) {
    const ServerId& id = server.endpoint.id;
    limits_.restart(server.limit, server.memory_tokens);
    outliers_.restart(id, server.health);
    server.latency.restart();
    server.cache.restart();
    server.warm_up.restart(now_, policy::hash_to_unit_interval(seed_, id.value));
}

// ---- the public interface ----

Router::Router(const Settings& settings, std::uint64_t seed) {
    validate(settings);
    impl_ = std::make_unique<Impl>(settings, seed);
}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;
std::vector<Action> Router::step(Time now, std::span<const Event> events) { return impl_->step(now, events); }
std::size_t Router::tracked_requests() const { return impl_->tracked_requests(); }

}  // namespace chalksail
