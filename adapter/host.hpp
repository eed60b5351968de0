// Hosts one Router for each instance named on the wire and answers batch by batch.
#pragma once

#include <istream>
#include <ostream>

namespace chalksail::wire {

// Runs until the end of input. Returns 0, or 1 after one plain message on `errors`.
int serve(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace chalksail::wire
