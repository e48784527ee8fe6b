#include "peer/runtime.h"

#include "base/random.h"
#include "peer/internal/datagram.h"
#include "peer/tests/linkfixture.h"

#include <boost/asio/ip/udp.hpp>
#include <thread>

using namespace hawthornpick;
using namespace hawthornpick::peer;
using namespace hawthornpick::peer::test;
namespace asio = boost::asio;

namespace {

auto unusedPort(asio::io_context &context) -> std::uint16_t
{
    const asio::ip::udp::socket probe(context, {asio::ip::address_v4::loopback(), 0});
    return probe.local_endpoint().port();
}

//! Sending and receiving runtime, and a link pool that accepts the TCP messages to the receiver.
class runtime_pair
{
public:
    explicit runtime_pair(asio::io_context &context, base::incarnation senderIncarnation = 1)
        : m_receiverLinks(context, "receiver", 1), m_receiverPort(m_receiverLinks.address().port),
          m_sender(makeSender(context, senderIncarnation)),
          m_receiver(std::make_unique<control_runtime>(
                  context, link_identity{base::node_id("receiver"), 1, "fleet secret", ""},
                  m_receiverLinks.address(), [](const base::node_id &) { return std::nullopt; },
                  m_metrics))
    {}

    auto makeSender(asio::io_context &context, base::incarnation senderIncarnation)
            -> std::unique_ptr<control_runtime>
    {
        return std::make_unique<control_runtime>(
                context,
                link_identity{base::node_id("sender"), senderIncarnation, "fleet secret", ""},
                membership::endpoint{"127.0.0.1", unusedPort(context)},
                [this](const base::node_id &node) -> std::optional<membership::endpoint> {
                    if (node.str() != "receiver") {
                        return std::nullopt;
                    }
                    return membership::endpoint{"127.0.0.1", m_receiverPort};
                },
                m_metrics);
    }

    auto sender() -> control_runtime & { return *m_sender; }
    auto receiver() -> control_runtime & { return *m_receiver; }
    auto receiverLinks() -> test_peer & { return m_receiverLinks; }
    auto metrics() -> base::metrics & { return m_metrics; }

private:
    base::metrics m_metrics;
    test_peer m_receiverLinks;
    std::uint16_t m_receiverPort;
    std::unique_ptr<control_runtime> m_sender;
    std::unique_ptr<control_runtime> m_receiver;
};

auto toReceiver(std::string payload) -> base::outgoing_message
{
    return {base::node_id("receiver"), base::channel::Lease, std::move(payload)};
}

} // namespace

TEST_GROUP(runtime_test){};

// Guards against accepting a datagram that has another fleet secret or receiver, or is damaged.
TEST(runtime_test, datagramsWithAnotherSecretReceiverOrContentAreRefused)
{
    const base::node_id self("self");
    const auto bytes = encodeDatagram("secret", self,
                                      {base::node_id("peer"), 9, base::channel::Rate, "content"});
    const auto decoded = decodeDatagram("secret", self, bytes);
    CHECK_TRUE(decoded.has_value());
    STRCMP_EQUAL("peer", decoded->from.str().c_str());
    CHECK_EQUAL(9U, decoded->incarnation);
    CHECK_TRUE(decoded->channel == base::channel::Rate);
    CHECK_TRUE(decoded->payload == "content");
    CHECK_FALSE(decodeDatagram("other secret", self, bytes).has_value());
    CHECK_FALSE(decodeDatagram("secret", base::node_id("other"), bytes).has_value());
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        auto damaged = bytes;
        damaged[i] = static_cast<char>(damaged[i] ^ 1);
        CHECK_FALSE(decodeDatagram("secret", self, damaged).has_value());
        CHECK_FALSE(decodeDatagram("secret", self, bytes.substr(0, i)).has_value());
    }
}

// Guards against messages that are lost or truncated around the size limit of datagrams.
TEST(runtime_test, smallMessagesAreSentAsDatagramsAndLargeOnesOverALink)
{
    asio::io_context context;
    runtime_pair pair(context);
    std::vector<std::size_t> receivedSizes;
    const auto receive = [&](const base::node_id &from, std::string_view payload,
                             base::time_point) -> control_runtime::messages {
        STRCMP_EQUAL("sender", from.str().c_str());
        receivedSizes.push_back(payload.size());
        return {};
    };
    pair.receiver().onMessage(base::channel::Lease, receive);
    pair.receiver().start();
    pair.sender().start();
    pair.sender().send({toReceiver(std::string(1200, 'a')), toReceiver(std::string(1201, 'b'))});
    CHECK_TRUE(runUntil(context, [&] {
        return receivedSizes.size() == 1 && pair.receiverLinks().messages.size() == 1;
    }));
    CHECK_EQUAL(1200U, receivedSizes.front());
    CHECK_EQUAL(1201U, pair.receiverLinks().messages.front().payload.size());
    const auto &large = pair.receiverLinks().messages.front();
    pair.receiver().deliver(large.to, large.kind, large.payload);
    CHECK_TRUE(runUntil(context, [&] { return receivedSizes.size() == 2; }));
}

// Guards against accepting a delayed datagram of a process that has been restarted.
TEST(runtime_test, datagramsOfAnOlderIncarnationAreRefused)
{
    asio::io_context context;
    runtime_pair pair(context, 2);
    const auto older = pair.makeSender(context, 1);
    std::vector<std::string> received;
    pair.receiver().onMessage(base::channel::Lease,
                              [&](const base::node_id &, std::string_view payload,
                                  base::time_point) -> control_runtime::messages {
                                  received.emplace_back(payload);
                                  return {};
                              });
    pair.receiver().start();
    pair.sender().start();
    older->start();
    pair.sender().send({toReceiver("new")});
    CHECK_TRUE(runUntil(context, [&] { return received.size() == 1; }));
    older->send({toReceiver("old")});
    auto &refused = pair.metrics().counter("control_datagrams_refused_total",
                                           "Control datagrams refused: malformed, wrong "
                                           "authentication tag or outdated incarnation");
    CHECK_TRUE(runUntil(context, [&] { return refused.Value() == 1.0; }));
    CHECK_EQUAL(1U, received.size());
}

// Guards against a process that is never heard because its host's clock was set back before its
// start.
TEST(runtime_test, datagramsOfASuccessorWithALowerIncarnationAreAccepted)
{
    asio::io_context context;
    base::metrics metrics;
    const membership::endpoint receiverAddress{"127.0.0.1", unusedPort(context)};
    const membership::endpoint senderAddress{"127.0.0.1", unusedPort(context)};
    const auto resolve = [&](const base::node_id &node) {
        return std::optional(node.str() == "receiver" ? receiverAddress : senderAddress);
    };
    const auto makeRuntime = [&](const std::string &name, base::incarnation incarnation,
                                 const membership::endpoint &address) {
        return std::make_unique<control_runtime>(
                context, link_identity{base::node_id(name), incarnation, "fleet secret", ""},
                address, resolve, metrics);
    };
    const auto receiver = makeRuntime("receiver", 1, receiverAddress);
    std::vector<std::string> received;
    receiver->onMessage(base::channel::Lease,
                        [&](const base::node_id &, std::string_view payload,
                            base::time_point) -> control_runtime::messages {
                            received.emplace_back(payload);
                            return {};
                        });
    receiver->start();
    auto sender = makeRuntime("sender", 900, senderAddress);
    sender->start();
    sender->send({toReceiver("former")});
    CHECK_TRUE(runUntil(context, [&] { return received.size() == 1; }));
    sender.reset();
    sender = makeRuntime("sender", 20, senderAddress);
    sender->start();
    sender->send({toReceiver("current")});
    CHECK_TRUE(runUntil(context, [&] { return received.size() == 2; }));
    STRCMP_EQUAL("current", received.back().c_str());
}

// Guards against posted tasks that are lost, and against ticks that stop.
TEST(runtime_test, ticksRepeatAndPostedTasksOfOtherThreadsRun)
{
    asio::io_context context;
    runtime_pair pair(context);
    constexpr int TASKS = 1000;
    int tickCount = 0;
    int taskCount = 0;
    pair.receiver().onTick([&](base::time_point) -> control_runtime::messages {
        ++tickCount;
        return {};
    });
    pair.receiver().start();
    std::thread postingThread([&] {
        for (int i = 0; i < TASKS; ++i) {
            pair.receiver().post([&](base::time_point) -> control_runtime::messages {
                ++taskCount;
                return {};
            });
        }
    });
    CHECK_TRUE(runUntil(context, [&] { return taskCount == TASKS && tickCount >= 3; }));
    postingThread.join();
}
