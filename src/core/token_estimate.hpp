// Estimates the number of tokens of a prompt from its size in bytes, corrected by the counts that servers
// report.
//
// There is one estimate for each request class, which separates languages and kinds of text. Estimates for
// each model name would have too few observations. No I/O; not thread-safe; reports no errors.
#pragma once

#include <cstddef>
#include <vector>

namespace chalksail::core {

class TokenEstimate {
public:
    // Each of the `classes` estimates starts at `tokens_per_byte`.
    TokenEstimate(std::size_t classes, double tokens_per_byte) : tokens_per_byte_(classes, tokens_per_byte) {}

    // Returns the estimated number of tokens of a prompt of this class.
    [[nodiscard]] double tokens(std::size_t class_index, std::size_t bytes) const {
        return tokens_per_byte_[class_index] * static_cast<double>(bytes);
    }
    // Corrects the estimate: a server counted `tokens` in a prompt of `bytes`. Counts that no tokenizer
    // produces are ignored, so that one faulty server cannot distort the estimates of all prompts.
    void correct(std::size_t class_index, std::size_t bytes, double tokens) {
        if (bytes == 0) return;
        const double observed = tokens / static_cast<double>(bytes);
        if (!(observed >= kMinTokensPerByte && observed <= kMaxTokensPerByte)) return;
        double& estimate = tokens_per_byte_[class_index];
        estimate += kObservationWeight * (observed - estimate);
    }

private:
    static constexpr double kMinTokensPerByte = 0.01;  // 100 bytes per token
    // Allows for byte-level tokens and for the chat template around a short prompt.
    static constexpr double kMaxTokensPerByte = 4;
    // Weight of one observation in the exponential moving average: about the last ten count.
    static constexpr double kObservationWeight = 0.1;
    std::vector<double> tokens_per_byte_;
};

}  // namespace chalksail::core
