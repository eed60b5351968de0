// How much of a prompt one prefill server has in its prefix cache, as reported by the server or, if it does
// not report, estimated from the texts that this gateway has sent to it.
#pragma once

#include <chalksail/chalksail.hpp>
#include <map>
#include <string>

#include "request_table.hpp"

namespace chalksail::policy {

// The maximum number of texts tracked per server, of arrivals counted by prefix and of ranked prefixes;
// enough for some minutes of sessions.
inline constexpr std::size_t kMaxTrackedTexts = 400;

class PromptCache {
public:
    // Returns whether the server reports its cache; if it does, estimates are not used.
    [[nodiscard]] bool reported() const { return reported_; }
    void set_reported(bool reported) { reported_ = reported; }

    // Returns the prompt tokens that the server has to prefill for the request.
    [[nodiscard]] double uncached_tokens(const ServerId& server, const Request& request) const;
    // Returns the reported or estimated number of tokens of the request's session that the server has cached.
    [[nodiscard]] double session_tokens(const ServerId& server, const Request& request) const;
    // Returns the number of leading prompt tokens of the request that the server reports as cached.
    [[nodiscard]] static double reported_tokens(const ServerId& server, const Request& request);

    // Records that the server prefills the request.
    void record_prefill(const Request& request, Time now);
    // Resets the state for a restarted server: its cache is empty, and it has not reported yet.
    void restart();

private:
    struct CachedText {
        double tokens = 0;
        Time used_at{};
    };
    [[nodiscard]] double estimated_tokens(const std::string& key) const;
    void drop_oldest();

    bool reported_ = false;
    std::map<std::string, CachedText> texts_;  // by session key and by prefix key
};

}  // namespace chalksail::policy
