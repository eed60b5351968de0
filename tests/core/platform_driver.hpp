// Drives an edge core on the users' platform by hand.
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
    explicit Platform(const config::EdgeSettings& with) : Driver(with) { list_default_servers(); }
    void receive(const std::string& bytes, std::uint64_t client = 1, std::optional<Time> received_at = {}) {
        http::RequestReader reader({});
        std::string_view remaining = bytes;
        step({ClientRequest{{client}, std::get<http::Request>(reader.feed(remaining)), received_at}});
    }
    void written(CallId call) { step({CallSent{call}, CallWritten{call}}); }
    void respond(CallId call, int status, const std::string& bytes = "", const std::string& not_run = "") {
        http::Headers headers;
        if (!not_run.empty()) headers.add("X-Unprocessed", not_run);
        written(call);
        step({CallHead{call, status, headers}, CallBody{call, bytes}, CallDone{call}});
    }
    // Sends a request and completes its prefill. Returns the call of the decode attempt that follows.
    CallId advance_to_decode(const std::string& class_name = "chat") {
        receive(platform_text::post("9b1f", class_name));
        EXPECT_EQ(sent().size(), 1U);
        now += 20ms;
        respond(sent().back().call, 202, R"({"cached_tokens":40})");
        EXPECT_EQ(sent().size(), 2U);
        return sent().back().call;
    }
};
inline const std::string kEvent = "data: {\"choices\":[]}\n\n";
inline const std::string kDoneEvent = "data: [DONE]\n\n";

}  // namespace chalksail::core::testing
