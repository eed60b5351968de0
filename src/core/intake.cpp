#include "core/intake.hpp"

#include <algorithm>
#include <charconv>

namespace chalksail::core {
namespace {

bool matches(std::string_view pattern, std::string_view text) {
    if (pattern.empty()) return true;
    if (pattern.ends_with('*')) return text.starts_with(pattern.substr(0, pattern.size() - 1));
    return pattern == text;
}

bool matches(const config::ClassRule& rule, const http::Request& request, const std::string& model) {
    if (!matches(rule.model, model) || !matches(rule.path, request.path())) return false;
    if (rule.header.empty()) return true;
    return request.headers.has(rule.header) && matches(rule.is, request.headers.get(rule.header));
}

}  // namespace

tl::expected<Intake, chat::ApiError> take_in(const config::EdgeSettings& settings,
                                             const http::Request& request,
                                             const std::string& fallback_session) {
    Intake out;
    std::string_view key = request.headers.get("authorization");
    if (key.size() > 7 && http::same_name(key.substr(0, 7), "bearer ")) key.remove_prefix(7);
    for (const auto& t : settings.tenants)
        if (std::find(t.keys.begin(), t.keys.end(), key) != t.keys.end()) out.tenant = t.name;
    if (settings.require_key && out.tenant.empty())
        return tl::unexpected(
            chat::ApiError{401, "unknown or missing API key", "authentication_error", "", "invalid_api_key"});

    auto chat = chat::parse_request(request.body);
    if (!chat) return tl::unexpected(chat.error());
    out.chat = std::move(*chat);
    const auto& models = settings.models;
    if (!models.empty() && std::find(models.begin(), models.end(), out.chat.model) == models.end())
        return tl::unexpected(chat::ApiError{404, "the model '" + out.chat.model + "' does not exist",
                                             "invalid_request_error", "model", "model_not_found"});

    const auto cls = std::find_if(settings.classes.begin(), settings.classes.end(), [&](const auto& c) {
        return c.rules.empty() || std::any_of(c.rules.begin(), c.rules.end(), [&](const auto& r) {
                   return matches(r, request, out.chat.model);
               });
    });
    if (cls == settings.classes.end())
        return tl::unexpected(chat::ApiError{404, "no class of request fits this model, path and headers",
                                             "invalid_request_error", "model", "no_class"});
    out.cls = static_cast<std::size_t>(cls - settings.classes.begin());
    const ClassSettings& c = settings.module.classes[out.cls];

    out.idempotency_key = request.headers.get(kIdempotencyHeader);
    if (c.effect == Effect::by_key && out.idempotency_key.empty())
        return tl::unexpected(
            chat::ApiError{400, "requests of class '" + c.name + "' need the header Idempotency-Key",
                           "invalid_request_error", "Idempotency-Key", "missing_key"});

    out.deadline = c.deadline;
    if (const auto told = request.headers.get(kTimeoutHeader); cls->deadline_header && !told.empty()) {
        std::int64_t ms = 0;
        const auto [end, why] = std::from_chars(told.data(), told.data() + told.size(), ms);
        if (why != std::errc{} || end != told.data() + told.size() || ms < 1)
            return tl::unexpected(chat::ApiError{400,
                                                 "X-Request-Timeout-Ms must be a whole number of at least 1",
                                                 "invalid_request_error", "X-Request-Timeout-Ms", ""});
        out.deadline = std::min(out.deadline,
                                Duration(std::chrono::milliseconds(std::min<std::int64_t>(ms, 86'400'000))));
    }

    out.session = request.headers.get(settings.session_header);
    if (out.session.empty()) out.session = out.chat.session;
    // Sessions of two tenants never are the same one.
    out.session = out.session.empty() ? fallback_session : out.tenant + "/" + out.session;
    const auto retries = request.headers.get(kRetryHeader);
    out.retry = !retries.empty() && retries != "0";
    return out;
}

}  // namespace chalksail::core
