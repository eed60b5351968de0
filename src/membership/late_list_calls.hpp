// The list calls that have timed out and stay open beside the next one, as a slow discovery service may still
// answer them. Their number is bounded.
//
// The newest of them stay for the next few calls, so that a call on a dead connection never keeps the
// response to a later one from being received. The oldest stays for a time that doubles whenever it passes in
// vain: however slow the service is, a response is received in the end. Reads no clock. Not thread-safe.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace chalksail::membership {

class LateListCalls {
public:
    using CallId = std::uint64_t;
    // Maximum number of calls: the oldest, and two that are newer.
    static constexpr std::size_t kMaxCalls = 3;
    // How long the oldest call stays open. A change must be known within 6 s, so a longer time only serves a
    // service that is slower than that.
    static constexpr Duration kInitialTimeout = std::chrono::seconds(6);
    static constexpr Duration kMaxTimeout = std::chrono::seconds(60);

    // Adds a call that has timed out. Returns the call that is to be cancelled for it, if there is one.
    [[nodiscard]] std::optional<CallId> add(CallId call, Time opened_at);
    // Removes the oldest call if it has been open for too long, and returns it to be cancelled.
    [[nodiscard]] std::optional<CallId> remove_expired(Time now);
    // Removes a call that has ended.
    void remove(CallId call);
    // Removes all calls and returns them to be cancelled.
    [[nodiscard]] std::vector<CallId> clear();
    // Records that the service has answered in time, or that it is another one.
    void reset_timeout() { timeout_ = kInitialTimeout; }

private:
    struct LateCall {
        CallId id = 0;
        Time opened_at{};
    };
    std::vector<LateCall> calls_;  // in the order in which they were opened
    Duration timeout_ = kInitialTimeout;
};

}  // namespace chalksail::membership
