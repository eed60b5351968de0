#include "core/client_response.hpp"

#include <utility>

namespace chalksail::core {

void send_response(ClientId client, ClientResponse response, StepOutput& output) {
    output.emit(SendResponse{client, response.status, std::move(response.headers), std::move(response.body)});
}

void complete_response(const ActiveRequest& request, StepOutput& output) {
    ProtocolSession& session = *request.parsed.protocol_session;
    if (!request.streams()) return send_response(request.client, session.collected_response(), output);
    if (auto tail = session.stream_tail(); !tail.empty())
        output.emit(SendStreamBytes{request.client, std::move(tail)});
    output.emit(EndStream{request.client});
}

void send_failure(const ActiveRequest& request, int status, const std::string& message, bool retryable,
                  StepOutput& output) {
    const ProtocolSession& session = *request.parsed.protocol_session;
    if (!request.stream_started() || !request.streams())
        return send_response(request.client, session.failure(status, message, retryable), output);
    auto last = session.stream_error(status, message);
    if (!last) return output.emit(AbortStream{request.client});
    output.emit(SendStreamBytes{request.client, std::move(*last)});
    output.emit(EndStream{request.client});
}

}  // namespace chalksail::core
