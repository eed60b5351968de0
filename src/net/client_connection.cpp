#include "net/client_connection.hpp"

#include <variant>

namespace chalksail::net {

http::RequestReader::Progress ClientConnection::parse_next() {
    http::RequestReader::Progress progress;
    do {
        const std::string_view segment = unparsed.front();
        parsed_received_at = unparsed.front_received_at();
        std::string_view rest = segment;
        progress = reader.feed(rest);
        unparsed.consume(segment.size() - rest.size());
    } while (std::holds_alternative<http::RequestReader::NeedMore>(progress) && !unparsed.empty());
    return progress;
}

}  // namespace chalksail::net
