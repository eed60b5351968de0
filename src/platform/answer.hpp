// A model server's answers in the platform's form, and what each way of ending proves. Bytes to typed values;
// no I/O.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http/message.hpp"

namespace chalksail::platform {

inline constexpr std::string_view kNotRunHeader = "X-Unprocessed";
inline constexpr std::string_view kHealthPath = "/health";

// Asks a writer to hold a place for the request (POST), or lets go of all that is held for it anywhere
// (DELETE).
[[nodiscard]] std::string lease_target(std::string_view id);

// How an attempt ended, as the sockets saw it.
enum class Ended {
    answered,       // an answer came to its end
    no_connection,  // refused, never up, or none could be had
    broke,          // the connection broke or ended
    malformed,      // what came can't be read, or does not fit
    timed_out,      // this gateway stopped waiting
    cancelled,      // this gateway gave it up
};
struct Facts {
    Ended ended = Ended::answered;
    bool written = false;   // the request's last byte went out
    bool prefill = false;   // at a reader
    bool started = false;   // an event of it was passed on
    bool complete = false;  // a stream to its [DONE] and last chunk, or a read's answer
    int status = 0;
    bool not_run = false;  // the server's word for it
};
struct Judgement {
    AttemptOutcome outcome = AttemptOutcome::error;
    bool kv_state_missing = false;  // at_capacity only: there was no KV state to fetch
};
// The page's table, in its one place.
[[nodiscard]] Judgement judge(const Facts& facts);

// Cuts a stream into its events, which it leaves as they are.
class EventReader {
public:
    explicit EventReader(std::size_t most_bytes) : most_(most_bytes) {}
    struct Events {
        std::string bytes;  // of the events that became whole
        std::int64_t count = 0;
    };
    // After a spoilt one nothing more is given.
    [[nodiscard]] Events feed(std::string_view bytes);
    [[nodiscard]] bool spoilt() const { return spoilt_; }
    // [DONE] was the last event, and nothing came after it.
    [[nodiscard]] bool done() const { return done_ && rest_.empty() && !spoilt_; }
    [[nodiscard]] double cached_tokens() const { return cached_tokens_; }
    [[nodiscard]] double prompt_tokens() const { return prompt_tokens_; }
    [[nodiscard]] double completion_tokens() const { return completion_tokens_; }

private:
    void look_at(std::string_view event);

    std::size_t most_;
    std::string rest_;  // of an event that is not whole
    bool done_ = false;
    bool spoilt_ = false;
    double cached_tokens_ = 0;
    double prompt_tokens_ = 0;
    double completion_tokens_ = 0;
};

// Of a read's answer: tokens found kept; nothing where the body does not say.
[[nodiscard]] std::optional<double> parse_cached_tokens(std::string_view body);

}  // namespace chalksail::platform
