// Randomized soak: runs the processes of a mesh, injects faults from outside them and checks what
// the fleet promises. Exits with 1 if a promise is broken; the same seed gives the same faults.

#include "base/random.h"
#include "platform/internal/wirenames.h"
#include "platform/tests/messages.h"
#include "tests/process/httpclient.h"
#include "tests/soak/noticepromises.h"
#include "tests/soak/promises.h"
#include "tests/support/meshfleet.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <atomic>
#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <iostream>
#include <unistd.h>

ABSL_FLAG(std::string, binary, HAWTHORNPICK_BINARY, "program to run");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the faults");
ABSL_FLAG(int, seconds, 15, "time with faults");
ABSL_FLAG(int, cores, 3, "nodes with a data folder");
ABSL_FLAG(int, edges, 6, "nodes with an upstream");
ABSL_FLAG(bool, crashing_requests, false,
          "also send requests that end each upstream that runs them");
ABSL_FLAG(bool, evacuations, false, "also evacuate failure domains and take them back");
ABSL_FLAG(bool, notices, false,
          "one upstream names a request limit, and one says after a while that it leaves");
ABSL_FLAG(int, callers, 10, "callers, each with connections of its own");

using namespace hawthornpick;
using namespace hawthornpick::soak;
using processtest::http_client;
using testsupport::mesh_fleet;

namespace {

namespace messages = platform::messages;

constexpr unsigned NARROW_RATE = 8;
constexpr std::uint64_t REQUEST_DEADLINE_MS = 3000;
//! Time until everything is served again after the last fault.
constexpr std::chrono::seconds RECOVERY_TIME{15};
constexpr std::chrono::seconds START_LIMIT{30};
constexpr base::milliseconds POLL_INTERVAL{100};
//! Start of the paths of requests that end their upstreams.
constexpr std::string_view CRASHING_PATH = "/r/crash";
//! Time for which an ended upstream is down.
constexpr base::milliseconds UPSTREAM_DOWN_TIME{1000};
//! Failure domains of the fleet; node n is in domain n modulo this number.
constexpr int DOMAIN_COUNT = 4;
//! Time for which no request may reach an evacuated domain after the last fault.
constexpr base::milliseconds EVACUATION_CHECK_TIME{3000};
//! Time that an upstream works on a request.
constexpr base::milliseconds WORK_TIME{30};

const auto NAMES = platform::wireNames();

auto pause(base::milliseconds span) -> void
{
    std::this_thread::sleep_for(span);
}

//! Sends reads and writes of both organisations to all edge nodes over kept connections.
class caller
{
public:
    caller(const mesh_fleet &fleet, promises &record, notice_promises &notices, int number,
           std::uint64_t seed)
        : m_promises(record), m_notices(notices), m_number(number), m_random(seed),
          m_firstEdge(fleet.cores())
    {
        for (int node = fleet.cores(); node < fleet.size(); ++node) {
            m_clients.emplace_back(std::make_unique<http_client>(fleet.callerAddress(node)));
        }
    }

    auto run(const std::stop_token &stop) -> void
    {
        while (!stop.stop_requested()) {
            sendOne(m_random.below(m_clients.size()));
            pause(base::milliseconds(m_random.below(60)));
        }
    }

    //! Sends a request to one edge node; returns the status, 0 without an answer.
    auto sendOne(std::size_t edge) -> unsigned
    {
        const bool isWrite = m_random.chance(0.5);
        const std::string organisation = m_random.chance(0.3) ? "narrow" : "wide";
        const auto id = std::to_string(m_number) + "-" + std::to_string(++m_count);
        m_promises.onSent(id, organisation, isWrite, base::clock::now());
        m_notices.onSent(id, m_firstEdge + static_cast<int>(edge), base::clock::now());
        const auto answer = m_clients.at(edge)->send(
                isWrite ? "POST" : "GET", (isWrite ? "/w/" : "/r/") + id,
                messages::requestHeaders(id, organisation, REQUEST_DEADLINE_MS),
                isWrite ? "body" : "");
        if (!answer) {
            return 0;
        }
        m_promises.onAnswer(id, answer->status, answer->body);
        m_notices.onAnswer(
                id, answer->headers.contains(boost::algorithm::to_lower_copy(NAMES.requestLimit)),
                answer->headers.contains(boost::algorithm::to_lower_copy(NAMES.leaving)),
                base::clock::now());
        if (answer->reason == "crash_suspected") {
            m_promises.fail("a request that ends no upstream was refused as one that does");
        }
        return answer->status;
    }

    //! Sends one of a few requests that end each upstream that runs them, again and again.
    auto repeatCrashingRequests(const std::stop_token &stop) -> void
    {
        while (!stop.stop_requested()) {
            const auto id = "crash-" + std::to_string(++m_count);
            const auto target = std::string(CRASHING_PATH) + std::to_string(m_random.below(3));
            m_promises.onSent(id, "wide", false, base::clock::now());
            (void)m_clients.at(m_random.below(m_clients.size()))
                    ->send("GET", target,
                           messages::requestHeaders(id, "wide", REQUEST_DEADLINE_MS));
            pause(base::milliseconds(m_random.below(600)));
        }
    }

private:
    promises &m_promises;
    notice_promises &m_notices;
    int m_number;
    int m_count = 0;
    base::random_source m_random;
    int m_firstEdge;
    std::vector<std::unique_ptr<http_client>> m_clients;
};

//! Changes the configuration and reads it back at changing nodes.
class configuration_operator
{
public:
    configuration_operator(const mesh_fleet &fleet, promises &record, std::uint64_t seed)
        : m_fleet(fleet), m_promises(record), m_random(seed)
    {}

    auto run(const std::stop_token &stop) -> void
    {
        while (!stop.stop_requested()) {
            changeOnce();
            pause(base::milliseconds(100 + m_random.below(500)));
            read();
        }
    }

    //! Sends a change until it has a clear answer or `attempts` had none; true if it was accepted.
    auto changeOnce(int attempts = 40) -> bool
    {
        const auto version = m_base + 1 + m_random.below(5);
        const auto body = messages::configuration(version, NARROW_RATE);
        for (int i = 0; i < attempts; ++i) {
            const auto answer =
                    clientOf(anyCore()).send("PUT", path(), messages::changeHeaders(m_base), body);
            if (answer && answer->status == 200) {
                m_promises.onAcknowledged(version, base::clock::now());
                m_base = version;
                return true;
            }
            if (answer && answer->status == 412) {
                m_promises.fail("a change was refused although no other one was made");
                return false;
            }
            pause(POLL_INTERVAL);
        }
        m_hasUnclear = true;
        return false;
    }

    //! Version that a random node returns; nothing if it doesn't know for certain.
    auto read() -> std::optional<std::uint64_t>
    {
        const auto sentAt = base::clock::now();
        const auto answer = clientOf(anyCore()).send("GET", path(), {});
        if (!answer || answer->status != 200) {
            return std::nullopt;
        }
        const auto version = messages::versionOf(answer->body);
        m_promises.onRead(version, sentAt);
        if (answer->body != messages::configuration(version, NARROW_RATE)) {
            m_promises.fail("read another document than was sent");
        }
        if (m_hasUnclear && version > m_base) {
            m_base = version;
            m_hasUnclear = false;
        }
        return version;
    }

private:
    static auto path() -> std::string { return std::string(messages::CONFIGURATION_PATH); }
    auto anyCore() -> int
    {
        return static_cast<int>(m_random.below(static_cast<std::uint64_t>(m_fleet.cores())));
    }
    auto clientOf(int node) -> http_client { return http_client(m_fleet.controlAddress(node)); }

    const mesh_fleet &m_fleet;
    promises &m_promises;
    base::random_source m_random;
    std::uint64_t m_base = 0;
    bool m_hasUnclear = false;
};

//! Evacuates failure domains and takes them back, one after the other, at changing nodes.
class evacuation_operator
{
public:
    evacuation_operator(const mesh_fleet &fleet, std::uint64_t seed)
        : m_fleet(fleet), m_random(seed)
    {}

    //! Returns after an order to start was acknowledged and `stop` was requested.
    auto run(const std::stop_token &stop) -> void
    {
        while (true) {
            m_domain = static_cast<int>(m_random.below(DOMAIN_COUNT));
            orderUntilAcknowledged("POST");
            pause(base::milliseconds(500 + m_random.below(2000)));
            if (stop.stop_requested()) {
                return;
            }
            orderUntilAcknowledged("DELETE");
        }
    }

    //! Domain of the last acknowledged order.
    [[nodiscard]] auto domain() const -> int { return m_domain; }
    [[nodiscard]] auto acknowledgedCount() const -> int { return m_acknowledgedCount; }

private:
    auto orderUntilAcknowledged(const std::string &method) -> void
    {
        const auto path = "/evacuation/d" + std::to_string(m_domain);
        while (true) {
            const auto core = m_random.below(static_cast<std::uint64_t>(m_fleet.cores()));
            const auto answer = http_client(m_fleet.controlAddress(static_cast<int>(core)))
                                        .send(method, path, {});
            if (answer && answer->status == 200) {
                ++m_acknowledgedCount;
                return;
            }
            pause(POLL_INTERVAL);
        }
    }

    const mesh_fleet &m_fleet;
    base::random_source m_random;
    int m_domain = 0;
    int m_acknowledgedCount = 0;
};

//! Injects faults one after the other; several may be under way at once.
class fault_injector
{
public:
    fault_injector(mesh_fleet &fleet, notice_promises &notices, std::uint64_t seed)
        : m_fleet(fleet), m_notices(notices), m_random(seed)
    {}

    auto run(base::duration span) -> void
    {
        const auto end = base::clock::now() + span;
        while (base::clock::now() < end) {
            inject();
            pause(base::milliseconds(100 + m_random.below(900)));
            mend(base::clock::now());
        }
        mend(base::time_point::max());
        m_fleet.setFaults({});
    }

private:
    struct fault
    {
        base::time_point endsAt;
        std::function<void()> mend;
        std::vector<faultproxy::rule> rules;
    };

    auto anyNode() -> int
    {
        return static_cast<int>(m_random.below(static_cast<std::uint64_t>(m_fleet.size())));
    }

    auto add(std::vector<faultproxy::rule> rules, std::function<void()> mendIt) -> void
    {
        const auto length = base::milliseconds(300 + m_random.below(3000));
        m_faults.push_back({base::clock::now() + length, std::move(mendIt), std::move(rules)});
        applyRules();
    }

    auto inject() -> void
    {
        switch (m_random.below(7)) {
        case 0:
            return stopProcess(anyNode(), SIGKILL);
        case 1:
            return stopProcess(anyNode(), SIGTERM);
        case 2:
            return freeze(anyNode());
        case 3:
            return cutNodes(false);
        case 4:
            return cutNodes(true);
        case 5:
            return disturb();
        default:
            return killCores();
        }
    }

    auto stopProcess(int node, int number) -> void
    {
        log("signal " + std::to_string(number), node);
        m_notices.onStopped(node);
        m_fleet.signal(node, number);
        add({}, [this, node] {
            m_fleet.kill(node);
            m_fleet.start(node);
            m_notices.onStopped(node);
        });
    }

    auto freeze(int node) -> void
    {
        log("freeze", node);
        m_notices.onStopped(node);
        m_fleet.signal(node, SIGSTOP);
        add({}, [this, node] {
            m_fleet.signal(node, SIGCONT);
            m_notices.onStopped(node);
        });
    }

    auto killCores() -> void
    {
        if (!m_random.chance(0.3)) {
            return;
        }
        log("kill all cores", 0);
        for (int node = 0; node < m_fleet.cores(); ++node) {
            m_fleet.kill(node);
        }
        add({}, [this] {
            for (int node = 0; node < m_fleet.cores(); ++node) {
                m_fleet.start(node);
            }
        });
    }

    auto cutNodes(bool isOneWay) -> void
    {
        const int node = anyNode();
        log(isOneWay ? "cut one way" : "cut", node);
        std::vector<faultproxy::rule> rules;
        for (int other = 0; other < m_fleet.size(); ++other) {
            if (other == node || m_random.chance(0.3)) {
                continue;
            }
            for (const auto &rule : m_fleet.cut(node, other)) {
                rules.push_back(rule);
            }
            for (const auto &rule :
                 isOneWay ? std::vector<faultproxy::rule>{} : m_fleet.cut(other, node)) {
                rules.push_back(rule);
            }
        }
        m_notices.onCut(node);
        add(std::move(rules), [this, node] { m_notices.onCut(node); });
    }

    auto disturb() -> void
    {
        using enum faultproxy::fault_kind;
        log("delay, loss or reset on all links", -1);
        const auto kind = std::array{Delay, Loss, Reset}.at(m_random.below(3));
        add({{"", "", std::nullopt, kind, kind == Delay ? 20 + m_random.below(200) : 20}}, nullptr);
    }

    auto applyRules() -> void
    {
        std::vector<faultproxy::rule> rules;
        for (const auto &item : m_faults) {
            rules.insert(rules.end(), item.rules.begin(), item.rules.end());
        }
        m_fleet.setFaults(std::move(rules));
    }

    auto mend(base::time_point now) -> void
    {
        for (std::size_t i = 0; i < m_faults.size();) {
            if (m_faults[i].endsAt > now) {
                ++i;
                continue;
            }
            const auto ended = std::move(m_faults[i]);
            m_faults.erase(m_faults.begin() + static_cast<std::ptrdiff_t>(i));
            if (ended.mend) {
                ended.mend();
            }
        }
        applyRules();
    }

    static auto log(const std::string &what, int node) -> void
    {
        std::cout << base::wallClockMilliseconds() << " " << what << " " << node << std::endl;
    }

    mesh_fleet &m_fleet;
    notice_promises &m_notices;
    base::random_source m_random;
    std::vector<fault> m_faults;
};

//! Records what an upstream was given, and answers it.
auto answer(promises &record, webapi::request incoming, std::map<std::string, std::string> notice)
        -> boost::asio::awaitable<webapi::response>
{
    const auto id = testsupport::headerValue(incoming, NAMES.requestId);
    record.onExecuted(id, testsupport::headerValue(incoming, NAMES.organisation),
                      !incoming.bearerToken.empty(), base::clock::now());
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, WORK_TIME);
    co_await timer.async_wait(boost::asio::use_awaitable);
    webapi::response response{200, "text/plain", promises::answerTo(id)};
    response.headers = std::move(notice);
    response.headers[NAMES.requestId] = id;
    co_return response;
}

//! Returns the headers in which the upstream beside a node says something of itself, and records
//! the request. The first upstream names a limit; the last one leaves after half of the time.
auto noticeOf(const mesh_fleet &fleet, notice_promises &notices, int node, const std::string &id,
              base::time_point leavesAt) -> std::map<std::string, std::string>
{
    const auto now = base::clock::now();
    if (node == fleet.cores()) {
        notices.onLimitedRun(id, now);
        return {{NAMES.requestLimit, std::to_string(notice_promises::LIMIT)}};
    }
    if (node == fleet.size() - 1 && now >= leavesAt) {
        notices.onLeavingRun(id);
        return {{NAMES.leaving, "1"}};
    }
    return {};
}

auto waitUntilServed(const mesh_fleet &fleet, caller &probe, base::duration limit) -> bool
{
    const auto end = base::clock::now() + limit;
    const auto edges = static_cast<std::size_t>(fleet.size() - fleet.cores());
    for (std::size_t edge = 0; edge < edges;) {
        if (base::clock::now() > end) {
            return false;
        }
        if (probe.sendOne(edge) == 200) {
            ++edge;
        } else {
            pause(POLL_INTERVAL);
        }
    }
    return true;
}

auto soakOnce(std::uint64_t seed) -> std::vector<std::string>
{
    promises record({"narrow", NARROW_RATE, NARROW_RATE});
    notice_promises notices;
    std::atomic<base::time_point> leavesAt{base::time_point::max()};
    std::array<std::atomic<int>, DOMAIN_COUNT> runsByDomain{};
    const auto folder = std::filesystem::temp_directory_path()
                        / ("hawthornpick-soak-" + std::to_string(getpid()));
    mesh_fleet fleet(absl::GetFlag(FLAGS_binary), folder,
                     {absl::GetFlag(FLAGS_cores), absl::GetFlag(FLAGS_edges)},
                     [&](int node, webapi::request incoming) {
                         ++runsByDomain.at(static_cast<std::size_t>(node % DOMAIN_COUNT));
                         if (incoming.path.starts_with(CRASHING_PATH)) {
                             fleet.crashUpstream(node, UPSTREAM_DOWN_TIME);
                         }
                         std::map<std::string, std::string> notice;
                         if (absl::GetFlag(FLAGS_notices)) {
                             const auto id = testsupport::headerValue(incoming, NAMES.requestId);
                             notice = noticeOf(fleet, notices, node, id, leavesAt);
                         }
                         return answer(record, std::move(incoming), std::move(notice));
                     });
    configuration_operator changes(fleet, record, seed + 1);
    caller probe(fleet, record, notices, 0, seed + 2);
    if (!changes.changeOnce(300) || !waitUntilServed(fleet, probe, START_LIMIT)) {
        return {"the fleet does not start"};
    }
    std::vector<std::jthread> threads;
    threads.emplace_back([&changes](const std::stop_token &stop) { changes.run(stop); });
    if (absl::GetFlag(FLAGS_crashing_requests)) {
        threads.emplace_back([&, seed](const std::stop_token &stop) {
            caller(fleet, record, notices, -1, seed + 3).repeatCrashingRequests(stop);
        });
    }
    evacuation_operator evacuations(fleet, seed + 4);
    std::optional<std::jthread> evacuationThread;
    if (absl::GetFlag(FLAGS_evacuations)) {
        evacuationThread.emplace(
                [&evacuations](const std::stop_token &stop) { evacuations.run(stop); });
    }
    for (int i = 1; i <= absl::GetFlag(FLAGS_callers); ++i) {
        threads.emplace_back([&, seed, i](const std::stop_token &stop) {
            caller(fleet, record, notices, i, seed * 1000 + static_cast<std::uint64_t>(i))
                    .run(stop);
        });
    }
    const std::chrono::seconds span(absl::GetFlag(FLAGS_seconds));
    leavesAt = base::clock::now() + span / 2;
    fault_injector(fleet, notices, seed).run(span);
    const bool isServed = waitUntilServed(fleet, probe, RECOVERY_TIME);
    if (evacuationThread) {
        evacuationThread.reset();
        pause(promises::APPLY_TIME);
        const auto &runs = runsByDomain.at(static_cast<std::size_t>(evacuations.domain()));
        const int before = runs;
        pause(EVACUATION_CHECK_TIME);
        if (runs != before) {
            record.fail("requests reached an evacuated failure domain");
        }
        std::cout << evacuations.acknowledgedCount() << " evacuation orders acknowledged\n";
    }
    for (auto &thread : threads) {
        thread.request_stop();
    }
    threads.clear();
    if (!isServed) {
        record.fail("not every node served again in time");
    }
    const auto end = base::clock::now() + RECOVERY_TIME;
    auto version = changes.read();
    while (!version && base::clock::now() < end) {
        pause(POLL_INTERVAL);
        version = changes.read();
    }
    if (version.value_or(0) < record.newestAcknowledged()) {
        record.fail("an acknowledged version is gone");
    }
    std::cout << "seed " << seed << ": " << record.summary() << "\n";
    auto broken = record.broken();
    const auto brokenNotices = notices.broken();
    broken.insert(broken.end(), brokenNotices.begin(), brokenNotices.end());
    if (broken.empty()) {
        std::filesystem::remove_all(folder);
    } else {
        std::cout << "logs are in " << folder << "\n";
    }
    return broken;
}

} // namespace

auto main(int argumentCount, char **arguments) -> int
{
    absl::SetProgramUsageMessage("runs a mesh under random faults and checks its promises");
    absl::ParseCommandLine(argumentCount, arguments);
    const auto broken = soakOnce(absl::GetFlag(FLAGS_seed));
    for (const auto &what : broken) {
        std::cout << "BROKEN: " << what << "\n";
    }
    return broken.empty() ? 0 : 1;
}
