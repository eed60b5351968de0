#include "request_table.hpp"

#include <algorithm>
#include <cmath>

namespace chalksail::policy {
namespace {

// Predicted output lengths are rounded up to bucket edges: 250, 1000, 4000, ... tokens.
constexpr double kFirstBucketEdge = 250;
constexpr double kBucketGrowth = 4;
constexpr double kLastBucketEdge = 1e9;
constexpr double kMinTokenIntervalSeconds = 1e-3;  // avoids a division by zero
constexpr double kOutputTokenWork = 25;            // work of one output token, in prompt tokens
// Weight of an arrival in the typical request size; small, so that the size does not fluctuate.
constexpr double kRequestSizeSmoothing = 0.02;
constexpr double kMinObjectiveSeconds = 1e-3;  // avoids a division by zero

// Returns the upper edge of the bucket that contains the estimate, limited to the client's maximum.
double predicted_output_tokens(const RequestArrived& arrival, const RequestClassSettings& request_class,
                               std::optional<double> typical_stream_seconds) {
    const double interval = std::max(kMinTokenIntervalSeconds, seconds(request_class.inter_token_objective));
    const double estimate = arrival.output_duration_hint > Duration::zero()
                                ? seconds(arrival.output_duration_hint) / interval
                                : typical_stream_seconds.value_or(kFirstBucketEdge * interval) / interval;
    double edge = kFirstBucketEdge;
    while (edge < estimate && edge < kLastBucketEdge) edge *= kBucketGrowth;
    return arrival.max_output > 0 ? std::min(edge, arrival.max_output) : edge;
}

}  // namespace

double Request::share_of_objective(Duration elapsed) const {
    return seconds(elapsed) / std::max(kMinObjectiveSeconds, seconds(objective - arrived_at));
}

RequestTable::RequestTable(const Settings& settings)
    : settings_(settings), class_work_(settings.classes.size()) {}

Request* RequestTable::find(RequestId id) {
    const auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &it->second;
}

Request* RequestTable::find_in_flight(RequestId id, AttemptId attempt) {
    Request* request = find(id);
    return request != nullptr && request->attempt && request->attempt->id == attempt ? request : nullptr;
}

std::optional<std::size_t> RequestTable::class_index(const std::string& name) const {
    const auto it = std::find_if(settings_.classes.begin(), settings_.classes.end(),
                                 [&](const auto& request_class) { return request_class.name == name; });
    if (it == settings_.classes.end()) return {};
    return static_cast<std::size_t>(it - settings_.classes.begin());
}

Request& RequestTable::add(const RequestArrived& arrival, std::size_t class_index,
                           std::optional<double> typical_stream_seconds, Time now) {
    const RequestClassSettings& request_class = settings_.classes[class_index];
    Request& request = requests_[arrival.id];
    request.arrival = arrival;
    request.prefix_key = "p" + arrival.prefix;
    request.session_key = "s" + arrival.session;
    std::sort(request.arrival.cached_prefixes.begin(), request.arrival.cached_prefixes.end(),
              [](const auto& a, const auto& b) { return a.server < b.server; });
    request.class_index = class_index;
    request.class_settings = &request_class;
    request.arrived_at = now - arrival.elapsed;
    request.added_at = now;
    request.deadline = now + arrival.time_remaining;
    const Duration objective = request_class.first_token_objective +
                               from_seconds(seconds(request_class.first_token_objective_per_1000_tokens) *
                                            arrival.prompt_tokens / 1000);
    request.objective = std::min(request.deadline, request.arrived_at + objective);
    request.output_tokens = predicted_output_tokens(arrival, request_class, typical_stream_seconds);
    log_tokens_.add(std::log(std::max(1.0, request.tokens())), kRequestSizeSmoothing);
    return request;
}

void RequestTable::record_work(const Request& request) {
    const RequestArrived& arrival = request.arrival;
    class_work_[request.class_index].add(std::max(0.0, arrival.prompt_tokens - arrival.shared_tokens) +
                                         kOutputTokenWork * request.output_tokens);
}

double RequestTable::typical_request_tokens() const {
    return log_tokens_.observed() ? std::exp(log_tokens_.mean()) : 0;
}

}  // namespace chalksail::policy
