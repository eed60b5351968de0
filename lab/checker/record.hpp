// What crossed the sockets of the stand-ins and of the load tool, one JSON object a line, and nothing else:
// the checker reads only this. Times are nanoseconds of one monotonic clock.
#pragma once

#include <chalksail/chalksail.hpp>
#include <fstream>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace chalksail::lab {

enum class RecordKind {
    // clients
    requested,            // a request left the client: request, gateway, cls, effect, group, deadline
    first,                // its first chunk came
    answered,             // its final answer: fate, status
    client_disconnected,  // the client went away by itself
    // engines
    taken,    // a request reached the engine: request, gateway, server, attempt, read
    ended,    // its answer, or its connection, ended: fate is done, not_run, error, cut (by us), left (by the
              // peer)
    state,    // a read state waits: request, server; in virtual time the attempt that read it
    fetched,  // it was taken by a write; server: where it waited
    released,    // it was let go
    expired,     // nobody wanted it for too long
    lost,        // it went with its engine
    overloaded,  // the engine fell over; value: part of the pressure from gateways that had been told
    // the list
    notified,  // a gateway answered that it has this: server, fate: up, draining, removed, started
    // Virtual time only, where the way between the two can be long: what the gateway did. The engine may hear
    // of it
    // later, or never; the gateway answers for these, not for the way.
    sent,               // handed an attempt to a connection
    closed,             // closed its end of one, or saw it end
    release_requested,  // called for a let-go of a state
};
[[nodiscard]] std::string_view name(RecordKind what);

struct Record {
    Time at{};
    RecordKind kind = RecordKind::requested;
    std::string request;  // the client's own number for it
    std::string gateway;
    std::string server;
    std::string zone;
    std::int64_t cell = 0;
    std::int64_t attempt = -1;
    bool read = false;
    std::string cls;
    Idempotency effect = Idempotency::idempotent;
    DeduplicationScope group = DeduplicationScope::all;
    Duration deadline{};
    Duration window{};
    Duration first_token_objective{};  // asked: for its first token
    std::string termination;
    int status = 0;
    bool intact = true;  // answered: the transcript is the one that the prompt gives
    double value = 0;
};

[[nodiscard]] std::string format(const Record& record);
[[nodiscard]] tl::expected<Record, std::string> parse(std::string_view line);

// Where records go: memory, and a file if it has a name.
class Recorder {
public:
    Recorder() = default;
    explicit Recorder(const std::string& file);
    void add(Record record);
    [[nodiscard]] const std::vector<Record>& all() const { return all_; }
    void flush();

private:
    std::vector<Record> all_;
    std::ofstream out_;
};

}  // namespace chalksail::lab
