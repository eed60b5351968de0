// Builds the platform's messages for tests: a configuration, an endpoint list, a request.
#pragma once

#include <string>

#include "platform/configuration.hpp"

namespace chalksail::platform::testing {

inline std::string settings_text() {
    return R"({"az":"a","classes":[
      {"aim_ns":1000000000,"deadline_ns":4000000000,"effect":"repeatable","gain":1.0,"group":"all","late_worth":0.3,"name":"chat","streamed":true,"window_ns":0},
      {"aim_ns":2500000000,"deadline_ns":12000000000,"effect":"once","gain":3.0,"group":"all","late_worth":0.2,"name":"order","streamed":true,"window_ns":0}],
      "discovery":"push","extra":{"aim_us_per_1000_prompt_tokens":[60000.0,120000.0],"duty_by_kind":["read","write"],
      "early_pairing":true,"far_price":0.03,"read_in_place":false,"release_within_ns":500000000,"resume":true,
      "token_aim_ns":[50000000,80000000],"tokens_by_kind":[200000,150000]},"fleet_size":3,
      "limits":{"cancel":true,"conn_idle_ns":15000000000,"dial_timeout_ns":250000000,"max_retry_after_ns":1000000000,
      "probes":true,"retry_after":true,"second_copies":false,"send_cap":5},"me":0,"report":{"fields":[],"how":"silent"},
      "rules":{"answer_slack_ns":16000000,"cold_from":0.4,"cold_ns":9000000000,"fall_multiple":2.5,"fall_ns":3000000000,
      "stop_sending_within_ns":2000000000},"skus":["reader","writer"],"tenants":[],"tick_ns":2000000,"unheard_of":1})";
}
inline std::string instance(const std::string& id, const std::string& kind, const std::string& address,
                            const std::string& lifecycle = "up") {
    return R"({"instanceId":")" + id + R"(","hostPort":")" + address + R"(","zone":"a","machineType":")" +
           kind + R"(","cell":1,"lifecycle":")" + lifecycle + R"(","weight":1.0,"startedAtMs":0})";
}
inline std::string list_text(const std::string& instances, int generation = 41, bool reset = true) {
    return R"({"generation":)" + std::to_string(generation) + R"(,"reset":)" + (reset ? "true" : "false") +
           R"(,"instances":[)" + instances + "]}";
}
inline std::string configuration_text(const std::string& discovery = "127.0.0.1:1",
                                      const std::string& known = "",
                                      const std::string& listen = "127.0.0.1:0") {
    return R"({"name":"n0","listen":")" + listen + R"(","discovery":")" + discovery +
           R"(","seed":"8c1f30d27a5be964","limits":{"cores":0.5,"memory_mb":64,"sockets":256},)" +
           (known.empty() ? "" : "\"known\":" + known + ",") + R"("settings":)" + settings_text() + "}";
}
inline std::string post(const std::string& id, const std::string& cls = "chat", const std::string& more = "",
                        const std::string& left = "4000m") {
    const std::string body = R"({"model":"chat","stream":true,"messages":[]})";
    return "POST /v1/chat/completions?a=b HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: " + id +
           "\r\nX-Service-Class: " + cls + "\r\nX-Session-Key: s1\r\nX-Time-Left: " + left +
           "\r\nX-Facts: prefix=5c0f,prompt_len=500,prefix_len=200,max_out=80\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace chalksail::platform::testing
