#include "host.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wire.hpp"

namespace chalksail::wire {
namespace {

// One gateway instance of the bench, and its events in the current batch.
struct Instance {
    std::optional<Router> router;
    std::vector<Event> events;
};

// Owns the gateway instances of one bench run.
class Host {
public:
    // Processes one line, and writes the reply if the line ends a batch. Throws BadLine if the line is
    // invalid.
    void handle(Line line, std::ostream& out) {
        if (auto* begin = std::get_if<BatchBegins>(&line)) {
            if (open_) throw BadLine("field 'verb': begin_batch inside a batch");
            if (begin->now < now_) throw BadLine("field 'now_ns': the clock went backwards");
            now_ = begin->now;
            open_ = true;
            return;
        }
        if (!open_) throw BadLine("field 'verb': no batch has begun");
        if (std::holds_alternative<BatchEnds>(line)) {
            for (auto& [name, instance] : instances_) reply(name, instance, out);
            out << kReplyEnd << '\n' << std::flush;
            open_ = false;
        } else if (auto* started = std::get_if<Started>(&line)) {
            try {
                instances_[started->instance] = Instance{Router(started->settings, started->seed), {}};
            } catch (const std::invalid_argument& error) {
                throw BadLine(std::string("field 'options': ") + error.what());
            }
        } else if (auto* killed = std::get_if<Killed>(&line)) {
            find(killed->instance);
            instances_.erase(killed->instance);
        } else {
            auto& received = std::get<EventReceived>(line);
            find(received.instance).events.push_back(std::move(received.event));
        }
    }

private:
    Instance& find(const std::string& name) {
        const auto it = instances_.find(name);
        if (it == instances_.end()) throw BadLine("field 'who': instance '" + name + "' has not started");
        return it->second;
    }
    void reply(const std::string& name, Instance& instance, std::ostream& out) const {
        if (instance.events.empty()) return;
        for (const auto& action : instance.router->step(now_, instance.events))
            out << format(name, action) << '\n';
        instance.events.clear();
    }

    std::map<std::string, Instance> instances_;
    Time now_{};
    bool open_ = false;
};

}  // namespace

int serve(std::istream& in, std::ostream& out, std::ostream& errors) {
    Host host;
    std::string text;
    for (std::size_t number = 1; std::getline(in, text); ++number) {
        if (text.empty()) continue;
        try {
            host.handle(parse(text), out);
        } catch (const BadLine& error) {
            errors << "chalksail_adapter: line " << number << ": " << error.what() << '\n';
            return 1;
        }
    }
    return 0;
}

}  // namespace chalksail::wire
