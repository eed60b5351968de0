// A minimal embedding: one gateway with one prefill server and one decode server serves one request.
#include <chalksail/chalksail.hpp>
#include <iostream>

using namespace chalksail;
using namespace std::chrono_literals;

int main() {
    Settings settings;
    RequestClassSettings chat;
    chat.name = "chat";
    chat.first_token_objective = 1s;
    chat.inter_token_objective = 50ms;
    chat.deadline = 5s;
    settings.classes = {chat};
    settings.kinds = {{"prefill", Role::prefill, 200'000}, {"decode", Role::decode, 150'000}};
    settings.tick = 4ms;
    settings.release_within = 300ms;
    settings.max_attempts = 4;

    Router router(settings, 1);
    Time now(1s);
    const auto step = [&](const std::vector<Event>& events) {
        std::string server;
        for (const auto& action : router.step(now, events))
            if (const auto* send = std::get_if<Send>(&action)) server = send->server.value;
        now += 20ms;
        return server;
    };

    EndpointUpdate list;
    list.endpoints.resize(2);
    list.endpoints[0].id = {"prefill-1"};
    list.endpoints[0].kind = "prefill";
    list.endpoints[1].id = {"decode-1"};
    list.endpoints[1].kind = "decode";
    step({list});

    RequestArrived request;
    request.id = {1};
    request.class_name = "chat";
    request.session = "s1";
    request.time_remaining = 5s;
    request.prompt_tokens = 1200;
    const auto prefill_server = step({request});
    const auto decode_server = step(
        {AttemptEnded{{1}, {0}, {prefill_server}, AttemptOutcome::prefilled, 20ms, false, false, 0, {}}});
    step({StreamStarted{{1}, {1}, {decode_server}, 20ms}});
    step({AttemptEnded{{1}, {1}, {decode_server}, AttemptOutcome::ok, 40ms, true, false, 0, {}}});

    std::cout << "prefill at " << prefill_server << ", decode at " << decode_server
              << ", still tracked: " << router.tracked_requests() << '\n';
    return prefill_server == "prefill-1" && decode_server == "decode-1" && router.tracked_requests() == 0 ? 0
                                                                                                          : 1;
}
