// Fuzzes the platform's codecs: a configuration, a watch of the endpoint list, a client's request, a model
// server's stream. For any input there must be no crash, and every split must give the same result.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "http/message.hpp"
#include "platform/answer.hpp"
#include "platform/configuration.hpp"
#include "platform/endpoint_list.hpp"
#include "platform/request.hpp"

using namespace chalksail;
using namespace chalksail::platform;

namespace {

// Passes `text` to `take` in parts of `step` bytes.
template <class Take>
void in_parts(std::string_view text, std::size_t step, const Take& take) {
    for (std::size_t at = 0; at < text.size(); at += step) take(text.substr(at, step));
}

std::string lines_of(std::string_view text, std::size_t step) {
    ObjectReader reader(500);
    std::string out;
    in_parts(text, step, [&](auto part) {
        for (const auto& line : reader.feed(part)) {
            out += line + "\n";
            if (const auto list = parse_endpoint_list(line))
                for (const auto& i : list->endpoints)
                    if (i.id.empty()) std::abort();
        }
    });
    return out;
}

std::string stream_of(std::string_view text, std::size_t step) {
    http::ResponseReader reader({4096, 0, 1024});
    EventReader events(500);
    std::string out;
    bool over = false;
    in_parts("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(text), step,
             [&](auto part) {
                 if (over) return;
                 for (const auto& piece : reader.feed(part)) {
                     if (const auto* body = std::get_if<http::ResponseBodyPart>(&piece)) {
                         in_parts(body->bytes, step, [&](auto bytes) { out += events.feed(bytes).bytes; });
                         if (events.malformed() && events.done()) std::abort();
                     }
                     over = over || std::holds_alternative<http::ResponseEnd>(piece) ||
                            std::holds_alternative<http::Fault>(piece);
                 }
             });
    return out;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size < 2) return 0;
    const std::size_t step = 1 + data[1] % 64;
    const std::string text(reinterpret_cast<const char*>(data) + 2, size - 2);
    switch (data[0] % 4) {
        case 0:
            if (const auto c = parse_configuration(text, {}); !c && c.error().empty()) std::abort();
            break;
        case 1:
            if (lines_of(text, step) != lines_of(text, text.size() + 1)) std::abort();
            break;
        case 2: {
            http::RequestReader reader({4096, 4096});
            std::string_view remaining = text;
            auto got = reader.feed(remaining);
            auto* request = std::get_if<http::Request>(&got);
            if (request == nullptr) break;
            const auto read = read_request(*request);
            if (!read) {
                if (read.error().empty()) std::abort();
                break;
            }
            if (read->id.empty() || read->time_remaining <= Duration::zero() ||
                read->shared_tokens > read->prompt_tokens ||
                lease_target(read->id).find_first_of(" \r\n?#") != std::string::npos)
                std::abort();
            break;
        }
        default:
            if (stream_of(text, step) != stream_of(text, text.size() + 100)) std::abort();
            break;
    }
    return 0;
}
