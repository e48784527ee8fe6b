#include "base/digest.h"
#include "base/time.h"
#include "tests/process/fleet.h"
#include "tests/process/httpclient.h"
#include "tests/process/upstream.h"

#include <CppUTest/TestHarness.h>
#include <csignal>

using namespace hawthornpick;
using namespace hawthornpick::processtest;

namespace {

const header_map KEY{{"X-Api-Key", "key of acme"}};

auto declaration(double rate, unsigned burst, bool withKey) -> std::string
{
    auto text = "[organisation acme]\nrate = " + std::to_string(rate)
                + "\nburst = " + std::to_string(burst)
                + "\n[service work]\nfloor = 0.5\ntimeout_ms = 4000\n"
                  "[route read]\npath = /read\nmethods = GET\nservice = work\n"
                  "[route write]\npath = /write\nmethods = POST\nservice = work\n"
                  "idempotent = no\n";
    if (withKey) {
        text += "[key k1]\norganisation = acme\nsha256 = "
                + base::toHex(base::sha256("key of acme")) + "\n";
    }
    return text;
}

// Above what one connection can send, so that only the tests of rates see a refusal for the rate.
const std::string WIDE = declaration(50000, 50000, true);

} // namespace

TEST_GROUP(process)
{
    fleet m_fleet;
    std::vector<std::unique_ptr<stand_in_upstream>> m_upstreams;

    auto addUpstream(const std::string &node)->stand_in_upstream &
    {
        m_upstreams.push_back(std::make_unique<stand_in_upstream>(
                m_fleet.announceAddress(node), "work", "work", m_fleet.ip(node)));
        return *m_upstreams.back();
    }

    auto waitUntilServed(const std::string &node)->void
    {
        waitUntil("a read is answered", [&] {
            const auto answer = http_client(m_fleet.callerAddress(node)).send("GET", "/read", KEY);
            return answer && answer->status == 200;
        });
    }

    auto executions(const std::string &body) const->int
    {
        int sum = 0;
        for (const auto &upstream : m_upstreams) {
            sum += upstream->executions(body);
        }
        return sum;
    }

    auto teardown()->void override
    {
        m_upstreams.clear();
    }
};

// Guards against a key that is still honoured on an open connection, or by a node that is cut off
// from the others, after the set without it was reported to be in force.
TEST(process, revokedKeyIsRefusedEverywhereOnceTheChangeIsInForce)
{
    addUpstream("a2");
    addUpstream("b2");
    m_fleet.applyAndWait(WIDE);
    waitUntilServed("a3");
    waitUntilServed("b3");
    http_client open(m_fleet.callerAddress("a3"));
    http_client isolated(m_fleet.callerAddress("b3"));
    CHECK_EQUAL(200U, open.send("GET", "/read", KEY)->status);
    CHECK_EQUAL(200U, isolated.send("GET", "/read", KEY)->status);
    // b3 still sends to the others but hears nothing from them.
    m_fleet.setFaults(m_fleet.cutRules({"a1", "a2", "a3", "b1", "b2"}, {"b3"}));
    const auto base = m_fleet.versionOf("a1").value_or(0);
    const auto applied = m_fleet.apply("a1", "revoke", base, declaration(1000, 1000, false));
    CHECK(applied.has_value());
    STRCMP_EQUAL("in_force", jsonText(applied->body, "state").c_str());
    const auto onOpen = open.send("GET", "/read", KEY);
    STRCMP_EQUAL("key_invalid", onOpen->reason.c_str());
    const auto onIsolated = isolated.send("GET", "/read", KEY);
    CHECK(onIsolated.has_value());
    CHECK(onIsolated->status != 200);
    STRCMP_EQUAL("not_run", onIsolated->outcome.c_str());
}

// Guards against requests that reach an evacuated failure domain once the order is in force, and
// against one that stays out of use.
TEST(process, evacuatedDomainGetsNoRequestsUntilItIsTakenBack)
{
    auto &upstream = addUpstream("a2");
    addUpstream("a3");
    m_fleet.applyAndWait(WIDE);
    http_client client(m_fleet.callerAddress("a2"));
    const auto isUsed = [&] {
        const int before = upstream.started();
        for (int i = 0; i < 20; ++i) {
            (void)client.send("GET", "/read", KEY);
        }
        return upstream.started() > before;
    };
    waitUntil("the upstream is used", isUsed);
    waitUntil("the evacuation is in force", [&] {
        const auto answer = m_fleet.evacuate("a2", "evacuate", "a0", true);
        return answer && jsonText(answer->body, "state") == "in_force";
    });
    const int before = upstream.started();
    for (int i = 0; i < 50; ++i) {
        const auto answer = client.send("GET", "/read", KEY);
        CHECK(answer.has_value());
        CHECK_EQUAL(200U, answer->status);
    }
    CHECK_EQUAL(before, upstream.started());
    CHECK_EQUAL(409U, m_fleet.evacuate("a2", "last", "a1", true)->status);
    CHECK_EQUAL(409U, m_fleet.evacuate("a2", "unknown", "nowhere", true)->status);
    waitUntil("the evacuation is ended", [&] {
        const auto answer = m_fleet.evacuate("a2", "take-back", "a0", false);
        return answer && jsonText(answer->body, "state") == "in_force";
    });
    waitUntil("the upstream is used again", isUsed);
}

// Guards against a caller's key that reaches an upstream, and against a request without a key that
// runs.
TEST(process, upstreamSeesNoKeyAndKeylessRequestsDoNotRun)
{
    auto &upstream = addUpstream("b2");
    m_fleet.applyAndWait(WIDE);
    waitUntilServed("a3");
    http_client client(m_fleet.callerAddress("a3"));
    CHECK_EQUAL(200U,
                client.send("GET", "/read/1", {{"Authorization", "Bearer key of acme"}})->status);
    const int before = upstream.started();
    CHECK_EQUAL(401U, client.send("GET", "/read", {})->status);
    CHECK_EQUAL(401U, client.send("GET", "/read", {{"X-Api-Key", "another key"}})->status);
    CHECK_EQUAL(400U, client.send("GET", "/read?api_key=key%20of%20acme", KEY)->status);
    CHECK_EQUAL(before, upstream.started());
    CHECK(!upstream.sawText("key of acme"));
}

// Guards against a doubled payment when the caller repeats it through other nodes, also while the
// first entry node is killed.
TEST(process, repeatedWriteRunsOnceWhateverNodeGetsIt)
{
    addUpstream("a2").setLatency(std::chrono::milliseconds(300));
    addUpstream("b2").setLatency(std::chrono::milliseconds(300));
    m_fleet.applyAndWait(WIDE);
    waitUntilServed("a3");
    waitUntilServed("b3");
    const auto write = [this](const std::string &node, const std::string &body) {
        auto headers = KEY;
        headers["Idempotency-Key"] = body;
        return http_client(m_fleet.callerAddress(node)).send("POST", "/write", headers, body);
    };
    // Replicas that have just started wait for one another before they answer; until then a claim
    // is refused as not run.
    waitUntil("records can be claimed", [&] {
        const auto answer = write("a3", "trial");
        return answer && answer->status == 200;
    });
    const auto first = write("a3", "payment 1");
    STRCMP_EQUAL("", first->reason.c_str());
    CHECK_EQUAL(200U, first->status);
    const auto repeat = write("b3", "payment 1");
    STRCMP_EQUAL("", repeat->reason.c_str());
    CHECK_EQUAL(200U, repeat->status);
    STRCMP_EQUAL("done payment 1", repeat->body.c_str());
    CHECK_EQUAL(1, executions("payment 1"));

    std::thread interrupted([&] { write("a3", "payment 2"); });
    waitUntil("the write has started", [&] { return executions("payment 2") == 1; });
    m_fleet.kill("a3");
    interrupted.join();
    for (const auto *node : {"b3", "a2", "b1"}) {
        const auto answer = write(node, "payment 2");
        CHECK(answer.has_value());
        CHECK(answer->status != 200 || answer->body == "done payment 2");
    }
    CHECK_EQUAL(1, executions("payment 2"));
}

// Guards against a rate that is counted by each node alone.
TEST(process, rateAndBurstCountOverAllNodes)
{
    constexpr double RATE = 20;
    constexpr unsigned BURST = 30;
    addUpstream("a2");
    addUpstream("b2");
    m_fleet.applyAndWait(declaration(RATE, BURST, true));
    waitUntilServed("a3");
    waitUntilServed("b3");
    std::atomic<int> admitted{0};
    std::atomic<int> refused{0};
    const auto start = base::clock::now();
    std::vector<std::thread> callers;
    for (const auto &place : m_fleet.nodes()) {
        callers.emplace_back([this, place, &admitted, &refused] {
            http_client client(m_fleet.callerAddress(place.name));
            for (int i = 0; i < 300; ++i) {
                const auto answer = client.send("GET", "/read", KEY);
                const bool overRate = answer && answer->status == 429;
                ++(overRate ? refused : admitted);
            }
        });
    }
    for (auto &caller : callers) {
        caller.join();
    }
    const auto seconds = base::toSeconds(base::clock::now() - start);
    CHECK(admitted <= static_cast<int>(RATE * seconds + BURST) + 1);
    CHECK(refused > 0);
    CHECK(admitted > 0);
}

// Guards against a shutdown that cuts requests, and against one that never ends.
TEST(process, gracefulShutdownCutsNoRequest)
{
    addUpstream("a2").setLatency(std::chrono::milliseconds(50));
    addUpstream("a3").setLatency(std::chrono::milliseconds(50));
    m_fleet.applyAndWait(WIDE);
    waitUntilServed("a2");
    waitUntilServed("a3");
    std::atomic<int> complete{0};
    std::atomic<int> failed{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < 6; ++i) {
        callers.emplace_back([this, i, &complete, &failed] {
            http_client client(m_fleet.callerAddress(i % 2 == 0 ? "a1" : "a2"));
            for (int n = 0; n < 60; ++n) {
                const auto answer = client.send("GET", "/read", KEY);
                if (answer && answer->status == 200) {
                    ++complete;
                } else if (i % 2 == 0 || answer) {
                    ++failed;
                } else {
                    // a2 is gone; a new connection to it is refused, which cuts no request.
                    return;
                }
            }
        });
    }
    waitUntil("requests are under way", [&] { return complete > 20; });
    m_fleet.signal("a2", SIGTERM);
    const auto status = m_fleet.wait("a2");
    for (auto &caller : callers) {
        caller.join();
    }
    CHECK(status.has_value());
    CHECK_EQUAL(0, *status);
    CHECK_EQUAL(0, failed.load());
}

// Guards against a node that ends at once, with its requests under way, when it gets SIGTERM again
// while it stops.
TEST(process, secondStopSignalCutsNoRequest)
{
    constexpr std::chrono::milliseconds WORK_TIME{3000};
    auto &upstream = addUpstream("a2");
    m_fleet.applyAndWait(WIDE);
    waitUntilServed("a2");
    upstream.setLatency(WORK_TIME);
    const int before = upstream.started();
    std::optional<http_answer> answer;
    std::thread caller(
            [&] { answer = http_client(m_fleet.callerAddress("a2")).send("GET", "/read", KEY); });
    waitUntil("the request is under way", [&] { return upstream.started() > before; });
    m_fleet.signal("a2", SIGTERM);
    std::this_thread::sleep_for(WORK_TIME / 10);
    m_fleet.signal("a2", SIGTERM);
    const auto status = m_fleet.wait("a2");
    caller.join();
    CHECK(status.has_value());
    CHECK_EQUAL(0, *status);
    CHECK(answer.has_value());
    CHECK_EQUAL(200U, answer->status);
}

// Guards against an upstream that gets work after it announced that it drains.
TEST(process, drainingUpstreamGetsNoNewWork)
{
    auto &draining = addUpstream("a2");
    auto &other = addUpstream("b2");
    m_fleet.applyAndWait(WIDE);
    waitUntilServed("a3");
    draining.setState("draining");
    http_client client(m_fleet.callerAddress("a3"));
    int seen = draining.started();
    waitUntil("requests go to the other upstream only", [&] {
        seen = draining.started();
        const int before = other.started();
        bool served = true;
        for (int i = 0; i < 10; ++i) {
            served = client.send("GET", "/read", KEY)->status == 200 && served;
        }
        return served && draining.started() == seen && other.started() >= before + 10;
    });
    for (int i = 0; i < 100; ++i) {
        CHECK_EQUAL(200U, client.send("GET", "/read", KEY)->status);
    }
    CHECK_EQUAL(seen, draining.started());
}

// Guards against an accepted set that is lost or changed when the leader is killed while it
// applies, and against a resend that applies twice.
TEST(process, killedLeaderLosesNoAcceptedChange)
{
    m_fleet.applyAndWait(WIDE);
    const auto base = m_fleet.versionOf("b2").value_or(0);
    const auto leader = m_fleet.leader("b2");
    std::optional<operator_answer> answer;
    std::thread applying([&] {
        answer = m_fleet.apply("b2", "during-kill", base, declaration(500, 500, true));
    });
    m_fleet.kill(leader);
    applying.join();
    CHECK(answer.has_value());
    std::string state;
    waitUntil("the change is decided", [&] {
        const auto again = m_fleet.apply("b2", "during-kill", base, declaration(500, 500, true));
        state = again ? jsonText(again->body, "state") : "";
        return state == "in_force" || state == "rejected";
    });
    const auto first = jsonText(answer->body, "state");
    CHECK(first == "undecided" || first == state);
    const auto version = m_fleet.versionOf("b2").value_or(0);
    CHECK_EQUAL(state == "in_force" ? base + 1 : base, version);
    m_fleet.start(leader);
    waitUntil("the restarted node is ready", [&] { return m_fleet.isReady(leader); });
    CHECK_EQUAL(version, m_fleet.versionOf(leader).value_or(0));
}

// Guards against two operators that both believe to have won.
TEST(process, racingChangesHaveOneWinner)
{
    m_fleet.applyAndWait(WIDE);
    const auto base = m_fleet.versionOf("a1").value_or(0);
    std::optional<operator_answer> left;
    std::optional<operator_answer> right;
    std::thread other(
            [&] { left = m_fleet.apply("a2", "left", base, declaration(100, 100, true)); });
    right = m_fleet.apply("b1", "right", base, declaration(200, 200, true));
    other.join();
    CHECK(left.has_value() && right.has_value());
    const auto leftWon = jsonText(left->body, "state") == "in_force";
    const auto rightWon = jsonText(right->body, "state") == "in_force";
    CHECK(leftWon != rightWon);
    const auto &loser = leftWon ? *right : *left;
    const auto &winner = leftWon ? *left : *right;
    STRCMP_EQUAL("rejected", jsonText(loser.body, "state").c_str());
    CHECK_EQUAL(409U, loser.status);
    // The loser may have been told before the winner was accepted; asked again, it learns who won.
    const auto later = m_fleet.apply("b2", "late", base, declaration(300, 300, true));
    STRCMP_EQUAL(jsonText(winner.body, "digest").c_str(), jsonText(later->body, "digest").c_str());
}

// Guards against a fleet that stops to serve when the regions or the controllers are away, and
// against a change that is accepted by one region alone.
TEST(process, regionsServeWhileCutAndAcceptNothing)
{
    addUpstream("a2");
    addUpstream("b2");
    m_fleet.applyAndWait(WIDE);
    waitUntilServed("a3");
    waitUntilServed("b3");
    const std::vector<std::string> left{"a1", "a2", "a3"};
    const std::vector<std::string> right{"b1", "b2", "b3"};
    auto rules = m_fleet.cutRules(left, right);
    const auto back = m_fleet.cutRules(right, left);
    rules.insert(rules.end(), back.begin(), back.end());
    m_fleet.setFaults(rules);
    const auto base = m_fleet.versionOf("a1").value_or(0);
    const auto during = m_fleet.apply("a1", "while-cut", base, declaration(300, 300, true));
    CHECK(during.has_value());
    CHECK(jsonText(during->body, "state") != "in_force");
    waitUntilServed("a3");
    waitUntilServed("b3");
    m_fleet.setFaults({});
    waitUntil("a change is accepted after the cut", [&] {
        const auto now = m_fleet.versionOf("a1").value_or(0);
        const auto answer = m_fleet.apply("a1", "after-" + std::to_string(now), now,
                                          declaration(400, 400, true));
        return answer && jsonText(answer->body, "state") == "in_force";
    });
}

// Guards against nodes that need the controllers to serve or to start.
TEST(process, nodesServeAndRestartWithoutControllers)
{
    addUpstream("a2");
    addUpstream("b2");
    m_fleet.applyAndWait(WIDE);
    waitUntilServed("b3");
    // Two of three controllers are gone, while each region keeps all its witnesses.
    m_fleet.kill("a3");
    m_fleet.kill("b3");
    waitUntilServed("b1");
    // A witness without a disk must recover from the other witnesses.
    m_fleet.kill("b2");
    m_fleet.start("b2");
    waitUntil("the restarted node is ready", [&] { return m_fleet.isReady("b2"); });
    waitUntilServed("b2");
    const auto base = m_fleet.versionOf("a1").value_or(0);
    const auto refused = m_fleet.apply("a1", "no-quorum", base, declaration(10, 10, true));
    CHECK(refused.has_value());
    CHECK(jsonText(refused->body, "state") != "in_force");
}

// Guards against a failing upstream that stays in service, and against ejections that go below the
// floor when most upstreams fail.
TEST(process, failingUpstreamIsEjectedAndTheFloorHolds)
{
    auto &first = addUpstream("a1");
    auto &second = addUpstream("a2");
    auto &third = addUpstream("a3");
    addUpstream("b1");
    m_fleet.applyAndWait(WIDE);
    waitUntilServed("a1");
    http_client client(m_fleet.callerAddress("a1"));
    // Different targets, because repeated failures of one request count once.
    int number = 0;
    const auto sendSome = [&client, &number] {
        for (int i = 0; i < 20; ++i) {
            client.send("GET", "/read/" + std::to_string(++number), KEY);
        }
    };
    first.setFailing(true);
    waitUntil("the failing upstream is ejected", [&] {
        sendSome();
        return m_fleet.ejectedUpstreams("b2") == 1;
    });
    // Region a announces 12 slots and its floor is 6: with one of three upstreams ejected, a second
    // ejection would leave 4.
    second.setFailing(true);
    third.setFailing(true);
    const auto end = base::clock::now() + std::chrono::seconds(6);
    while (base::clock::now() < end) {
        sendSome();
        CHECK(m_fleet.ejectedUpstreams("b2") <= 1);
    }
}
