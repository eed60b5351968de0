#include "platform/answer.hpp"

#include <utility>

#include "base/json.hpp"

namespace chalksail::platform {
namespace {

constexpr int kReadDone = 202;
constexpr int kStateGone = 410;

double number(const json::Value* value) {
    return value != nullptr && value->IsNumber() && value->GetDouble() >= 0 && value->GetDouble() < 1e12
               ? value->GetDouble()
               : 0;
}

}  // namespace

std::string lease_target(std::string_view id) { return "/kv/leases/" + std::string(id); }

Judgement judge(const Facts& f) {
    switch (f.ended) {
        case Ended::answered: break;
        case Ended::no_connection:
        case Ended::broke: return {f.written ? AttemptOutcome::reset : AttemptOutcome::connect_failed};
        case Ended::malformed: return {f.started ? AttemptOutcome::reset : AttemptOutcome::error};
        case Ended::timed_out: return {f.written ? AttemptOutcome::timeout : AttemptOutcome::connect_failed};
        case Ended::cancelled:
            return {f.written ? AttemptOutcome::cancelled : AttemptOutcome::connect_failed};
    }
    if (f.not_run && f.status == kStateGone) return {AttemptOutcome::at_capacity, true};
    if (f.not_run && (f.status == 503 || f.status == 504)) return {AttemptOutcome::at_capacity};
    // An answer before the request's last byte has gone out: what was not whole was not begun.
    if (!f.written) return {AttemptOutcome::connect_failed};
    if (f.prefill && f.status == kReadDone && f.complete) return {AttemptOutcome::prefilled};
    if (!f.prefill && f.status == 200) {
        if (f.complete) return {AttemptOutcome::ok};
        return {f.started ? AttemptOutcome::reset : AttemptOutcome::error};
    }
    return {AttemptOutcome::error};
}

EventReader::Events EventReader::feed(std::string_view bytes) {
    Events out;
    if (spoilt_) return out;
    rest_ += bytes;
    std::size_t begin = 0;
    for (;;) {
        const auto end = rest_.find("\n\n", begin);
        if (end == std::string::npos) break;
        look_at(std::string_view(rest_).substr(begin, end - begin));
        if (spoilt_) break;
        begin = end + 2;
        out.count += 1;
    }
    if (begin > 0) {
        out.bytes = rest_.substr(0, begin);
        rest_.erase(0, begin);
    }
    if (rest_.size() > most_) spoilt_ = true;
    if (spoilt_) std::string().swap(rest_);
    return out;
}

void EventReader::look_at(std::string_view event) {
    while (!event.empty() && (event.front() == '\n' || event.front() == '\r')) event.remove_prefix(1);
    constexpr std::string_view kData = "data:";
    if (done_ || !event.starts_with(kData)) {
        spoilt_ = true;
        return;
    }
    event.remove_prefix(kData.size());
    if (event.starts_with(' ')) event.remove_prefix(1);
    if (event.ends_with('\r')) event.remove_suffix(1);
    if (event == "[DONE]") {
        done_ = true;
        return;
    }
    // Only the last but one has figures; the others are passed on unread.
    if (event.find("\"usage\"") == std::string_view::npos) return;
    json::Document doc;
    if (!json::parse(event, doc)) return;
    const auto* usage = json::find(doc, "usage");
    if (usage == nullptr) return;
    prompt_tokens_ = number(json::find(*usage, "prompt_tokens"));
    completion_tokens_ = number(json::find(*usage, "completion_tokens"));
    if (const auto* details = json::find(*usage, "prompt_tokens_details"))
        cached_tokens_ = number(json::find(*details, "cached_tokens"));
}

std::optional<double> parse_cached_tokens(std::string_view body) {
    json::Document doc;
    if (!json::parse(body, doc)) return std::nullopt;
    const auto* cached = json::find(doc, "cached_tokens");
    if (cached == nullptr || !cached->IsNumber()) return std::nullopt;
    return number(cached);
}

}  // namespace chalksail::platform
