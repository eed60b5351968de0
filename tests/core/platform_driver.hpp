// A hand-driven edge core on the users' platform.
#pragma once

#include <string>
#include <string_view>

#include "core/driver.hpp"
#include "core/platform_settings.hpp"
#include "platform/platform_fixture.hpp"
#include "platform/request.hpp"

namespace chalksail::core::testing {

namespace platform_text = platform::testing;

// An edge on the platform, with two prefill and two decode servers listed.
struct Platform : Driver {
    explicit Platform(const std::string& text = platform_text::configuration_text())
        : Platform(platform_settings(platform::parse_configuration(text, {}).value())) {}
    explicit Platform(const config::EdgeSettings& with) : Driver(with) { usual_list(); }
    void get(const std::string& bytes, std::uint64_t client = 1) {
        http::RequestReader reader({});
        std::string_view remaining = bytes;
        give({ClientRequest{{client}, std::get<http::Request>(reader.feed(remaining))}});
    }
    void written(CallId call) { give({CallSent{call}, CallWritten{call}}); }
    void answer(CallId call, int status, const std::string& bytes = "", const std::string& not_run = "") {
        http::Headers headers;
        if (!not_run.empty()) headers.add("X-Unprocessed", not_run);
        written(call);
        give({CallHead{call, status, headers}, CallBody{call, bytes}, CallDone{call}});
    }
    // Asks, and takes it through the read.
    CallId to_decode(const std::string& cls = "chat") {
        get(platform_text::post("9b1f", cls));
        EXPECT_EQ(sent().size(), 1U);
        now += 20ms;
        answer(sent().back().call, 202, R"({"cached_tokens":40})");
        EXPECT_EQ(sent().size(), 2U);
        return sent().back().call;
    }
};
inline const std::string kEvent = "data: {\"choices\":[]}\n\n";
inline const std::string kDoneEvent = "data: [DONE]\n\n";

}  // namespace chalksail::core::testing
