#include "observe/rejection_log_limit.hpp"

#include <variant>

namespace chalksail::observe {
namespace {

bool is_immediate_rejection(const RequestRecord& record) {
    switch (record.reason) {
        case TerminationReason::draining:
        case TerminationReason::over_limit:
        case TerminationReason::invalid_request:
        case TerminationReason::may_have_run_before:
        case TerminationReason::not_attempted: return true;
        default: return false;
    }
}

}  // namespace

bool RejectionLogLimit::allows(const Record& record, Time now) {
    const auto* const request = std::get_if<RequestRecord>(&record);
    if (request == nullptr || !is_immediate_rejection(*request)) return true;
    if (!period_began_ || now >= *period_began_ + kPeriod) {
        period_began_ = now;
        lines_ = 0;
    }
    if (lines_++ < kMaxLinesPerSecond) return true;
    suppressed_.add(name(request->reason));
    return false;
}

}  // namespace chalksail::observe
