#include "sim/random.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <utility>

namespace chalksail::lab::sim {

Stream::Stream(std::uint64_t seed, std::string_view concern, std::uint64_t index) {
    key_[0] = seed;
    key_[1] = XXH64(concern.data(), concern.size(), 0);
    count_[1] = index;
}

Stream::result_type Stream::operator()() {
    if (left_ == 0) {
        drawn_ = Generator()(count_, key_);
        count_[0] += 1;
        left_ = drawn_.size();
    }
    return drawn_[--left_];
}

}  // namespace chalksail::lab::sim
