// Each rule's checker catches a gateway that breaks it: the real core, with a shell that is broken on
// purpose.
#include <gtest/gtest.h>

#include <algorithm>

#include "lab/scenarios.hpp"
#include "simulation/simulation.hpp"

namespace chalksail::lab {
namespace {

template <class T>
void drop(std::vector<core::Input>& inputs) {
    std::erase_if(inputs, [](const auto& i) { return std::holds_alternative<T>(i); });
}

// Breaches of each rule on this day, with that tampering.
std::map<int, int> breaches(const std::string& faults, Tampering tampering) {
    Simulation day(scenario("troubles {\n" + faults + "\n}", 4));
    day.tamper(std::move(tampering));
    std::map<int, int> out;
    for (const auto& b : day.run().breaches) out[b.rule] += 1;
    return out;
}

constexpr const char* kCrashes = R"(crash at="5s" for="6s" engines="decode" share=0.4)";

TEST(Checker, NothingIsFoundWhereNothingIsBroken) { EXPECT_TRUE(breaches(kCrashes, {}).empty()); }

TEST(Checker, Rule1AnAnswerIsLost) {
    int seen = 0;
    const auto found =
        breaches("", {{}, [&](std::vector<core::Output>& outputs) {
                          std::erase_if(outputs, [&](const core::Output& o) {
                              return std::holds_alternative<core::SendResponse>(o) && ++seen % 10 == 0;
                          });
                      }});
    EXPECT_GT(found.count(1), 0U);
}

TEST(Checker, Rule1SentAfterTheClientDisconnected) {
    const auto found =
        breaches(R"(give_up at="1s" for="28s" part=0.6)",
                 {[](std::vector<core::Input>& inputs) { drop<core::ClientClosed>(inputs); }, {}});
    EXPECT_GT(found.count(1), 0U);
}

TEST(Checker, Rule1AnsweredTooLate) {
    // What it says is kept back, and comes out all at once every four thousand steps.
    int steps = 0;
    std::vector<core::Output> withheld;
    const auto found =
        breaches(R"(vanish at="5s" for="8s" share=0.5)", {{}, [&](std::vector<core::Output>& outputs) {
                                                              for (auto& o : outputs)
                                                                  withheld.push_back(std::move(o));
                                                              outputs.clear();
                                                              if (++steps % 4000 == 0) outputs.swap(withheld);
                                                          }});
    EXPECT_GT(found.count(1), 0U);
}

TEST(Checker, Rule2TwoAttemptsOut) {
    const auto found = breaches("", {{}, [](std::vector<core::Output>& outputs) {
                                         for (std::size_t i = 0, n = outputs.size(); i < n; ++i) {
                                             const auto* call = std::get_if<core::Call>(&outputs[i]);
                                             if (call == nullptr || call->kind != core::CallKind::attempt)
                                                 continue;
                                             core::Call copy = *call;
                                             copy.call.value += 1'000'000'000;
                                             outputs.push_back(std::move(copy));
                                         }
                                     }});
    EXPECT_GT(found.count(2), 0U);
}

TEST(Checker, Rule2OnceRunsAgain) {
    // A shell that says "no connection" of breaks, and hides that anything was sent.
    const auto found = breaches(R"(origin_slow at="2s" for="20s" factor=60
        crash at="5s" for="2s" engines="decode" share=0.8
        crash at="10s" for="2s" engines="decode" share=0.8)",
                                {[](std::vector<core::Input>& inputs) {
                                     drop<core::CallSent>(inputs);
                                     for (auto& i : inputs)
                                         if (auto* f = std::get_if<core::CallFailed>(&i))
                                             f->ending = engine::ExchangeEnd::dial_failed;
                                 },
                                 {}});
    EXPECT_GT(found.count(2), 0U);
}

// An edge may act on the news that a server is back before its own answer to the news has come in; a second
// before is no such case.
TEST(Checker, Rule3SentAtOnceWhenTheServerIsBack) {
    const auto at = [](RecordKind what, Duration when, const std::string& termination) {
        Record r;
        r.at = Time(when);
        r.kind = what;
        r.request = what == RecordKind::notified ? "" : "c1";
        r.gateway = "e";
        r.server = "s";
        r.termination = termination;
        return r;
    };
    const auto broken = [&](Duration early) {
        const auto rule_report = check({at(RecordKind::notified, std::chrono::seconds(1), "removed"),
                                        at(RecordKind::taken, std::chrono::seconds(5) - early, ""),
                                        at(RecordKind::notified, std::chrono::seconds(5), "started")},
                                       {});
        return std::count_if(rule_report.breaches.begin(), rule_report.breaches.end(),
                             [](const auto& b) { return b.rule == 3; });
    };
    EXPECT_EQ(broken(std::chrono::microseconds(43)), 0);
    EXPECT_EQ(broken(std::chrono::seconds(1)), 1);
}

TEST(Checker, Rule3SentToADrainingServer) {
    const auto found = breaches(R"(preempt at="5s" for="6s" engines="decode" share=0.6 notice="5s")",
                                {[](std::vector<core::Input>& inputs) {
                                     for (auto& i : inputs)
                                         if (auto* list = std::get_if<membership::EndpointList>(&i))
                                             for (auto& s : list->endpoints)
                                                 s.endpoint.state = EndpointState::up;
                                 },
                                 {}});
    EXPECT_GT(found.count(3), 0U);
}

TEST(Checker, Rule4AServerInSlowStartIsOverloaded) {
    // Once told that a reader has started anew, this gateway sends it every read.
    Simulation day(scenario(R"(troubles { crash at="3s" for="2s" server="prefill-2"; }
        clients 150)",
                            4));
    std::string started;
    membership::EndpointConfig entry;
    day.tamper({[&](std::vector<core::Input>& inputs) {
                    for (auto& i : inputs)
                        if (auto* list = std::get_if<membership::EndpointList>(&i))
                            for (auto& s : list->endpoints)
                                if (s.endpoint.started_at != Time{} && s.endpoint.state == EndpointState::up)
                                    started = s.endpoint.id.value;
                },
                [&](std::vector<core::Output>& outputs) {
                    for (auto& o : outputs)
                        if (auto* call = std::get_if<core::Call>(&o))
                            if (!started.empty() && call->server.starts_with("prefill") &&
                                call->kind == core::CallKind::attempt)
                                call->server = started;
                }});
    int found = 0;
    for (const auto& b : day.run(std::chrono::seconds(10)).breaches) found += b.rule == 4 ? 1 : 0;
    EXPECT_GT(found, 0);
}

TEST(Checker, Rule5AStateIsLeftBehind) {
    const auto found = breaches(R"(preempt at="5s" for="6s" engines="decode" share=1 notice="3s")",
                                {{}, [](std::vector<core::Output>& outputs) {
                                     std::erase_if(outputs, [](const core::Output& o) {
                                         const auto* call = std::get_if<core::Call>(&o);
                                         return call != nullptr && call->kind == core::CallKind::release;
                                     });
                                 }});
    EXPECT_GT(found.count(5), 0U);
}

TEST(Records, ComeBackFromTheirLines) {
    Record r;
    r.at = Time(Duration(123456789));
    r.kind = RecordKind::requested;
    r.request = "c\"1";
    r.gateway = "g";
    r.cls = "once";
    r.effect = Idempotency::non_idempotent;
    r.group = DeduplicationScope::zone;
    r.deadline = std::chrono::seconds(4);
    const auto back = parse(format(r));
    ASSERT_TRUE(back);
    EXPECT_EQ(format(*back), format(r));
    EXPECT_FALSE(parse("{}"));
    EXPECT_FALSE(parse("x"));
}

}  // namespace
}  // namespace chalksail::lab
