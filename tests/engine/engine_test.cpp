// Which observations prove that an attempt did not run, over all combinations; parsing of the engines'
// messages.
#include <gtest/gtest.h>

#include "engine/outcome.hpp"
#include "engine/protocol.hpp"

namespace chalksail::engine {
namespace {

constexpr ExchangeEnd kEndings[] = {ExchangeEnd::response_received, ExchangeEnd::dial_failed,
                                    ExchangeEnd::no_resources,      ExchangeEnd::withdrawn,
                                    ExchangeEnd::connection_closed, ExchangeEnd::malformed_response,
                                    ExchangeEnd::timed_out,         ExchangeEnd::cancelled};

TEST(AttemptOutcome, SentAttemptIsProvedNotRunOnlyByTheEnginesReport) {
    for (const auto ending : kEndings)
        for (const bool prefill : {false, true})
            for (const bool started : {false, true})
                for (const bool complete : {false, true})
                    for (const int status : {0, 200, 204, 301, 400, 404, 408, 422, 429, 500, 503}) {
                        AttemptObservation observation{ending,   true,   prefill,         started,
                                                       complete, status, NotRun::unknown, false};
                        EXPECT_FALSE(proves_not_run(classify(observation).outcome))
                            << static_cast<int>(ending) << ' ' << status;
                    }
}

TEST(AttemptOutcome, AttemptWithoutASentByteIsProvedNotRun) {
    for (const auto ending : kEndings) {
        if (ending == ExchangeEnd::response_received || ending == ExchangeEnd::malformed_response) continue;
        AttemptObservation observation;
        observation.ending = ending;
        EXPECT_TRUE(proves_not_run(classify(observation).outcome)) << static_cast<int>(ending);
    }
}

TEST(AttemptOutcome, ClassifiesByEndingAndStatus) {
    const auto of = [](ExchangeEnd ending, bool prefill, bool started, bool complete, int status,
                       NotRun not_run = NotRun::unknown, bool not_run_status = false) {
        return classify({ending, true, prefill, started, complete, status, not_run, not_run_status});
    };
    EXPECT_EQ(of(ExchangeEnd::response_received, true, false, true, 200).outcome, AttemptOutcome::prefilled);
    EXPECT_EQ(of(ExchangeEnd::response_received, false, true, true, 200).outcome, AttemptOutcome::ok);
    EXPECT_EQ(of(ExchangeEnd::response_received, false, false, false, 200).outcome, AttemptOutcome::error);
    EXPECT_EQ(of(ExchangeEnd::response_received, false, true, false, 200).outcome, AttemptOutcome::reset);
    EXPECT_EQ(of(ExchangeEnd::connection_closed, false, false, false, 0).outcome, AttemptOutcome::reset);
    EXPECT_EQ(of(ExchangeEnd::malformed_response, false, false, false, 200).outcome, AttemptOutcome::error);
    EXPECT_EQ(of(ExchangeEnd::response_received, false, false, false, 503).outcome, AttemptOutcome::error);
    EXPECT_EQ(of(ExchangeEnd::response_received, false, false, false, 503, NotRun::at_capacity).outcome,
              AttemptOutcome::at_capacity);
    EXPECT_TRUE(of(ExchangeEnd::response_received, false, false, false, 503, NotRun::kv_state_missing)
                    .kv_state_missing);
    EXPECT_EQ(of(ExchangeEnd::response_received, false, false, false, 429, NotRun::unknown, true).outcome,
              AttemptOutcome::at_capacity);
    EXPECT_TRUE(of(ExchangeEnd::response_received, false, false, false, 422).client_error);
    EXPECT_FALSE(of(ExchangeEnd::response_received, false, false, false, 429).client_error);
    EXPECT_FALSE(of(ExchangeEnd::response_received, false, false, false, 401).client_error);
    // The not-run header counts only in a complete response with an error status, not in one whose
    // connection was closed early.
    EXPECT_EQ(of(ExchangeEnd::connection_closed, false, false, false, 503, NotRun::at_capacity).outcome,
              AttemptOutcome::reset);
}

TEST(Protocol, LoadReportsAreParsedByMetricName) {
    const auto text =
        parse_load_header("TEXT num_requests_running=3, num_requests_waiting=2 ,kv_cache_usage_perc=0.25");
    EXPECT_EQ(text.report(), (std::vector<double>{5, 0.25}));
    const auto object = parse_load_header(
        R"(JSON {"named_metrics":{"vllm:num_requests_running":1,"kv_cache_usage_perc":0.5}})");
    EXPECT_EQ(object.report(), (std::vector<double>{1, 0.5}));
    for (const char* bad :
         {"", "TEXT", "JSON {", "TEXT num_requests_running=x", "TEXT kv_cache_usage_perc=-1",
          "TEXT num_requests_running=nan,kv_cache_usage_perc=nan"})
        EXPECT_TRUE(parse_load_header(bad).report().empty()) << bad;
    const auto page = parse_metrics_page(
        "# HELP vllm:num_requests_running x\nvllm:num_requests_running{engine=\"0\",m=\"a b}\"} "
        "2.0\nvllm:num_requests_running{engine=\"1\"} 3\n"
        "vllm:gpu_cache_usage_perc{engine=\"0\"} 0.2\nvllm:gpu_cache_usage_perc{engine=\"1\"} 0.4 "
        "1700000000\nother 9\nbroken{\n");
    ASSERT_EQ(page.report().size(), 2U);
    EXPECT_EQ(page.report()[0], 5);
    EXPECT_NEAR(page.report()[1], 0.3, 1e-9);
}

TEST(Protocol, ChunksAreClassified) {
    EXPECT_EQ(read_chunk("[DONE]").kind, ChunkKind::done);
    EXPECT_EQ(read_chunk(R"({"choices":[{"delta":{"content":"\"usage\":{"}}]})").kind, ChunkKind::chunk);
    EXPECT_EQ(read_chunk(R"({"choices":[],"usage":{"prompt_tokens":4,"completion_tokens":2}})")
                  .usage->prompt_tokens,
              4);
    EXPECT_EQ(read_chunk(R"({"choices":[{"delta":{}}],"usage":null})").kind, ChunkKind::chunk);
    EXPECT_EQ(read_chunk(R"({"error":{"message":"out of memory"}})").kind, ChunkKind::error);
    EXPECT_EQ(read_chunk("half").kind, ChunkKind::broken);
    EXPECT_EQ(read_chunk(R"({"usage":)").kind, ChunkKind::broken);
}

TEST(Protocol, PrefillResponsesAreParsed) {
    const auto response = parse_prefill_response(
        R"({"usage":{"prompt_tokens":9,"prompt_tokens_details":{"cached_tokens":4}},"kv_transfer_params":{"remote_block_ids":[1],"x":null}})");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->prompt_tokens, 9);
    EXPECT_EQ(response->cached_tokens, 4);
    const auto without_count =
        parse_prefill_response(R"({"usage":{"prompt_tokens":9},"kv_transfer_params":{}})");
    ASSERT_TRUE(without_count);
    EXPECT_FALSE(without_count->cached_tokens);
    EXPECT_EQ(response->kv_params, R"({"remote_block_ids":[1],"x":null})");
    for (const char* bad : {"", "{}", "[]", R"({"kv_transfer_params":null})", R"({"kv_transfer_params":[]})"})
        EXPECT_FALSE(parse_prefill_response(bad)) << bad;
}

TEST(Protocol, PrefillBodyRequestsOneToken) {
    const std::string body =
        R"({"model":"m","messages":[{"role":"user","content":"x"}],"max_completion_tokens":50,"min_tokens":5,"n":2,"seed":1})";
    EXPECT_EQ(prefill_body(body, *chat::parse_request(body)).find("min_tokens"), std::string::npos);
    EXPECT_NE(prefill_body(body, *chat::parse_request(body)).find(R"("max_completion_tokens":1)"),
              std::string::npos);
    EXPECT_NE(decode_body(body, *chat::parse_request(body), "").find(R"("n":2)"), std::string::npos);
}

}  // namespace
}  // namespace chalksail::engine
