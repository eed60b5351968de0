// Records of what crossed the sockets of the simulated engines and of the load generator, one JSON object a
// line. The checker reads nothing else. Times are nanoseconds of one monotonic clock. The JSON keys and the
// kinds' names are stored data and stay as they are: "what" is Record::kind, "fate" is termination, "aim" is
// first_token_objective. No threads; Recorder writes a file.
#pragma once

#include <chalksail/chalksail.hpp>
#include <fstream>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace chalksail::lab {

// What a record reports. The names in the file are in record.cpp, in the same order.
enum class RecordKind {
    // clients
    requested,            // a request left the client: request, gateway, cls, effect, group, deadline
    first,                // its first chunk came
    answered,             // its final answer: termination, status
    client_disconnected,  // the client closed its connection by itself
    // engines
    taken,     // a request reached the engine: request, gateway, server, attempt, read
    ended,     // its answer, or its connection, ended: termination is done, not_run, error, cut (by us), left
               // (by the
               // peer)
    state,     // a read state waits: request, server; in virtual time the attempt that read it
    fetched,   // it was taken by a write; server: where it waited
    released,  // it was released
    expired,   // nobody fetched it in time
    lost,      // it was lost with its engine
    overloaded,  // the engine failed of overload; value: share of the load from gateways that knew of its
                 // start
    // the list
    notified,  // a gateway has confirmed that it has this endpoint update: server, termination: up, draining,
               // removed, started
    // Virtual time only, where the way between the two can be long: what the gateway did. The engine may hear
    // of it
    // later, or never; the gateway answers for these, not for the way.
    sent,               // handed an attempt to a connection
    closed,             // closed its end of one, or saw it end
    release_requested,  // sent a release of a KV state
};
// Its name in the file.
[[nodiscard]] std::string_view name(RecordKind kind);

// One record; most fields are set for some kinds only.
struct Record {
    Time at{};
    RecordKind kind = RecordKind::requested;
    std::string request;  // the client's own id for it
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
    Duration first_token_objective{};  // requested: latency objective of the first token
    std::string termination;
    int status = 0;
    bool intact = true;  // answered: the transcript is the one that the prompt gives
    double value = 0;
};

// One line of JSON, without its end; parse() reads it back, or says what is wrong.
[[nodiscard]] std::string format(const Record& record);
[[nodiscard]] tl::expected<Record, std::string> parse(std::string_view line);

// Collects records in memory, and in a file if it has a name.
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
