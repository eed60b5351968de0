// The requests that the router tracks, and the typical size and work of a request, as estimated from
// arrivals. Owns each Request; the router updates a request's state as it processes events.
#pragma once

#include <chalksail/chalksail.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "retry_policy.hpp"
#include "statistics.hpp"

namespace chalksail::policy {

// One attempt in flight.
struct Attempt {
    AttemptId id;
    ServerId server;
    Time sent_at{};
    Stage stage = Stage::prefill;  // a prefill produces a KV state and has no side effects
    double uncached_tokens = 0;    // estimated or reported prompt tokens to prefill
    double tokens_ahead = 0;       // uncached tokens of this gateway queued at the server before it
    bool stream_started = false;
    Time stream_started_at{};
    bool cancelled = false;  // the router has requested the cancellation
    Duration timeout{};      // until the first answer; zero: until the client's deadline
};

struct Request {
    RequestArrived arrival;
    std::string prefix_key;   // of the shared text, in PromptCache
    std::string session_key;  // of the session's text, in PromptCache
    std::size_t class_index = 0;
    const RequestClassSettings* class_settings = nullptr;  // never null in a table
    Time arrived_at{};                                     // time at which its last byte was received
    Time added_at{};                                       // time of the step that it was added in
    Time deadline{};
    Time objective{};          // time at which the first token is due
    double output_tokens = 0;  // predicted
    bool over_quota = false;
    bool answered = false;  // the client is served or has disconnected; tracked while an attempt is in flight
    std::optional<Attempt> attempt;
    std::optional<ServerId> kv_state_server;  // the prefill server that holds the KV state
    Time kv_state_unclaimed_since{};  // time since which no attempt has been proved to be with a server
    bool kv_state_released = false;   // released during an attempt; later attempts cannot fetch it
    AttemptHistory history;

    [[nodiscard]] double tokens() const { return arrival.prompt_tokens + output_tokens; }
    // Returns whether the request waits at the gateway for a server.
    [[nodiscard]] bool held() const { return !answered && !attempt; }
    // Returns whether the request still waits for its stream to start, and its attempt is not being
    // cancelled.
    [[nodiscard]] bool awaits_stream() const {
        return !answered && (!attempt || (!attempt->stream_started && !attempt->cancelled));
    }
    // Returns whether the request will need decode capacity that it does not use yet.
    [[nodiscard]] bool awaits_decode_capacity() const {
        return !answered && (attempt ? attempt->stage == Stage::prefill : kv_state_server.has_value());
    }
    // Returns `elapsed` as a fraction of the time from arrival to objective.
    [[nodiscard]] double share_of_objective(Duration elapsed) const;
};

class RequestTable {
public:
    // `settings` must outlive the table.
    explicit RequestTable(const Settings& settings);

    [[nodiscard]] bool contains(RequestId id) const { return requests_.contains(id); }
    [[nodiscard]] Request* find(RequestId id);
    // Returns the request with this attempt in flight, or null if the event concerns an earlier attempt.
    [[nodiscard]] Request* find_in_flight(RequestId id, AttemptId attempt);
    [[nodiscard]] std::size_t size() const { return requests_.size(); }
    [[nodiscard]] const std::map<RequestId, Request>& all() const { return requests_; }
    [[nodiscard]] std::map<RequestId, Request>& all() { return requests_; }

    // Returns the index of the class with this name, or nullopt if the settings do not define it.
    [[nodiscard]] std::optional<std::size_t> class_index(const std::string& name) const;
    // Adds a request. `typical_stream_seconds` is the mean length of its class's streams, if observed.
    Request& add(const RequestArrived& arrival, std::size_t class_index,
                 std::optional<double> typical_stream_seconds, Time now);
    void erase(RequestId id) { requests_.erase(id); }

    // Includes the request in the mean work of its class.
    void record_work(const Request& request);
    // Returns the mean work of a class's requests, in prompt tokens.
    [[nodiscard]] double mean_work(std::size_t class_index) const { return class_work_[class_index].mean(); }
    // Returns the geometric mean of prompt and output tokens per request; zero before the first arrival.
    [[nodiscard]] double typical_request_tokens() const;

private:
    const Settings& settings_;
    std::map<RequestId, Request> requests_;
    std::vector<RunningMean> class_work_;  // by request class
    RunningMean log_tokens_;               // logarithm of prompt and predicted output tokens of arrivals
};

}  // namespace chalksail::policy
