#include "net/upstream_connection.hpp"

#include <ctime>

#include "net/system_error.hpp"

namespace chalksail::net {

int UpstreamConnection::try_connect(Time now) {
    enter(State::connecting);
    const int error = connect(target.address);
    if (error == 0) return 0;
    if (meaning_of(SystemCall::connect, error) == ErrorMeaning::peer_failed) return error;
    enter(State::awaiting_retry);
    retry_at = now + retry_backoff.next();
    return 0;
}

tls::Step UpstreamConnection::begin_handshake() {
    enter(State::handshaking);
    set_tls(tls::Filter::client(target.tls, target.tls_name, target.sessions, std::time(nullptr)));
    return tls()->start();
}

bool UpstreamConnection::can_be_reused() const {
    const bool all_written = write_queue_size() == 0 && !write_failed;
    return all_written && !half_closed && !exchange.paused;
}

bool UpstreamConnection::is_unused(Time now, Duration idle_timeout, Duration completion_timeout) const {
    const Duration age = now - since;
    if (is_in(State::idle)) return age > idle_timeout;
    return is_in(State::busy) && exchange.response_unwanted && age > completion_timeout;
}

bool UpstreamConnection::may_receive_surplus() const {
    return has_served && !exchange.response_begun && !exchange.written;
}

bool UpstreamConnection::broke_after_idle() const {
    return is_in(State::busy) && !exchange.response_begun && exchange.idle_before > Duration::zero();
}

}  // namespace chalksail::net
