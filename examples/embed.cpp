// The smallest embedding: one gateway, one reader, one writer, one request from arrival to its end.
#include <chalksail/chalksail.hpp>
#include <iostream>

using namespace chalksail;
using namespace std::chrono_literals;

int main() {
    Settings settings;
    ClassSettings chat;
    chat.name = "chat";
    chat.aim = 1s;
    chat.token_aim = 50ms;
    chat.deadline = 5s;
    settings.classes = {chat};
    settings.kinds = {{"prefill", Role::prefill, 200'000}, {"decode", Role::decode, 150'000}};
    settings.tick = 4ms;
    settings.release_within = 300ms;
    settings.max_attempts = 4;

    Brain brain(settings, 1);
    Time now(1s);
    const auto play = [&](const std::vector<Event>& events) {
        std::string server;
        for (const auto& action : brain.step(now, events))
            if (const auto* send = std::get_if<Send>(&action)) server = send->server.value;
        now += 20ms;
        return server;
    };

    ListChanged list;
    list.entries.resize(2);
    list.entries[0].id = {"reader-1"};
    list.entries[0].kind = "prefill";
    list.entries[1].id = {"writer-1"};
    list.entries[1].kind = "decode";
    play({list});

    Arrived request;
    request.id = {1};
    request.class_name = "chat";
    request.session = "s1";
    request.time_left = 5s;
    request.prompt_tokens = 1200;
    const auto reader = play({request});
    const auto writer = play({AttemptEnded{{1}, {0}, {reader}, Outcome::read, 20ms, false, 0, {}}});
    play({StreamStarted{{1}, {1}, {writer}, 20ms}});
    play({AttemptEnded{{1}, {1}, {writer}, Outcome::ok, 40ms, true, 0, {}}});

    std::cout << "read at " << reader << ", written at " << writer
              << ", still tracked: " << brain.tracked_requests() << '\n';
    return reader == "reader-1" && writer == "writer-1" && brain.tracked_requests() == 0 ? 0 : 1;
}
