#include "net/admin.hpp"

#include <cmath>

#include "base/json.hpp"

namespace chalksail::net {

tl::expected<membership::EndpointList, std::string> parse_server_list(std::string_view body,
                                                                      const std::set<std::string>& kinds,
                                                                      ClockOffset offset) {
    json::Document doc;
    if (!json::parse(body, doc) || !doc.IsObject())
        return tl::unexpected(std::string("one JSON object wanted"));
    membership::EndpointList out;
    const auto scope = json::text(json::find(doc, "scope"));
    if (scope == "complete") out.kind = EndpointUpdateKind::snapshot;
    else if (scope == "changes") out.kind = EndpointUpdateKind::delta;
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
        membership::EndpointConfig s;
        const auto name = json::text(json::find(item, "name"));
        if (name.empty() || name.size() > 256) return bad("'name' must be a string");
        if (!names.insert(name).second) return bad("'" + std::string(name) + "' is named twice");
        s.endpoint.id = {std::string(name)};
        const auto state = json::text(json::find(item, "state"));
        if (state.empty() || state == "up") s.endpoint.state = EndpointState::up;
        else if (state == "draining") s.endpoint.state = EndpointState::draining;
        else if (state == "removed") s.endpoint.state = EndpointState::removed;
        else return bad("'state' must be up, draining or removed");
        s.endpoint.kind = json::text(json::find(item, "kind"));
        if (!kinds.contains(s.endpoint.kind)) return bad("unknown kind '" + s.endpoint.kind + "'");
        s.endpoint.zone = json::text(json::find(item, "zone"));
        if (const auto* cell = json::find(item, "cell")) {
            if (!cell->IsInt64()) return bad("'cell' must be a whole number");
            s.endpoint.cell = cell->GetInt64();
        }
        if (const auto* weight = json::find(item, "weight")) {
            if (!weight->IsNumber() || !(weight->GetDouble() >= 0 && weight->GetDouble() <= 1e6))
                return bad("'weight' must be a number from 0 to 1000000");
            s.endpoint.weight = weight->GetDouble();
        }
        if (const auto* started = json::find(item, "started_unix_ms")) {
            if (!started->IsInt64() || started->GetInt64() < 0 || started->GetInt64() > 4'000'000'000'000)
                return bad("'started_unix_ms' must be milliseconds since 1970");
            s.endpoint.started_at =
                Time(Duration(std::chrono::milliseconds(started->GetInt64())) + offset.value);
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
        out.endpoints.push_back(std::move(s));
    }
    return out;
}

std::string format_server_list(const std::vector<membership::EndpointConfig>& servers, ClockOffset offset) {
    std::string list;
    for (const auto& s : servers) {
        if (!list.empty()) list += ',';
        json::ObjectWriter item;
        item.text("name", s.endpoint.id.value)
            .text("address", format_address(s.address))
            .text("kind", s.endpoint.kind)
            .text("zone", s.endpoint.zone)
            .whole("cell", s.endpoint.cell)
            .number("weight", s.endpoint.weight)
            .text("state", s.endpoint.state == EndpointState::up         ? "up"
                           : s.endpoint.state == EndpointState::draining ? "draining"
                                                                         : "removed");
        if (s.events) item.text("events", format_address(*s.events));
        if (s.replay) item.text("replay", format_address(*s.replay));
        if (s.endpoint.started_at != Time{})
            item.whole("started_unix_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                                              s.endpoint.started_at.time_since_epoch() - offset.value)
                                              .count());
        list += item.done();
    }
    return R"({"scope":"complete","servers":[)" + list + "]}";
}

void SettingsSource::start(membership::EndpointSink& sink) {
    if (settings_.servers.empty()) return;
    membership::EndpointList out;
    for (const auto& s : settings_.servers) {
        membership::EndpointConfig listed;
        listed.endpoint.id = {s.name};
        listed.endpoint.kind = s.kind;
        listed.endpoint.zone = s.zone;
        listed.endpoint.cell = s.cell;
        listed.endpoint.weight = s.weight;
        listed.address = s.address;
        listed.events = s.events;
        listed.replay = s.replay;
        out.endpoints.push_back(std::move(listed));
    }
    sink.apply(std::move(out));
}

std::optional<std::string> AdminSource::post(std::string_view body) {
    auto list = parse_server_list(body, kinds_, offset_);
    if (!list) return list.error();
    sink_->apply(std::move(*list));
    return std::nullopt;
}

}  // namespace chalksail::net
