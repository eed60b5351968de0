// Sets up the memory allocator of the gateway's process.
#pragma once

namespace chalksail {

// Makes the allocator return large blocks, and free memory at the end of its heap, to the system at once.
// By default glibc raises both thresholds when large blocks are freed, and a crowd of large requests then
// leaves a heap that never shrinks. Call it before other threads are started. Has no effect with other C
// libraries.
void configure_allocator();

}  // namespace chalksail
