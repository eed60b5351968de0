// Random numbers of the laboratory: Philox4x64-10 (Salmon and others, "Parallel random numbers: as easy as 1,
// 2, 3", 2011; by the Random123 library), a function of (seed, concern, index, count) and nothing else. Each
// concern draws from its own stream, so that one more draw in one changes nothing in another; two runs that
// differ in their policy get the same draws for the same client or engine. No I/O, no global.
#pragma once

#include <Random123/philox.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace chalksail::lab::sim {

class Stream {
public:
    using result_type = std::uint64_t;

    // `concern` names what is drawn for; `index` tells many of one kind apart, as clients.
    Stream(std::uint64_t seed, std::string_view concern, std::uint64_t index = 0);

    [[nodiscard]] static constexpr result_type min() { return 0; }
    [[nodiscard]] static constexpr result_type max() { return UINT64_MAX; }
    result_type operator()();

    // In [0, 1), in steps of 2^-53: the same on each machine.
    [[nodiscard]] double uniform() { return static_cast<double>((*this)() >> 11U) * 0x1.0p-53; }
    [[nodiscard]] double between(double low, double high) { return low + (high - low) * uniform(); }
    [[nodiscard]] bool chance(double part) { return uniform() < part; }
    // Below `n`, which is above 0.
    [[nodiscard]] std::size_t below(std::size_t n) {
        return static_cast<std::size_t>(uniform() * static_cast<double>(n));
    }
    // The standard's own shuffle may differ from library to library.
    template <class T>
    void shuffle(std::vector<T>& values) {
        for (std::size_t i = values.size(); i > 1; --i) std::swap(values[i - 1], values[below(i)]);
    }

private:
    using Generator = r123::Philox4x64;
    Generator::key_type key_{};
    Generator::ctr_type count_{};
    Generator::ctr_type drawn_{};
    std::size_t left_ = 0;
};

}  // namespace chalksail::lab::sim
