#include "shell/load.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/json.hpp"
#include "model/text.hpp"
#include "net/http_server.hpp"

namespace chalksail::lab {
namespace {

Duration from_seconds(double s) { return Duration(static_cast<std::int64_t>(s * 1e9)); }

net::PoolLimits load_limits() {
    net::PoolLimits out;
    out.message = {64 * 1024, 0};
    out.per_server = 20'000;
    out.queue = 0;
    out.dial_timeout = std::chrono::seconds(3);
    return out;
}

}  // namespace

struct Load::Client {
    std::size_t cls = 0;
    std::string session;
    std::size_t gateway = 0;
    std::vector<std::string> messages;  // as JSON
    int turns_left = 0;
    int tries_left = 0;
    bool trying_again = false;
    bool spare = false;  // asks only in a burst
    Time next{};
    bool waiting = false;
};

struct Load::Pending {
    Client* client = nullptr;
    std::string request;
    std::string gateway;
    Time asked{};
    Time hang_up_at{};  // zero: never
    bool hang_up_after_first = false;
    Duration deadline{};
    std::uint64_t key = 0;
    std::size_t tokens = 0;
    bool stream = false;
    int status = 0;
    std::string body;
    std::string text;
    bool started = false;
    bool done = false;   // [DONE] came
    bool error = false;  // an error event came
    bool usage = false;
    std::int64_t retry_after_ms = 0;
    chat::SseReader events{8 * 1024 * 1024};
};

Load::Load(uv_loop_t& loop, const Scenario& scenario, Recorder& recorder)
    : scenario_(scenario),
      recorder_(recorder),
      pool_(loop, static_cast<net::HttpPool::Handler&>(*this), load_limits()),
      random_(scenario.seed * 7919 + 17) {}
Load::~Load() = default;

std::string Load::words(std::size_t bytes) {
    static const std::vector<std::string> all = {"menu",   "order", "jollof", "suya",     "price",
                                                 "please", "table", "spicy",  "delivery", "branch"};
    std::string out;
    while (out.size() < bytes)
        out += all[static_cast<std::size_t>(draw() * static_cast<double>(all.size()))] + " ";
    return out;
}

void Load::new_session(Client& c) {
    double total = 0;
    for (const auto& t : scenario_.traffic) total += t.share;
    double at = draw() * total;
    c.cls = 0;
    for (std::size_t i = 0; i < scenario_.traffic.size(); ++i) {
        c.cls = i;
        if ((at -= scenario_.traffic[i].share) < 0) break;
    }
    const auto& t = scenario_.traffic[c.cls];
    c.session = "s" + std::to_string(++last_session_);
    c.turns_left = 1 + static_cast<int>(draw() * 2 * (t.turns - 1) + 0.5);
    c.messages.clear();
    if (t.system_bytes > 0) {
        const auto& texts = prefixes_[c.cls];
        const auto& text = texts[static_cast<std::size_t>(draw() * static_cast<double>(texts.size()))];
        c.messages.push_back(json::ObjectWriter().text("role", "system").text("content", text).done());
    }
}

void Load::begin(Time now) {
    for (const auto& t : scenario_.traffic) {
        std::vector<std::string> texts;
        for (int i = 0; i < t.prefixes; ++i) texts.push_back(words(static_cast<std::size_t>(t.system_bytes)));
        prefixes_.push_back(std::move(texts));
    }
    if (scenario_.traffic.empty()) return;
    double most = 1;
    for (const auto& t : scenario_.troubles)
        if (t.kind == TroubleKind::burst) most = std::max(most, t.factor);
    const int all = static_cast<int>(std::ceil(scenario_.clients * most));
    for (int i = 0; i < all; ++i) {
        auto c = std::make_unique<Client>();
        c->gateway = static_cast<std::size_t>(i);
        c->spare = i >= scenario_.clients;
        c->next = now + from_seconds(draw());
        new_session(*c);
        clients_.push_back(std::move(c));
    }
}

void Load::tick(Time now) {
    const auto active = static_cast<std::size_t>(std::llround(scenario_.clients * burst_));
    for (std::size_t i = 0; i < clients_.size(); ++i) {
        Client& c = *clients_[i];
        if (c.waiting || c.next > now || stopping_) continue;
        if (c.spare && i >= active) continue;
        ask(c, now);
    }
    std::vector<net::HttpPool::Call> leave;
    for (const auto& [call, p] : calls_)
        if (p->hang_up_at != Time{} && p->hang_up_at <= now) leave.push_back(call);
    for (const auto call : leave) hang_up(call, now);
}

void Load::ask(Client& c, Time now) {
    const auto& t = scenario_.traffic[c.cls];
    const auto& classes = scenario_.edge.module.classes;
    const auto& cls =
        *std::find_if(classes.begin(), classes.end(), [&](const auto& k) { return k.name == t.name; });
    if (!c.trying_again) {
        double bytes = t.turn_bytes * (0.5 + draw());
        if (draw() < heavy_part_) bytes *= heavy_factor_;
        c.messages.push_back(json::ObjectWriter()
                                 .text("role", "user")
                                 .text("content", words(static_cast<std::size_t>(bytes)))
                                 .done());
        c.tries_left = scenario_.client_retries;
    }
    auto p = std::make_unique<Pending>();
    p->client = &c;
    const net::HttpPool::Call call = ++last_call_;
    p->request = "c" + std::to_string(call);
    p->stream = draw() < t.stream_part;
    std::string messages = "[";
    for (const auto& m : c.messages) messages += (messages.size() > 1 ? "," : "") + m;
    messages += "]";
    p->key = prompt_key(messages);
    p->tokens = answer_length(p->key, static_cast<std::size_t>(t.max_tokens));
    json::ObjectWriter body;
    body.text("model", t.model)
        .raw("messages", messages)
        .whole("max_tokens", t.max_tokens)
        .text("prompt_cache_key", c.session);
    if (p->stream) body.flag("stream", true).raw("stream_options", R"({"include_usage":true})");
    body.raw("an_unknown_field", R"({"kept": [1, 2.50]})");
    const std::string text = body.done();

    c.gateway += c.trying_again ? 1 : 0;  // another gateway, if there is one
    const auto& [name, address] = gateways_[c.gateway % gateways_.size()];
    p->gateway = name;
    p->asked = now;
    p->deadline = cls.deadline;
    if (draw() < give_up_) {
        // At any point: before the read, in it, while the state waits, in the stream.
        p->hang_up_at =
            now + from_seconds(draw() * draw() * 2 * std::chrono::duration<double>(cls.deadline).count());
    }
    http::Headers headers;
    headers.add("Content-Type", "application/json");
    headers.add("X-Request-Id", p->request);
    headers.add("Idempotency-Key", p->request);
    if (c.trying_again) headers.add("X-Stainless-Retry-Count", "1");
    Record r;
    r.at = now;
    r.what = What::asked;
    r.request = p->request;
    r.gateway = name;
    r.cls = cls.name;
    r.effect = cls.effect;
    r.group = cls.group;
    r.window = cls.window;
    r.deadline = cls.deadline;
    recorder_.add(std::move(r));
    c.waiting = true;
    calls_.emplace(call, std::move(p));
    pool_.start(call, address, "POST", "/v1/chat/completions", std::move(headers), text);
}

void Load::on_head(net::HttpPool::Call call, int status, http::Headers headers) {
    const auto it = calls_.find(call);
    if (it == calls_.end()) return;
    it->second->status = status;
    it->second->retry_after_ms = std::atoll(std::string(headers.get("retry-after-ms")).c_str());
}

void Load::on_body(net::HttpPool::Call call, std::string bytes) {
    const auto it = calls_.find(call);
    if (it == calls_.end()) return;
    Pending& p = *it->second;
    if (!p.stream || p.status != 200) {
        p.body += bytes;
        return;
    }
    for (const auto& data : p.events.feed(bytes)) {
        if (data == chat::kDone) {
            p.done = true;
            continue;
        }
        json::Document doc;
        if (!json::parse(data, doc) || !doc.IsObject()) {
            p.error = true;
            continue;
        }
        if (json::find(doc, "error") != nullptr) p.error = true;
        if (!p.started) {
            p.started = true;
            Record r;
            r.at = net::uv_now_time();
            r.what = What::first;
            r.request = p.request;
            r.gateway = p.gateway;
            recorder_.add(std::move(r));
            figures_.first_token_ms.push_back(
                std::chrono::duration<double, std::milli>(net::uv_now_time() - p.asked).count());
        }
        if (json::find(doc, "usage") != nullptr) p.usage = true;
        const auto* choices = json::find(doc, "choices");
        if (choices == nullptr || !choices->IsArray() || choices->Empty()) continue;
        if (const auto* delta = json::find((*choices)[0], "delta"))
            p.text += json::text(json::find(*delta, "content"));
    }
}

void Load::on_done(net::HttpPool::Call call) {
    const auto it = calls_.find(call);
    if (it == calls_.end()) return;
    Pending& p = *it->second;
    const std::string wanted = answer_text(p.key, p.tokens);
    if (p.status == 200 && p.stream) {
        const bool whole = p.done && !p.error;
        return end(call, whole ? "served" : "failed", !whole || (p.text == wanted && p.usage), 200);
    }
    if (p.status == 200) {
        json::Document doc;
        std::string text;
        if (json::parse(p.body, doc) && doc.IsObject())
            if (const auto* choices = json::find(doc, "choices");
                choices != nullptr && choices->IsArray() && !choices->Empty())
                if (const auto* message = json::find((*choices)[0], "message"))
                    text = json::text(json::find(*message, "content"));
        figures_.first_token_ms.push_back(
            std::chrono::duration<double, std::milli>(net::uv_now_time() - p.asked).count());
        return end(call, "served", text == wanted, 200);
    }
    const bool refused = p.status == 503 || p.status == 429;
    end(call, refused ? "refused" : p.status < 500 ? "rejected" : "failed", true, p.status);
}

void Load::on_failed(net::HttpPool::Call call, engine::Ending, std::string) {
    // The gateway was unreachable, or cut the connection: no answer of its own.
    if (calls_.contains(call)) end(call, "failed", true, 0);
}

void Load::end(net::HttpPool::Call call, const std::string& fate, bool intact, int status) {
    const auto it = calls_.find(call);
    const std::unique_ptr<Pending> p = std::move(it->second);
    calls_.erase(it);
    const Time now = net::uv_now_time();
    Record r;
    r.at = now;
    r.what = What::answered;
    r.request = p->request;
    r.gateway = p->gateway;
    r.fate = fate;
    r.status = status;
    r.intact = intact;
    recorder_.add(std::move(r));
    Client& c = *p->client;
    c.waiting = false;
    const auto& t = scenario_.traffic[c.cls];
    const auto& classes = scenario_.edge.module.classes;
    const auto& cls =
        *std::find_if(classes.begin(), classes.end(), [&](const auto& k) { return k.name == t.name; });
    const bool may = fate == "refused" || (fate == "failed" && cls.effect == Effect::repeatable);
    if (may && c.tries_left > 0) {
        c.tries_left -= 1;
        c.trying_again = true;
        figures_.retries += 1;
        c.next = now + std::chrono::milliseconds(std::clamp<std::int64_t>(p->retry_after_ms, 50, 2000));
        return;
    }
    c.trying_again = false;
    if (fate == "served")
        c.messages.push_back(json::ObjectWriter().text("role", "assistant").text("content", p->text).done());
    if (--c.turns_left <= 0 || fate != "served") new_session(c);
    c.next = now + from_seconds(std::chrono::duration<double>(t.think).count() * (0.5 + draw()));
}

void Load::hang_up(net::HttpPool::Call call, Time now) {
    const auto it = calls_.find(call);
    Record r;
    r.at = now;
    r.what = What::hung_up;
    r.request = it->second->request;
    r.gateway = it->second->gateway;
    recorder_.add(std::move(r));
    Client& c = *it->second->client;
    calls_.erase(it);
    pool_.cancel(call);
    c.waiting = c.trying_again = false;
    new_session(c);
    c.next = now + std::chrono::milliseconds(200);
}

void Load::hang_up_all(Time now) {
    while (!calls_.empty()) hang_up(calls_.begin()->first, now);
}

}  // namespace chalksail::lab
