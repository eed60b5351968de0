// How many tokens a prompt has, guessed from its bytes and corrected by what engines count. One for each
// model name would split few observations; one for each class keeps languages and kinds of text apart. No
// I/O.
#pragma once

#include <vector>

namespace chalksail::core {

class TokenEstimate {
public:
    // Starts each of `classes` estimates at `tokens_per_byte`.
    TokenEstimate(std::size_t classes, double tokens_per_byte) : per_byte_(classes, tokens_per_byte) {}

    [[nodiscard]] double tokens(std::size_t cls, std::size_t bytes) const {
        return per_byte_[cls] * static_cast<double>(bytes);
    }
    // An engine has counted `tokens` in a prompt of `bytes`. Counts that no tokenizer gives are passed over:
    // an engine that reports nonsense must not lead all sizes astray.
    void correct(std::size_t cls, std::size_t bytes, double tokens) {
        if (bytes == 0) return;
        const double seen = tokens / static_cast<double>(bytes);
        if (!(seen >= kLeast && seen <= kMost)) return;
        per_byte_[cls] += kStep * (seen - per_byte_[cls]);
    }

private:
    static constexpr double kLeast = 0.01;  // tokens a byte: a hundred bytes for one token
    static constexpr double kMost = 4;      // byte-level tokens, and a template's own around a short prompt
    static constexpr double kStep = 0.1;    // weight of one observation
    std::vector<double> per_byte_;
};

}  // namespace chalksail::core
