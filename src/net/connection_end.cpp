#include "net/connection_end.hpp"

#include <uv.h>

#include <string_view>

namespace chalksail::net {
namespace {

std::string_view name_of(ConnectionEnd::Reason reason) {
    using Reason = ConnectionEnd::Reason;
    switch (reason) {
        case Reason::peer_ended: return "peer_ended";
        case Reason::read_failed: return "read_failed";
        case Reason::write_failed: return "write_failed";
        case Reason::tls: return "tls";
        case Reason::not_reading: return "not_reading";
        case Reason::sent_ahead: return "sent_ahead";
        case Reason::evicted: return "evicted";
        case Reason::over_limit: return "over_limit";
        case Reason::overdue: return "overdue";
        case Reason::drained: return "drained";
        case Reason::aborted: return "aborted";
        case Reason::stopped: return "stopped";
    }
    return "unknown";
}

}  // namespace

std::string describe(const ConnectionEnd& end) {
    std::string out(name_of(end.reason));
    if (end.error != 0) out += " (" + std::string(uv_err_name(end.error)) + ")";
    return out;
}

}  // namespace chalksail::net
