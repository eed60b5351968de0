#include "membership/update_sequence.hpp"

namespace chalksail::membership {

UpdateSequence::Decision UpdateSequence::accept(EndpointUpdateKind kind, std::int64_t generation,
                                                bool empty) {
    const bool snapshot = kind == EndpointUpdateKind::snapshot;
    if (!snapshot && empty && generation == generation_) return Decision::ignore;
    const bool follows = generation_ && generation > *generation_;
    if (!snapshot && !follows) return Decision::out_of_order;
    generation_ = generation;
    return Decision::apply;
}

}  // namespace chalksail::membership
