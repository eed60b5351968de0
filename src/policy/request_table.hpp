// The requests that the router has not finished, and what their arrivals tell of the usual request: size and
// work. Owns each Request; the router changes a request's state as events come.
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
    Stage stage = Stage::prefill;  // a prefill ends with a KV state and has no effect
    double uncached_tokens = 0;    // prompt tokens to prefill, by estimate or report
    double tokens_ahead = 0;       // such tokens of this gateway queued there when it was sent
    bool stream_started = false;
    Time stream_started_at{};
    bool cancelled = false;  // by this router
    Duration timeout{};      // for the first answer; zero: until the client's deadline
};

struct Request {
    RequestArrived arrival;
    std::string prefix_key;   // of the shared text, in a server's cached texts
    std::string session_key;  // of the whole prompt
    std::size_t class_index = 0;
    const RequestClassSettings* class_settings = nullptr;  // never null in a table
    Time arrived_at{};
    Time deadline{};
    Time objective{};          // when the first token is due by the latency objective
    double output_tokens = 0;  // predicted
    bool over_quota = false;
    bool answered = false;  // the client is served or has left; here for an attempt that is still in flight
    std::optional<Attempt> attempt;
    std::optional<ServerId> state_at;  // the prefill server that holds the KV state
    Time state_unclaimed_since{};      // since when no attempt is known to have been with a server
    bool state_released = false;       // while an attempt was in flight: another one cannot fetch it
    AttemptHistory history;

    [[nodiscard]] double tokens() const { return arrival.prompt_tokens + output_tokens; }
    // Waits at the router for a server.
    [[nodiscard]] bool held() const { return !answered && !attempt; }
    // Its time to answer still runs, with no stream and no cancellation under way.
    [[nodiscard]] bool awaits_stream() const {
        return !answered && (!attempt || (!attempt->stream_started && !attempt->cancelled));
    }
    // Will need capacity at a decode server that it does not use yet.
    [[nodiscard]] bool awaits_decode_capacity() const {
        return !answered && (attempt ? attempt->stage == Stage::prefill : state_at.has_value());
    }
    // The part of the time from arrival to objective that `elapsed` is.
    [[nodiscard]] double share_of_objective(Duration elapsed) const;
};

class RequestTable {
public:
    // `settings` must outlive the table.
    explicit RequestTable(const Settings& settings);

    [[nodiscard]] bool contains(RequestId id) const { return requests_.contains(id); }
    [[nodiscard]] Request* find(RequestId id);
    // The request that waits for this attempt to end; null for a late event of another one.
    [[nodiscard]] Request* find_in_flight(RequestId id, AttemptId attempt);
    [[nodiscard]] std::size_t size() const { return requests_.size(); }
    [[nodiscard]] const std::map<RequestId, Request>& all() const { return requests_; }
    [[nodiscard]] std::map<RequestId, Request>& all() { return requests_; }

    // The class of this name; none where the settings have no such class.
    [[nodiscard]] std::optional<std::size_t> class_index(const std::string& name) const;
    // Adds a request. `usual_stream_seconds`: the mean length of its class's streams, where observed.
    Request& add(const RequestArrived& arrival, std::size_t class_index,
                 std::optional<double> usual_stream_seconds, Time now);
    void erase(RequestId id) { requests_.erase(id); }

    // Counts the request in its class's mean work.
    void record_work(const Request& request);
    // Mean work of a class's requests, in prompt tokens.
    [[nodiscard]] double mean_work(std::size_t class_index) const { return class_work_[class_index].mean(); }
    // Prompt and output tokens of the usual request (geometric mean); zero before the first.
    [[nodiscard]] double usual_tokens() const;

private:
    const Settings& settings_;
    std::map<RequestId, Request> requests_;
    std::vector<RunningMean> class_work_;  // by request class
    RunningMean log_tokens_;               // of arrivals: logarithm of prompt and predicted output
};

}  // namespace chalksail::policy
