#include "allocator.hpp"

#include <cstdlib>
#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace chalksail {

void configure_allocator() {
#ifdef __GLIBC__
    constexpr int kMinMappedBytes = 64 * 1024;
    constexpr int kMaxFreeHeapBytes = 256 * 1024;
    mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
    mallopt(M_TRIM_THRESHOLD, kMaxFreeHeapBytes);
#endif
}

}  // namespace chalksail
