#include "platform/answer.hpp"

#include <utility>

#include "base/json.hpp"

namespace chalksail::platform {
namespace {

constexpr int kOk = 200;
constexpr int kPrefilled = 202;
constexpr int kStateMissing = 410;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr double kMaxReportedTokens = 1e12;  // larger counts are treated as malformed

// Returns a token count; 0 if it is absent or malformed.
double token_count(const json::Value* value) {
    if (value == nullptr || !value->IsNumber()) return 0;
    const double count = value->GetDouble();
    return count >= 0 && count < kMaxReportedTokens ? count : 0;
}

AttemptClassification classify_response(const AttemptObservation& observation) {
    if (observation.not_run && observation.status == kStateMissing)
        return {AttemptOutcome::at_capacity, true};
    if (observation.not_run && (observation.status == kUnavailable || observation.status == kGatewayTimeout))
        return {AttemptOutcome::at_capacity};
    // The server responded before the request was complete, and so has not processed it.
    if (!observation.written) return {AttemptOutcome::connect_failed};
    if (observation.prefill && observation.status == kPrefilled && observation.complete)
        return {AttemptOutcome::prefilled};
    if (observation.prefill || observation.status != kOk) return {AttemptOutcome::error};
    if (observation.complete) return {AttemptOutcome::ok};
    return {observation.started ? AttemptOutcome::reset : AttemptOutcome::error};
}

}  // namespace

std::string lease_target(std::string_view id) { return "/kv/leases/" + std::string(id); }

AttemptClassification classify(const AttemptObservation& observation) {
    // A request that was not written completely was not processed, however the exchange ended.
    const auto if_written = [&](AttemptOutcome outcome) {
        return AttemptClassification{observation.written ? outcome : AttemptOutcome::connect_failed};
    };
    switch (observation.ending) {
        case ExchangeEnd::response_received: break;
        case ExchangeEnd::no_connection:
        case ExchangeEnd::connection_closed: return if_written(AttemptOutcome::reset);
        case ExchangeEnd::malformed_response:
            return {observation.started ? AttemptOutcome::reset : AttemptOutcome::error};
        case ExchangeEnd::timed_out: return if_written(AttemptOutcome::timeout);
        case ExchangeEnd::cancelled: return if_written(AttemptOutcome::cancelled);
    }
    return classify_response(observation);
}

EventReader::Events EventReader::feed(std::string_view bytes) {
    constexpr std::string_view kSeparator = "\n\n";
    Events events;
    if (malformed_) return events;
    partial_ += bytes;
    std::size_t begin = 0;
    for (;;) {
        const auto end = partial_.find(kSeparator, begin);
        if (end == std::string::npos) break;
        if (!inspect(std::string_view(partial_).substr(begin, end - begin))) {
            malformed_ = true;
            break;
        }
        begin = end + kSeparator.size();
        events.count += 1;
    }
    if (begin > 0) {
        events.bytes = partial_.substr(0, begin);
        partial_.erase(0, begin);
    }
    if (partial_.size() > max_bytes_) malformed_ = true;
    if (malformed_) std::string().swap(partial_);
    return events;
}

bool EventReader::inspect(std::string_view event) {
    constexpr std::string_view kData = "data:";
    while (!event.empty() && (event.front() == '\n' || event.front() == '\r')) event.remove_prefix(1);
    if (done_ || !event.starts_with(kData)) return false;
    event.remove_prefix(kData.size());
    if (event.starts_with(' ')) event.remove_prefix(1);
    if (event.ends_with('\r')) event.remove_suffix(1);
    if (event == "[DONE]") done_ = true;
    // Only the event before [DONE] has a usage; the others are forwarded without being parsed.
    else if (event.find("\"usage\"") != std::string_view::npos) read_usage(event);
    return true;
}

void EventReader::read_usage(std::string_view data) {
    json::Document document;
    if (!json::parse(data, document)) return;
    const auto* usage = json::find(document, "usage");
    if (usage == nullptr) return;
    prompt_tokens_ = token_count(json::find(*usage, "prompt_tokens"));
    completion_tokens_ = token_count(json::find(*usage, "completion_tokens"));
    if (const auto* details = json::find(*usage, "prompt_tokens_details"))
        cached_tokens_ = token_count(json::find(*details, "cached_tokens"));
}

std::optional<double> parse_cached_tokens(std::string_view body) {
    json::Document document;
    if (!json::parse(body, document)) return std::nullopt;
    const auto* cached = json::find(document, "cached_tokens");
    if (cached == nullptr || !cached->IsNumber()) return std::nullopt;
    return token_count(cached);
}

}  // namespace chalksail::platform
