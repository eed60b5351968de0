#include "net/admin.hpp"

#include <cmath>

#include "base/json.hpp"

namespace chalksail::net {

tl::expected<core::ServerList, std::string> parse_server_list(std::string_view body,
                                                              const std::set<std::string>& kinds,
                                                              ClockOffset offset) {
    json::Document doc;
    if (!json::parse(body, doc) || !doc.IsObject())
        return tl::unexpected(std::string("one JSON object wanted"));
    core::ServerList out;
    const auto scope = json::text(json::find(doc, "scope"));
    if (scope == "complete") out.scope = ListScope::complete;
    else if (scope == "changes") out.scope = ListScope::changes;
    else return tl::unexpected(std::string("'scope' must be \"complete\" or \"changes\""));
    const auto* list = json::find(doc, "servers");
    if (list == nullptr || !list->IsArray()) return tl::unexpected(std::string("'servers' must be an array"));
    std::set<std::string_view> names;
    for (rapidjson::SizeType i = 0; i < list->Size(); ++i) {
        const auto& item = (*list)[i];
        const auto bad = [&](const std::string& what) {
            return tl::unexpected("servers[" + std::to_string(i) + "]: " + what);
        };
        if (!item.IsObject()) return bad("an object wanted");
        core::ListedServer s;
        const auto name = json::text(json::find(item, "name"));
        if (name.empty() || name.size() > 256) return bad("'name' must be a string");
        if (!names.insert(name).second) return bad("'" + std::string(name) + "' is named twice");
        s.entry.id = {std::string(name)};
        const auto state = json::text(json::find(item, "state"));
        if (state.empty() || state == "up") s.entry.state = ServerState::up;
        else if (state == "draining") s.entry.state = ServerState::draining;
        else if (state == "removed") s.entry.state = ServerState::removed;
        else return bad("'state' must be up, draining or removed");
        s.entry.kind = json::text(json::find(item, "kind"));
        if (!kinds.contains(s.entry.kind)) return bad("unknown kind '" + s.entry.kind + "'");
        s.entry.zone = json::text(json::find(item, "zone"));
        if (const auto* cell = json::find(item, "cell")) {
            if (!cell->IsInt64()) return bad("'cell' must be a whole number");
            s.entry.cell = cell->GetInt64();
        }
        if (const auto* weight = json::find(item, "weight")) {
            if (!weight->IsNumber() || !(weight->GetDouble() >= 0 && weight->GetDouble() <= 1e6))
                return bad("'weight' must be a number from 0 to 1000000");
            s.entry.weight = weight->GetDouble();
        }
        if (const auto* started = json::find(item, "started_unix_ms")) {
            if (!started->IsInt64() || started->GetInt64() < 0 || started->GetInt64() > 4'000'000'000'000)
                return bad("'started_unix_ms' must be milliseconds since 1970");
            s.entry.born = Time(Duration(std::chrono::milliseconds(started->GetInt64())) + offset.value);
        }
        const auto address = parse_address(json::text(json::find(item, "address")));
        if (!address || address->port == 0) return bad("'address' must be IP:PORT");
        s.address = *address;
        for (const auto& [key, place] : {std::pair{"events", &s.events}, std::pair{"replay", &s.replay}}) {
            const auto text = json::text(json::find(item, key));
            if (text.empty()) continue;
            *place = parse_address(text);
            if (!*place || (*place)->port == 0) return bad(std::string("'") + key + "' must be IP:PORT");
        }
        out.servers.push_back(std::move(s));
    }
    return out;
}

std::string format_server_list(const std::vector<core::ListedServer>& servers, ClockOffset offset) {
    std::string list;
    for (const auto& s : servers) {
        if (!list.empty()) list += ',';
        json::ObjectWriter item;
        item.text("name", s.entry.id.value)
            .text("address", format_address(s.address))
            .text("kind", s.entry.kind)
            .text("zone", s.entry.zone)
            .whole("cell", s.entry.cell)
            .number("weight", s.entry.weight)
            .text("state", s.entry.state == ServerState::up         ? "up"
                           : s.entry.state == ServerState::draining ? "draining"
                                                                    : "removed");
        if (s.events) item.text("events", format_address(*s.events));
        if (s.replay) item.text("replay", format_address(*s.replay));
        if (s.entry.born != Time{})
            item.whole("started_unix_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                                              s.entry.born.time_since_epoch() - offset.value)
                                              .count());
        list += item.done();
    }
    return R"({"scope":"complete","servers":[)" + list + "]}";
}

void SettingsSource::start(membership::ListSink& sink) {
    if (settings_.servers.empty()) return;
    core::ServerList out;
    for (const auto& s : settings_.servers) {
        core::ListedServer listed;
        listed.entry.id = {s.name};
        listed.entry.kind = s.kind;
        listed.entry.zone = s.zone;
        listed.entry.cell = s.cell;
        listed.entry.weight = s.weight;
        listed.address = s.address;
        listed.events = s.events;
        listed.replay = s.replay;
        out.servers.push_back(std::move(listed));
    }
    sink.take(std::move(out));
}

std::optional<std::string> AdminSource::post(std::string_view body) {
    auto list = parse_server_list(body, kinds_, offset_);
    if (!list) return list.error();
    sink_->take(std::move(*list));
    return std::nullopt;
}

}  // namespace chalksail::net
