#include "upstream/internal/coldprobe.h"
#include "upstream/upstreamservice.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <set>

// Defines `new` as a macro, which Boost's headers don't allow.
#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using base::error_kind;
using membership::upstream_state;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto AS_TUPLE = asio::as_tuple(asio::use_awaitable);
const base::service_id SERVICE("s");
const base::route_id ROUTE("r");
const std::string HEALTH_PATH = "/health";

//! An upstream on the loopback interface.
class stand_in
{
public:
    explicit stand_in(asio::io_context &context)
        : m_context(context), m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_acceptor.local_endpoint().port(); }

    auto closeConnections() -> void
    {
        for (auto *socket : m_sockets) {
            socket->close();
        }
    }

    std::string id = "u";
    std::string coldTime;
    unsigned status = 200;
    int questions = 0;
    int questionConnections = 0;
    int requests = 0;

private:
    auto accept() -> asio::awaitable<void>
    {
        while (true) {
            auto [error, socket] = co_await m_acceptor.async_accept(AS_TUPLE);
            if (error) {
                co_return;
            }
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }

    auto serve(tcp::socket socket) -> asio::awaitable<void>
    {
        m_sockets.insert(&socket);
        boost::beast::flat_buffer buffer;
        bool isFirstQuestion = true;
        while (true) {
            http::request<http::string_body> request;
            const auto [error, count] =
                    co_await http::async_read(socket, buffer, request, AS_TUPLE);
            if (error) {
                break;
            }
            const bool isQuestion = request.target() == HEALTH_PATH;
            ++(isQuestion ? questions : requests);
            if (isQuestion && std::exchange(isFirstQuestion, false)) {
                ++questionConnections;
            }
            http::response<http::string_body> answer(
                    isQuestion ? http::int_to_status(status) : http::status::ok, 11);
            answer.set("Instance-Id", id);
            answer.set("Keep-Alive", "timeout=5");
            if (!coldTime.empty()) {
                answer.set("Cold-Ms", coldTime);
            }
            answer.prepare_payload();
            const auto [writeError, written] = co_await http::async_write(socket, answer, AS_TUPLE);
            if (writeError) {
                break;
            }
        }
        m_sockets.erase(&socket);
    }

    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    std::set<tcp::socket *> m_sockets;
};

auto makeConfiguration(double rate) -> config::snapshot_pointer
{
    config::service service;
    service.id = SERVICE;
    service.coldRate = rate;
    service.coldTime = seconds(60);
    service.healthPath = HEALTH_PATH;
    config::config_set set;
    set.services.push_back(service);
    return std::make_shared<const config::snapshot>(1, std::move(set));
}

auto makeWire() -> upstream::wire_profile
{
    upstream::wire_profile wire;
    wire.upstreamId = "Instance-Id";
    wire.coldTime = "Cold-Ms";
    return wire;
}

} // namespace

TEST_GROUP(cold_probe)
{
    asio::io_context m_context{1};
    stand_in m_standIn{m_context};
    config::snapshot_cell m_configuration{makeConfiguration(4.0)};
    std::optional<error_kind> m_placeRefusal;
    std::unique_ptr<upstream::upstream_service> m_service;
    std::uint64_t m_attempts = 0;

    void setup() override
    {
        upstream::executor_hooks hooks;
        hooks.checkPlace = [this](const upstream::attempt_request &) -> base::result<void> {
            if (m_placeRefusal) {
                return base::fail(*m_placeRefusal);
            }
            return {};
        };
        m_service = std::make_unique<upstream::upstream_service>(
                std::vector{&m_context}, membership::endpoint{},
                upstream::service_dependencies{base::node_id("n"),
                                               1,
                                               m_configuration,
                                               hooks,
                                               {},
                                               makeWire(),
                                               upstream::executor_options{false, false, 1.0}});
        announce(std::nullopt);
    }

    void teardown() override
    {
        m_service->stop();
        m_context.run_for(milliseconds(50));
        m_service.reset();
    }

    auto announce(std::optional<milliseconds> coldRemaining, base::incarnation incarnation = 1)
            ->void
    {
        const upstream::announcement received{"u",
                                              SERVICE,
                                              {"127.0.0.1", m_standIn.port()},
                                              50,
                                              upstream_state::Ready,
                                              incarnation,
                                              0,
                                              coldRemaining};
        CHECK(m_service->registry().announce(received, base::clock::now())
              == upstream::announce_result::Accepted);
    }

    auto startAttempt(std::shared_ptr<std::vector<std::optional<error_kind>>> results)
            ->asio::awaitable<void>
    {
        upstream::attempt_request request;
        request.attempt = {1, ++m_attempts};
        request.service = SERVICE;
        request.route = ROUTE;
        request.idempotent = true;
        request.method = "GET";
        request.target = "/work";
        request.requestId = std::to_string(m_attempts);
        request.deadline = base::clock::now() + seconds(5);
        upstream::answer_sink sink;
        sink.start = [](upstream::answer_start) -> asio::awaitable<base::result<void>> {
            co_return base::result<void>();
        };
        sink.data = [](std::string) -> asio::awaitable<base::result<void>> {
            co_return base::result<void>();
        };
        upstream::cancellation cancel;
        const upstream::body_source source;
        const auto result = co_await m_service->executorOf(0).run(request, source, sink, cancel);
        results->push_back(result.failure ? std::optional(result.failure->kind) : std::nullopt);
    }

    //! Runs attempts at once and returns how many were refused because the upstream is cold; the
    //! others were answered.
    auto countRefused(int count)->int
    {
        const auto results = std::make_shared<std::vector<std::optional<error_kind>>>();
        for (int i = 0; i < count; ++i) {
            asio::co_spawn(m_context, startAttempt(results), asio::detached);
        }
        runUntil([&] { return results->size() == static_cast<std::size_t>(count); });
        int refused = 0;
        for (const auto &failure : *results) {
            CHECK(!failure || *failure == error_kind::UpstreamCold);
            refused += failure ? 1 : 0;
        }
        return refused;
    }

    auto runUntil(const std::function<bool()> &isDone)->void
    {
        const auto end = base::clock::now() + seconds(5);
        while (!isDone() && base::clock::now() < end) {
            m_context.run_for(milliseconds(5));
            m_context.restart();
        }
        CHECK(isDone());
    }

    auto isCold()->bool
    {
        return m_service->executorOf(0).loadOf(SERVICE)->startRate >= 0.0;
    }

    auto runFor(milliseconds time)->void
    {
        m_context.run_for(time);
        m_context.restart();
    }
};

// Guards against an upstream in doubt that stays limited although it would say that it is warm, and
// against one that gets the whole load before it has said so.
TEST(cold_probe, upstreamInDoubtIsAskedAndThenServesAll)
{
    CHECK(isCold());
    DOUBLES_EQUAL(4.0, m_service->executorOf(0).loadOf(SERVICE)->startRate, 1e-9);
    CHECK(countRefused(20) >= 17);
    CHECK(m_standIn.requests <= 3);
    runFor(milliseconds(100));
    CHECK(!isCold());
    LONGS_EQUAL(1, m_standIn.questions);
    LONGS_EQUAL(0, countRefused(20));
}

// Guards against requests above the rate for a cold upstream, and questions that aren't needed.
TEST(cold_probe, coldUpstreamGetsNotMoreThanItsRate)
{
    m_standIn.coldTime = "1500";
    countRefused(1);
    runUntil([this] { return m_standIn.questions == 1; });
    runFor(milliseconds(300));
    const auto start = base::clock::now();
    int answered = 0;
    while (base::clock::now() < start + milliseconds(900)) {
        answered += 5 - countRefused(5);
        runFor(milliseconds(20));
    }
    CHECK(answered <= 4);
    LONGS_EQUAL(1, m_standIn.questions);
    runUntil([this] { return !isCold(); });
    LONGS_EQUAL(0, countRefused(20));
    LONGS_EQUAL(1, m_standIn.questions);
}

// Guards against the answer of another process at the address, or of one that fails, that makes an
// upstream count as warm, and against questions more often than once a second.
TEST(cold_probe, onlyTheUpstreamItselfEndsTheDoubt)
{
    m_standIn.id = "other";
    const auto start = base::clock::now();
    while (base::clock::now() < start + milliseconds(500)) {
        countRefused(3);
        runFor(milliseconds(50));
    }
    CHECK(isCold());
    LONGS_EQUAL(1, m_standIn.questions);
    m_standIn.id = "u";
    m_standIn.status = 503;
    countRefused(1);
    runUntil([this] {
        countRefused(1);
        return m_standIn.questions == 2;
    });
    runFor(milliseconds(50));
    CHECK(isCold());
}

// Guards against an upstream that restarts unnoticed and gets the whole load.
TEST(cold_probe, lostConnectionPutsTheUpstreamInDoubtAgain)
{
    countRefused(1);
    runUntil([this] { return !isCold(); });
    m_standIn.closeConnections();
    runUntil([this] { return isCold(); });
    CHECK(countRefused(20) >= 16);
    runUntil([this] {
        countRefused(1);
        return !isCold();
    });
    LONGS_EQUAL(2, m_standIn.questions);
    LONGS_EQUAL(2, m_standIn.questionConnections);
}

// Guards against an upstream that stays in doubt after an evacuation because the connection of an
// earlier answer is still watched, and against a new connection for each question.
TEST(cold_probe, watchedUpstreamIsAskedAgain)
{
    countRefused(1);
    runUntil([this] { return !isCold(); });
    m_service->registry().startGates()->onDoubtOfAll(base::clock::now());
    CHECK(isCold());
    m_standIn.coldTime = "400";
    runUntil([this] {
        countRefused(1);
        return m_standIn.questions == 2;
    });
    runFor(milliseconds(50));
    CHECK(isCold());
    runUntil([this] { return !isCold(); });
    LONGS_EQUAL(1, m_standIn.questionConnections);
    m_standIn.closeConnections();
    runUntil([this] { return isCold(); });
}

// Guards against questions to, and limits for, upstreams that said that they are warm or that can't
// be cold.
TEST(cold_probe, announcedAndUnlimitedUpstreamsAreNotAsked)
{
    announce(milliseconds(0), 2);
    LONGS_EQUAL(0, countRefused(20));
    m_configuration.store(makeConfiguration(0.0));
    announce(milliseconds(60'000), 3);
    CHECK(!isCold());
    LONGS_EQUAL(0, countRefused(20));
    LONGS_EQUAL(0, m_standIn.questions);
    m_configuration.store(makeConfiguration(4.0));
    CHECK(isCold());
    CHECK(countRefused(20) >= 16);
}

// Guards against a request that waits for its slot and starts at a place that a newer configuration
// doesn't allow, and against one that waits on although its failure domain is evacuated.
TEST(cold_probe, waitingRequestsObeyNewPlaces)
{
    announce(milliseconds(0), 2);
    const auto queue = m_service->registry().table().load()->queueOf(SERVICE);
    std::vector<policy::slot_grant> held;
    for (std::uint64_t i = 0; i < 50; ++i) {
        const policy::slot_request request{{2, i}, {}, 1, base::clock::now() + seconds(5), true};
        held.push_back(queue->acquire(request, base::clock::now(), {}).value().value());
    }
    const auto results = std::make_shared<std::vector<std::optional<error_kind>>>();
    asio::co_spawn(m_context, startAttempt(results), asio::detached);
    runFor(milliseconds(20));
    CHECK(results->empty());
    m_placeRefusal = error_kind::NoAllowedRegion;
    queue->release(held.back(), true, base::clock::now());
    runUntil([&] { return results->size() == 1; });
    CHECK(results->back() == error_kind::NoAllowedRegion);

    m_placeRefusal.reset();
    const policy::slot_request request{{3, 1}, {}, 1, base::clock::now() + seconds(5), true};
    CHECK(queue->acquire(request, base::clock::now(), {}).value().has_value());
    asio::co_spawn(m_context, startAttempt(results), asio::detached);
    runFor(milliseconds(20));
    queue->refuseWaiting(error_kind::UpstreamEvacuated);
    runUntil([&] { return results->size() == 2; });
    CHECK(results->back() == error_kind::UpstreamEvacuated);
    LONGS_EQUAL(0, m_standIn.requests);
    LONGS_EQUAL(0, queue->load().waiting);
}
