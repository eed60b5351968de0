// Estimates how many tokens a prompt has from its bytes, corrected by what engines count.
//
// One estimate for each request class keeps languages and kinds of text apart; one for each model name would
// split few observations. No I/O; not thread-safe; no errors.
#pragma once

#include <cstddef>
#include <vector>

namespace chalksail::core {

class TokenEstimate {
public:
    // Each of the `classes` estimates starts at `tokens_per_byte`.
    TokenEstimate(std::size_t classes, double tokens_per_byte) : tokens_per_byte_(classes, tokens_per_byte) {}

    // Of a prompt of this class.
    [[nodiscard]] double tokens(std::size_t class_index, std::size_t bytes) const {
        return tokens_per_byte_[class_index] * static_cast<double>(bytes);
    }
    // An engine has counted `tokens` in a prompt of `bytes`. Counts that no tokenizer gives are ignored: one
    // faulty engine must not spoil the estimates of all prompts.
    void correct(std::size_t class_index, std::size_t bytes, double tokens) {
        if (bytes == 0) return;
        const double observed = tokens / static_cast<double>(bytes);
        if (!(observed >= kMinTokensPerByte && observed <= kMaxTokensPerByte)) return;
        double& estimate = tokens_per_byte_[class_index];
        estimate += kObservationWeight * (observed - estimate);
    }

private:
    static constexpr double kMinTokensPerByte = 0.01;  // a hundred bytes for one token
    // Byte-level tokens, and those of the chat template around a short prompt.
    static constexpr double kMaxTokensPerByte = 4;
    // Of one observation in the moving average: about the last ten count.
    static constexpr double kObservationWeight = 0.1;
    std::vector<double> tokens_per_byte_;
};

}  // namespace chalksail::core
