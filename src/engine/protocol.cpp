#include "engine/protocol.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstring>

#include "base/json.hpp"

namespace chalksail::engine {
namespace {

// Replaces any kv_transfer_params of the client: these are internal to the gateway and the engines.
constexpr std::string_view kPrefillParams =
    R"({"do_remote_decode":true,"do_remote_prefill":false,"remote_engine_id":null,"remote_block_ids":null,)"
    R"("remote_host":null,"remote_port":null})";

constexpr double kTokenCountLimit = 1e12;  // token counts at or above it are treated as malformed

// Returns a token count; 0 if it is absent or malformed.
double token_count(const json::Value* value) {
    return value != nullptr && value->IsNumber() && value->GetDouble() >= 0 &&
                   value->GetDouble() < kTokenCountLimit
               ? value->GetDouble()
               : 0;
}
std::optional<Usage> read_usage(const json::Value& doc) {
    const auto* usage = json::find(doc, "usage");
    if (usage == nullptr || !usage->IsObject()) return std::nullopt;
    Usage out{token_count(json::find(*usage, "prompt_tokens")),
              token_count(json::find(*usage, "completion_tokens")),
              {}};
    if (const auto* details = json::find(*usage, "prompt_tokens_details"))
        if (const auto* cached = json::find(*details, "cached_tokens");
            cached != nullptr && cached->IsNumber())
            out.cached_tokens = token_count(cached);
    return out;
}

// Adds one metric to the load report; ignores unknown names and invalid values.
void add_metric(Load& load, std::string_view name, double value) {
    if (!std::isfinite(value) || value < 0) return;
    const auto is = [&](std::string_view metric) {
        // Accepts prefixes such as "vllm:" and ORCA's "named_metrics.".
        return name.ends_with(metric) &&
               (name.size() == metric.size() ||
                std::string_view(":._").find(name[name.size() - metric.size() - 1]) !=
                    std::string_view::npos);
    };
    if (is("num_requests_running")) load.running = load.running.value_or(0) + value;
    else if (is("num_requests_waiting")) load.waiting = load.waiting.value_or(0) + value;
    else if (is("kv_cache_usage_perc") || is("gpu_cache_usage_perc"))
        load.memory_share = std::min(value, 1.0);
}
std::optional<double> parse_number(std::string_view text) {
    double out = 0;
    const auto [end, why] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (why != std::errc{}) return std::nullopt;
    return out;
}
std::string_view trim(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r'))
        text.remove_suffix(1);
    return text;
}

}  // namespace

std::string prefill_body(std::string_view client_body, const chat::Request& request) {
    // Removes min_tokens and n too: with one token to generate, an engine would reject min_tokens above 1 and
    // would repeat the work for n above 1.
    std::vector<chat::Override> overrides = {
        {"stream", "false"}, {"stream_options", std::nullopt},
        {"max_tokens", "1"}, {"min_tokens", std::nullopt},
        {"n", std::nullopt}, {"kv_transfer_params", std::string(kPrefillParams)}};
    const auto& members = request.members;
    if (std::any_of(members.begin(), members.end(),
                    [](const auto& m) { return m.name == "max_completion_tokens"; }))
        overrides.push_back({"max_completion_tokens", "1"});
    return chat::rewrite(client_body, members, overrides);
}

std::string decode_body(std::string_view client_body, const chat::Request& request,
                        std::string_view kv_params) {
    chat::Override params{"kv_transfer_params", std::nullopt};
    if (!kv_params.empty()) params.json = std::string(kv_params);
    return chat::rewrite(client_body, request.members,
                         {{"stream", "true"}, {"stream_options", R"({"include_usage":true})"}, params});
}

std::string release_body(std::string_view request_id, std::string_view kv_params) {
    json::ObjectWriter out;
    out.text("request_id", request_id);
    kv_params.empty() ? out.null("kv_transfer_params") : out.raw("kv_transfer_params", kv_params);
    return out.done();
}

std::optional<PrefillResponse> parse_prefill_response(std::string_view body) {
    json::Document doc;
    if (!json::parse(body, doc)) return std::nullopt;
    const auto* params = json::find(doc, "kv_transfer_params");
    if (params == nullptr || !params->IsObject()) return std::nullopt;
    PrefillResponse out;
    out.kv_params = json::dump(*params);
    if (const auto usage = read_usage(doc)) {
        out.prompt_tokens = usage->prompt_tokens;
        out.cached_tokens = usage->cached_tokens;
    }
    return out;
}

Chunk read_chunk(std::string_view data) {
    if (data == chat::kDone) return {ChunkKind::done, std::nullopt};
    if (!data.starts_with('{') || !data.ends_with('}')) return {ChunkKind::broken, std::nullopt};
    // Most chunks have neither member (inside a string the quotes would be escaped) and are forwarded without
    // being parsed: parsing would cost more than all other work on a chunk. Uses memmem, because
    // string_view::find stops at every quote.
    const auto contains = [&](std::string_view text) {
        return memmem(data.data(), data.size(), text.data(), text.size()) != nullptr;
    };
    if (!contains("\"usage\"") && !contains("\"error\"")) return {ChunkKind::chunk, std::nullopt};
    json::Document doc;
    if (!json::parse(data, doc) || !doc.IsObject()) return {ChunkKind::broken, std::nullopt};
    const auto* choices = json::find(doc, "choices");
    if (json::find(doc, "error") != nullptr && choices == nullptr) return {ChunkKind::error, std::nullopt};
    Chunk out{ChunkKind::chunk, read_usage(doc)};
    if (out.usage && (choices == nullptr || !choices->IsArray() || choices->Empty()))
        out.kind = ChunkKind::usage_only;
    return out;
}

std::vector<double> Load::report() const {
    if (!running || !memory_share) return {};
    return {*running + waiting.value_or(0), *memory_share};
}

Load parse_load_header(std::string_view value) {
    Load out;
    value = trim(value);
    if (value.starts_with("JSON ")) {
        json::Document doc;
        if (!json::parse(value.substr(5), doc) || !doc.IsObject()) return out;
        const auto add_members = [&](const json::Value& object) {
            for (const auto& m : object.GetObject())
                if (m.value.IsNumber()) add_metric(out, json::text(m.name), m.value.GetDouble());
        };
        add_members(doc);
        if (const auto* named = json::find(doc, "named_metrics"); named != nullptr && named->IsObject())
            add_members(*named);
        return out;
    }
    if (value.starts_with("TEXT ")) value.remove_prefix(5);
    while (!value.empty()) {
        const auto comma = value.find(',');
        const auto item = trim(value.substr(0, comma));
        if (const auto equals = item.find('='); equals != std::string_view::npos)
            if (const auto number = parse_number(trim(item.substr(equals + 1))))
                add_metric(out, trim(item.substr(0, equals)), *number);
        value = comma == std::string_view::npos ? std::string_view{} : value.substr(comma + 1);
    }
    return out;
}

Load parse_metrics_page(std::string_view page) {
    Load out;
    double share_sum = 0;
    int share_count = 0;
    while (!page.empty()) {
        const auto end = page.find('\n');
        const auto line = trim(page.substr(0, end));
        page = end == std::string_view::npos ? std::string_view{} : page.substr(end + 1);
        if (line.empty() || line.front() == '#') continue;
        const auto name_end = line.find_first_of("{ ");
        if (name_end == std::string_view::npos) continue;
        const auto labels_end = line[name_end] == '{' ? line.rfind('}') : name_end - 1;
        if (labels_end == std::string_view::npos) continue;
        const auto number = parse_number(trim(line.substr(labels_end + 1)));
        if (!number) continue;
        Load sample;
        add_metric(sample, line.substr(0, name_end), *number);
        if (sample.memory_share) {
            share_sum += *sample.memory_share;
            ++share_count;
        }
        add_metric(out, line.substr(0, name_end), *number);
    }
    if (share_count > 0) out.memory_share = share_sum / share_count;
    return out;
}

bool four_bytes_of(std::uint32_t token, std::string& out) {
    if (token == 0) return false;
    for (int i = 3; i >= 0; --i) out += static_cast<char>(token >> (8 * i));
    return true;
}

std::string prompt_text(std::string_view messages) {
    json::Document doc;
    std::string out;
    if (!json::parse(messages, doc) || !doc.IsArray()) return out;
    for (const auto& m : doc.GetArray()) out += json::dump(m);
    return out;
}

}  // namespace chalksail::engine
