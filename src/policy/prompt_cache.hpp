// How much of a prompt one prefill server has in its prefix cache: what the server reports where it does, and
// else an estimate from the texts that this gateway has sent to it.
#pragma once

#include <chalksail/chalksail.hpp>
#include <map>
#include <string>

#include "request_table.hpp"

namespace chalksail::policy {

// Texts remembered for one server, arrivals counted by prefix, and prefixes ranked: some minutes of sessions.
inline constexpr std::size_t kMostTexts = 400;

class PromptCache {
public:
    // Whether the server reports its cache: then that counts, and nothing else.
    [[nodiscard]] bool reported() const { return reported_; }
    void set_reported(bool reported) { reported_ = reported; }

    // Prompt tokens that the server has to prefill for the request.
    [[nodiscard]] double uncached_tokens(const ServerId& server, const Request& request) const;
    // Tokens of the request's session that the server has: what is reported, or by estimate.
    [[nodiscard]] double session_tokens(const ServerId& server, const Request& request) const;
    // Leading prompt tokens that the server has reported to have for the request.
    [[nodiscard]] static double reported_tokens(const ServerId& server, const Request& request);

    // The server prefills the request from now on.
    void record_prefill(const Request& request, Time now);
    // The server has started anew: its cache is empty, and it has not reported yet.
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
