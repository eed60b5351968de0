// Fuzzes every parser of external input that needs no socket. The first byte selects the parser. For any
// input there must be no crash, memory must stay bounded, and every split must give the same result.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "chat/collect.hpp"
#include "chat/request.hpp"
#include "chat/sse.hpp"
#include "checker/record.hpp"
#include "config/kdl/kdl.hpp"
#include "config/settings.hpp"
#include "engine/protocol.hpp"
#include "engine/vocabulary.hpp"
#include "http/message.hpp"
#include "net/admin.hpp"
#include "scenario/scenario.hpp"

namespace {

using namespace chalksail;

void require(bool condition) {
    if (!condition) std::abort();
}

// Returns all parts that a response reader gives, as text.
std::string responses(std::string_view bytes, std::size_t step) {
    http::ResponseReader reader({1000, 0});
    std::string out;
    const auto take = [&](const std::vector<http::ResponsePart>& parts) {
        bool end = false;
        for (const auto& p : parts) {
            if (const auto* h = std::get_if<http::ResponseHead>(&p))
                out += "H" + std::to_string(h->status) + ";";
            if (const auto* b = std::get_if<http::ResponseBodyPart>(&p)) out += b->bytes;
            if (std::holds_alternative<http::ResponseEnd>(p)) out += ";E";
            if (std::holds_alternative<http::Fault>(p)) out += ";F";
            end =
                end || std::holds_alternative<http::Fault>(p) || std::holds_alternative<http::ResponseEnd>(p);
        }
        return end;
    };
    for (std::size_t at = 0; at < bytes.size(); at += step)
        if (take(reader.feed(bytes.substr(at, step)))) return out;
    take(reader.close());
    return out;
}

void requests(std::string_view bytes) {
    http::RequestReader reader({1000, 1000});
    for (int i = 0; i < 100 && !bytes.empty(); ++i) {
        const auto before = bytes.size();
        const auto progress = reader.feed(bytes);
        if (std::holds_alternative<http::Fault>(progress)) return;
        if (const auto* r = std::get_if<http::Request>(&progress)) require(r->body.size() <= 1000);
        require(bytes.size() < before || std::holds_alternative<http::RequestReader::NeedMore>(progress));
    }
}

void events(std::string_view bytes) {
    const auto read = [&](std::size_t step) {
        chat::SseReader reader(500);
        std::vector<std::string> out;
        for (std::size_t at = 0; at < bytes.size(); at += step)
            for (auto& e : reader.feed(bytes.substr(at, step))) {
                require(e.size() <= 500);
                out.push_back(std::move(e));
            }
        return out;
    };
    require(read(1) == read(bytes.size() + 1));
    chat::Collector collector(2000);
    for (const auto& e : read(7)) {
        (void)engine::read_chunk(e);
        if (!collector.add(e)) return;
    }
    (void)collector.finish();
}

void chat_request(std::string_view bytes) {
    const auto parsed = chat::parse_request(bytes);
    if (!parsed) {
        (void)chat::format_error(parsed.error());
        return;
    }
    // The bodies derived from a valid request are valid too and have the same contents.
    const auto decode = engine::decode_body(bytes, *parsed, "{}");
    const auto reparsed = chat::parse_request(decode);
    require(reparsed && reparsed->stream && reparsed->model == parsed->model &&
            reparsed->prefix == parsed->prefix);
    const auto prefill = chat::parse_request(engine::prefill_body(bytes, *parsed));
    require(prefill && !prefill->stream && prefill->max_output == 1);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size == 0) return 0;
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    switch (data[0] % 9) {
        case 0: (void)kdl::parse(bytes); break;
        case 1: (void)config::parse_settings(bytes, "f"); break;
        case 2: requests(bytes); break;
        case 3: require(responses(bytes, 1) == responses(bytes, bytes.size() + 1)); break;
        case 4: events(bytes); break;
        case 5: chat_request(bytes); break;
        case 6:
            (void)engine::parse_prefill_response(bytes);
            (void)engine::parse_load_header(bytes).report();
            (void)engine::parse_metrics_page(bytes).report();
            (void)engine::prompt_text(bytes, {"<s>", "{role}:{content};"});
            if (const auto v = engine::Vocabulary::parse(bytes)) require(v->size() > 0);
            break;
        case 7: (void)net::parse_server_list(bytes, {"r", "w"}, {}); break;
        case 8:
            if (const auto r = lab::parse(bytes)) require(lab::parse(lab::format(*r)).has_value());
            (void)lab::parse_scenario(bytes, "f");
            break;
    }
    return 0;
}
