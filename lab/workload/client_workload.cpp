#include "workload/client_workload.hpp"

#include <algorithm>
#include <cmath>

#include "base/json.hpp"
#include "model/text.hpp"

namespace chalksail::lab {
namespace {

Duration time_of_seconds(double s) { return Duration(static_cast<std::int64_t>(s * 1e9)); }
double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

}  // namespace

ClientWorkload::ClientWorkload(const Scenario& scenario) : scenario_(scenario) {
    for (const auto& t : scenario_.traffic) {
        std::vector<std::string> texts;
        sim::Stream draws(scenario.seed, "beginnings", prefixes_.size());
        for (int i = 0; i < t.prefixes; ++i)
            texts.push_back(words(draws, static_cast<std::size_t>(t.system_bytes)));
        prefixes_.push_back(std::move(texts));
    }
}

std::string ClientWorkload::words(sim::Stream& draws, std::size_t bytes) {
    static const std::vector<std::string> all = {"menu",   "order", "jollof", "suya",     "price",
                                                 "please", "table", "spicy",  "delivery", "branch"};
    std::string out;
    while (out.size() < bytes) (out += all[draws.below(all.size())]) += ' ';
    return out;
}

const RequestClassSettings& ClientWorkload::class_of(const Client& c) const {
    const auto& classes = scenario_.edge.router.classes;
    const auto& name = scenario_.traffic[c.cls].name;
    return *std::find_if(classes.begin(), classes.end(), [&](const auto& k) { return k.name == name; });
}

std::size_t ClientWorkload::active() const {
    return static_cast<std::size_t>(std::llround(scenario_.clients * burst_));
}

void ClientWorkload::new_session(Client& c) {
    double total = 0;
    for (const auto& t : scenario_.traffic) total += t.share;
    double at = c.draws.uniform() * total;
    c.cls = 0;
    for (std::size_t i = 0; i < scenario_.traffic.size(); ++i) {
        c.cls = i;
        if ((at -= scenario_.traffic[i].share) < 0) break;
    }
    const auto& t = scenario_.traffic[c.cls];
    c.session = "s" + std::to_string(c.number) + "." + std::to_string(++c.sessions);
    c.turns_left = 1 + static_cast<int>(c.draws.uniform() * 2 * (t.turns - 1) + 0.5);
    c.messages.clear();
    if (t.system_bytes > 0) {
        const auto& texts = prefixes_[c.cls];
        const auto& text = texts[c.draws.below(texts.size())];
        c.messages.push_back(json::ObjectWriter().text("role", "system").text("content", text).done());
    }
}

void ClientWorkload::begin(Time now) {
    if (scenario_.traffic.empty()) return;
    // Those beyond the usual number ask only in a burst.
    double most = 1;
    for (const auto& t : scenario_.faults)
        if (t.kind == FaultKind::burst) most = std::max(most, t.factor);
    const auto all = static_cast<std::size_t>(std::ceil(scenario_.clients * most));
    clients_.reserve(all);
    for (std::size_t i = 0; i < all; ++i) {
        clients_.push_back({i, 0, "", i, {}, 0, 0, false, 0, 0, sim::Stream(scenario_.seed, "client", i)});
        wait_until(i, now + time_of_seconds(seconds(scenario_.client_ramp) * clients_[i].draws.uniform()));
        new_session(clients_[i]);
    }
}

void ClientWorkload::set_burst(double factor) {
    burst_ = factor;
    for (const auto client : resting_) waiting_.emplace(Time{}, client);
    resting_.clear();
}

void ClientWorkload::wait_until(std::size_t client, Time at) { waiting_.emplace(at, client); }

std::optional<Time> ClientWorkload::next() const {
    if (stopping_ || waiting_.empty()) return std::nullopt;
    return waiting_.begin()->first;
}

std::vector<ClientCall> ClientWorkload::due(Time now) {
    std::vector<ClientCall> out;
    if (stopping_) return out;
    const std::size_t some = active();
    while (!waiting_.empty() && waiting_.begin()->first <= now) {
        const std::size_t client = waiting_.begin()->second;
        waiting_.erase(waiting_.begin());
        if (client >= some) resting_.push_back(client);
        else out.push_back(make_call(client, now));
    }
    return out;
}

ClientCall ClientWorkload::make_call(std::size_t client, Time now) {
    Client& c = clients_[client];
    const auto& t = scenario_.traffic[c.cls];
    const auto& cls = class_of(c);
    if (!c.trying_again) {
        double bytes = t.turn_bytes * (0.5 + c.draws.uniform());
        if (c.draws.chance(heavy_part_)) bytes *= heavy_factor_;
        c.messages.push_back(json::ObjectWriter()
                                 .text("role", "user")
                                 .text("content", words(c.draws, static_cast<std::size_t>(bytes)))
                                 .done());
        c.tries_left = scenario_.client_retries;
    }
    ClientCall a;
    a.client = client;
    a.number = "c" + std::to_string(c.number) + "." + std::to_string(++c.calls);
    a.cls = &cls;
    a.sent_at = now;
    a.stream = c.draws.chance(t.stream_part);
    std::string messages = "[";
    for (const auto& m : c.messages) messages += (messages.size() > 1 ? "," : "") + m;
    messages += "]";
    a.key = prompt_key(messages);
    a.prompt_tokens = count_tokens(messages.size());
    a.tokens = answer_length(a.key, static_cast<std::size_t>(t.max_tokens));
    json::ObjectWriter body;
    body.text("model", t.model)
        .raw("messages", messages)
        .integer("max_tokens", t.max_tokens)
        .text("prompt_cache_key", c.session);
    if (a.stream) body.boolean("stream", true).raw("stream_options", R"({"include_usage":true})");
    body.raw("an_unknown_field", R"({"kept": [1, 2.50]})");
    a.body = body.done();
    c.gateway += c.trying_again ? 1 : 0;  // another gateway, if there is one
    a.gateway = c.gateway;
    // At any point: before the read, in it, while the state waits, in the stream.
    const double early = c.draws.uniform() * c.draws.uniform() * 2;
    if (c.draws.chance(give_up_)) a.disconnect_at = now + time_of_seconds(early * seconds(cls.deadline));
    a.headers.add("Content-Type", "application/json");
    a.headers.add("X-Request-Id", a.number);
    a.headers.add("Idempotency-Key", a.number);
    if (c.trying_again) a.headers.add("X-Stainless-Retry-Count", "1");
    return a;
}

bool ClientWorkload::ended(std::size_t client, Time now, const std::string& termination,
                           const std::string& text, std::int64_t retry_after_ms) {
    Client& c = clients_[client];
    const bool may = termination == "refused" ||
                     (termination == "failed" && class_of(c).idempotency == Idempotency::idempotent);
    if (may && c.tries_left > 0) {
        c.tries_left -= 1;
        c.trying_again = true;
        wait_until(client,
                   now + std::chrono::milliseconds(std::clamp<std::int64_t>(retry_after_ms, 50, 2000)));
        return true;
    }
    c.trying_again = false;
    const auto think = scenario_.traffic[c.cls].think;
    if (termination == "served")
        c.messages.push_back(json::ObjectWriter().text("role", "assistant").text("content", text).done());
    if (--c.turns_left <= 0 || termination != "served") new_session(c);
    wait_until(client, now + time_of_seconds(seconds(think) * (0.5 + c.draws.uniform())));
    return false;
}

void ClientWorkload::hung_up(std::size_t client, Time now) {
    clients_[client].trying_again = false;
    new_session(clients_[client]);
    wait_until(client, now + std::chrono::milliseconds(200));
}

Record request_record(const ClientCall& client_call, const std::string& gateway) {
    Record r;
    r.at = client_call.sent_at;
    r.kind = RecordKind::requested;
    r.request = client_call.number;
    r.gateway = gateway;
    r.cls = client_call.cls->name;
    r.effect = client_call.cls->idempotency;
    r.group = client_call.cls->deduplication_scope;
    r.window = client_call.cls->deduplication_window;
    r.deadline = client_call.cls->deadline;
    r.first_token_objective =
        client_call.cls->first_token_objective +
        time_of_seconds(seconds(client_call.cls->first_token_objective_per_1000_tokens) *
                        client_call.prompt_tokens / 1000);
    return r;
}

}  // namespace chalksail::lab
