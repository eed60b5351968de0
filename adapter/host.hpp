// Runs one Router for each gateway instance of a bench run and replies to its batches of events.
#pragma once

#include <istream>
#include <ostream>

namespace chalksail::wire {

// Processes lines until the end of input. Returns 0, or 1 after writing one error message to `errors`.
int serve(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace chalksail::wire
