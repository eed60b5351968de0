#include "checker/record.hpp"

#include <array>
#include <stdexcept>

#include "base/json.hpp"

namespace chalksail::lab {
namespace {

// By RecordKind; stored data, so they never change.
constexpr std::array<std::string_view, 16> kNames = {
    "asked",    "first",   "answered", "hung_up", "taken", "ended", "state",  "fetched",
    "released", "expired", "lost",     "fell",    "told",  "sent",  "closed", "let_go"};

}  // namespace

std::string_view name(RecordKind kind) { return kNames[static_cast<std::size_t>(kind)]; }

std::string format(const Record& r) {
    json::ObjectWriter out;
    out.integer("at", r.at.time_since_epoch().count()).text("what", name(r.kind));
    const auto text = [&](const char* key, const std::string& value) {
        if (!value.empty()) out.text(key, value);
    };
    text("request", r.request);
    text("gateway", r.gateway);
    text("server", r.server);
    text("zone", r.zone);
    if (r.cell != 0) out.integer("cell", r.cell);
    if (r.attempt >= 0) out.integer("attempt", r.attempt);
    if (r.read) out.boolean("read", true);
    text("class", r.cls);
    if (r.kind == RecordKind::requested) {
        out.integer("effect", static_cast<int>(r.effect)).integer("group", static_cast<int>(r.group));
        out.integer("deadline", r.deadline.count()).integer("window", r.window.count());
        out.integer("aim", r.first_token_objective.count());
    }
    text("fate", r.termination);
    if (r.status != 0) out.integer("status", r.status);
    if (!r.intact) out.boolean("intact", false);
    if (r.value != 0) out.number("value", r.value);
    return out.done();
}

tl::expected<Record, std::string> parse(std::string_view line) {
    json::Document doc;
    if (!json::parse(line, doc) || !doc.IsObject()) return tl::unexpected(std::string("no JSON object"));
    Record r;
    const auto whole = [&](const char* key, std::int64_t otherwise) {
        const auto* v = json::find(doc, key);
        return v != nullptr && v->IsInt64() ? v->GetInt64() : otherwise;
    };
    const auto text = [&](const char* key) { return std::string(json::text(json::find(doc, key))); };
    const auto what = text("what");
    std::size_t i = 0;
    while (i < kNames.size() && kNames[i] != what) ++i;
    if (i == kNames.size()) return tl::unexpected("unknown record '" + what + "'");
    r.kind = static_cast<RecordKind>(i);
    r.at = Time(Duration(whole("at", 0)));
    r.request = text("request");
    r.gateway = text("gateway");
    r.server = text("server");
    r.zone = text("zone");
    r.cell = whole("cell", 0);
    r.attempt = whole("attempt", -1);
    r.cls = text("class");
    r.effect = static_cast<Idempotency>(whole("effect", 0));
    r.group = static_cast<DeduplicationScope>(whole("group", 0));
    r.deadline = Duration(whole("deadline", 0));
    r.window = Duration(whole("window", 0));
    r.first_token_objective = Duration(whole("aim", 0));
    r.termination = text("fate");
    r.status = static_cast<int>(whole("status", 0));
    const auto flag = [&](const char* key, bool otherwise) {
        const auto* v = json::find(doc, key);
        return v != nullptr && v->IsBool() ? v->GetBool() : otherwise;
    };
    r.read = flag("read", false);
    r.intact = flag("intact", true);
    if (const auto* v = json::find(doc, "value"); v != nullptr && v->IsNumber()) r.value = v->GetDouble();
    return r;
}

Recorder::Recorder(const std::string& file) : out_(file, std::ios::binary | std::ios::trunc) {
    if (!out_) throw std::runtime_error(file + ": can't be written");
}
void Recorder::add(Record record) {
    if (out_.is_open()) out_ << format(record) << '\n';
    all_.push_back(std::move(record));
}
void Recorder::flush() {
    if (out_.is_open()) out_.flush();
}

}  // namespace chalksail::lab
