// The protocol of a simulated engine: parses requests and formats responses. Shared by the engines on sockets
// and those in virtual time. No I/O, no threads, no state.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/message.hpp"
#include "model/engine.hpp"

namespace chalksail::lab {

// A chat request as an engine receives it.
struct EngineRequest {
    std::string request;  // the gateway's id for it
    std::string client_request;
    std::string gateway;
    std::int64_t attempt = 0;
    bool read = false;
    bool streaming = false;
    bool usage = false;
    bool fetches = false;    // a state is to be fetched ...
    std::string fetch_from;  // ... from this engine
    std::string model;
    std::uint64_t key = 0;
    double prompt_tokens = 0;
    std::size_t output = 0;
    std::vector<PrefixBlock> blocks;  // of the prompt, if it is prefilled here
    std::string text;                 // the text of these
};
// Nullopt if the body is no chat request.
[[nodiscard]] std::optional<EngineRequest> read_request(const http::Headers& headers, std::string_view body);
// The job that it is for the engine model.
[[nodiscard]] Job job_of(const EngineRequest& engine_request, JobId id);

struct EngineAddress {
    std::string name;
    std::string host;
    int port = 0;
};
[[nodiscard]] std::string prefill_answer(const EngineRequest& engine_request, JobId job, double cached_tokens,
                                         const EngineAddress& engine);
// Chunks of the stream, as JSON: the opening one, the i-th token, and the one with the usage.
[[nodiscard]] std::string opening_chunk(const EngineRequest& engine_request);
[[nodiscard]] std::string token_chunk(const EngineRequest& engine_request, std::size_t i);
[[nodiscard]] std::string usage_chunk(const EngineRequest& engine_request);
[[nodiscard]] std::string whole_answer(const EngineRequest& engine_request);

}  // namespace chalksail::lab
