#include "net/admin.hpp"

#include <optional>
#include <utility>

#include "base/json.hpp"

namespace chalksail::net {

namespace {

constexpr std::size_t kMaxNameBytes = 256;
constexpr double kMaxWeight = 1e6;
constexpr std::int64_t kMaxUnixMilliseconds = 4'000'000'000'000;  // a time in the year 2096

using Status = tl::expected<void, std::string>;

Status error(std::string text) { return tl::unexpected(std::move(text)); }

// Parses one entry of the list.
class EndpointParser {
public:
    // `names` holds the names of the entries before it.
    EndpointParser(const rapidjson::Value& item, const std::set<std::string>& kinds, ClockOffset offset,
                   std::set<std::string>& names)
        : item_(item), kinds_(kinds), offset_(offset), names_(names) {}

    tl::expected<membership::EndpointConfig, std::string> parse() {
        for (const auto step :
             {&EndpointParser::read_name, &EndpointParser::read_state, &EndpointParser::read_placement,
              &EndpointParser::read_weight, &EndpointParser::read_start, &EndpointParser::read_addresses})
            if (const auto done = (this->*step)(); !done) return tl::unexpected(done.error());
        return out_;
    }

private:
    [[nodiscard]] const rapidjson::Value* find(const char* key) const { return json::find(item_, key); }
    [[nodiscard]] std::string_view text(const char* key) const { return json::text(find(key)); }

    Status read_name() {
        const auto name = text("name");
        if (name.empty() || name.size() > kMaxNameBytes)
            return error("'name' must be a string of 1 to 256 bytes");
        out_.endpoint.id = {std::string(name)};
        if (!names_.insert(out_.endpoint.id.value).second)
            return error("'" + out_.endpoint.id.value + "' is listed twice");
        return {};
    }

    Status read_state() {
        const auto state = text("state");
        if (state.empty() || state == "up") out_.endpoint.state = EndpointState::up;
        else if (state == "draining") out_.endpoint.state = EndpointState::draining;
        else if (state == "removed") out_.endpoint.state = EndpointState::removed;
        else return error("'state' must be up, draining or removed");
        return {};
    }

    Status read_placement() {
        out_.endpoint.kind = text("kind");
        if (!kinds_.contains(out_.endpoint.kind)) return error("unknown kind '" + out_.endpoint.kind + "'");
        out_.endpoint.zone = text("zone");
        const auto* cell = find("cell");
        if (cell == nullptr) return {};
        if (!cell->IsInt64()) return error("'cell' must be an integer");
        out_.endpoint.cell = cell->GetInt64();
        return {};
    }

    Status read_weight() {
        const auto* weight = find("weight");
        if (weight == nullptr) return {};
        if (!weight->IsNumber() || !(weight->GetDouble() >= 0 && weight->GetDouble() <= kMaxWeight))
            return error("'weight' must be a number from 0 to 1000000");
        out_.endpoint.weight = weight->GetDouble();
        return {};
    }

    Status read_start() {
        const auto* started = find("started_unix_ms");
        if (started == nullptr) return {};
        if (!started->IsInt64() || started->GetInt64() < 0 || started->GetInt64() > kMaxUnixMilliseconds)
            return error(
                "'started_unix_ms' must be an integer from 0 to 4000000000000 (milliseconds since 1970)");
        out_.endpoint.started_at =
            Time(Duration(std::chrono::milliseconds(started->GetInt64())) + offset_.value);
        return {};
    }

    Status read_addresses() {
        const auto address = parse_address(text("address"));
        if (!address || address->port == 0) return error("'address' must be IP:PORT");
        out_.address = *address;
        if (auto read = read_optional_address("events", out_.events); !read) return read;
        return read_optional_address("replay", out_.replay);
    }

    Status read_optional_address(const char* key, std::optional<Address>& address) const {
        if (text(key).empty()) return {};
        address = parse_address(text(key));
        if (!address || address->port == 0) return error(std::string("'") + key + "' must be IP:PORT");
        return {};
    }

    const rapidjson::Value& item_;
    const std::set<std::string>& kinds_;
    ClockOffset offset_;
    std::set<std::string>& names_;
    membership::EndpointConfig out_;
};

tl::expected<EndpointUpdateKind, std::string> parse_scope(std::string_view scope) {
    if (scope == "complete") return EndpointUpdateKind::snapshot;
    if (scope == "changes") return EndpointUpdateKind::delta;
    return tl::unexpected(std::string("'scope' must be \"complete\" or \"changes\""));
}

std::string_view state_name(EndpointState state) {
    switch (state) {
        case EndpointState::up: return "up";
        case EndpointState::draining: return "draining";
        case EndpointState::removed: break;
    }
    return "removed";
}

}  // namespace

tl::expected<membership::EndpointList, std::string> parse_server_list(std::string_view body,
                                                                      const std::set<std::string>& kinds,
                                                                      ClockOffset offset) {
    json::Document document;
    if (!json::parse(body, document) || !document.IsObject())
        return tl::unexpected(std::string("the body must be one JSON object"));
    const auto kind = parse_scope(json::text(json::find(document, "scope")));
    if (!kind) return tl::unexpected(kind.error());
    const auto* list = json::find(document, "servers");
    if (list == nullptr || !list->IsArray()) return tl::unexpected(std::string("'servers' must be an array"));
    membership::EndpointList out;
    out.kind = *kind;
    std::set<std::string> names;
    for (rapidjson::SizeType i = 0; i < list->Size(); ++i) {
        const auto prefix = "servers[" + std::to_string(i) + "]: ";
        const auto& item = (*list)[i];
        if (!item.IsObject()) return tl::unexpected(prefix + "must be an object");
        auto config = EndpointParser(item, kinds, offset, names).parse();
        if (!config) return tl::unexpected(prefix + config.error());
        out.endpoints.push_back(std::move(*config));
    }
    return out;
}

std::string format_server_list(const std::vector<membership::EndpointConfig>& servers, ClockOffset offset) {
    std::string list;
    for (const auto& server : servers) {
        if (!list.empty()) list += ',';
        json::ObjectWriter item;
        item.text("name", server.endpoint.id.value)
            .text("address", format_address(server.address))
            .text("kind", server.endpoint.kind)
            .text("zone", server.endpoint.zone)
            .integer("cell", server.endpoint.cell)
            .number("weight", server.endpoint.weight)
            .text("state", state_name(server.endpoint.state));
        if (server.events) item.text("events", format_address(*server.events));
        if (server.replay) item.text("replay", format_address(*server.replay));
        if (server.endpoint.started_at != Time{})
            item.integer("started_unix_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                                                server.endpoint.started_at.time_since_epoch() - offset.value)
                                                .count());
        list += item.done();
    }
    return R"({"scope":"complete","servers":[)" + list + "]}";
}

void SettingsSource::start(membership::EndpointSink& sink) {
    if (settings_.servers.empty()) return;
    membership::EndpointList out;
    for (const auto& server : settings_.servers) {
        membership::EndpointConfig config;
        config.endpoint.id = {server.name};
        config.endpoint.kind = server.kind;
        config.endpoint.zone = server.zone;
        config.endpoint.cell = server.cell;
        config.endpoint.weight = server.weight;
        config.address = server.address;
        config.events = server.events;
        config.replay = server.replay;
        out.endpoints.push_back(std::move(config));
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
