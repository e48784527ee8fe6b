#include "peer/internal/incarnationguard.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <string>

using namespace hawthornpick;
using peer::held_datagram;
using peer::incarnation_guard;

namespace {

using std::chrono::milliseconds;

const base::node_id SENDER("sender");
const base::time_point START{std::chrono::seconds(1000)};

auto datagramOf(base::incarnation incarnation, const std::string &payload = "p") -> held_datagram
{
    return {SENDER, incarnation, base::channel::Directory, payload};
}

//! What is under way to the receiver.
struct in_flight
{
    base::time_point arrival;
    int process = 0;
    base::incarnation incarnation = 0;
    //! Nonce of the challenge that is answered, or 0 for a datagram.
    std::uint64_t nonce = 0;
};

//! One sender that restarts with arbitrary incarnations, and one receiver.
class guarded_sender
{
public:
    explicit guarded_sender(std::uint64_t seed)
        : m_random(seed), m_guard(seed), m_now(START), m_incarnation(m_random.below(100) + 1)
    {}

    auto restart() -> void
    {
        ++m_process;
        // Two processes of a host never start in the same millisecond.
        const auto former = m_incarnation;
        while (m_incarnation == former) {
            m_incarnation = m_random.below(100) + 1;
        }
        m_startedAt = m_now;
    }

    auto step() -> void
    {
        m_now += milliseconds(20);
        if (!m_isCut) {
            send(0);
        }
        std::vector<in_flight> due;
        std::erase_if(m_inFlight, [&](const in_flight &item) {
            if (item.arrival > m_now) {
                return false;
            }
            due.push_back(item);
            return true;
        });
        for (const auto &item : due) {
            receive(item);
        }
        (void)m_guard.expire(m_now);
    }

    auto setCut(bool isCut) -> void
    {
        m_isCut = isCut;
        m_reachableSince = isCut ? m_now : m_reachableSince;
    }
    auto random() -> base::random_source & { return m_random; }
    //! Time since the last accepted datagram of the current process, without cuts.
    [[nodiscard]] auto silence() const -> base::duration
    {
        return m_now - std::max({m_startedAt, m_lastAcceptedAt, m_reachableSince});
    }

    //! Number of datagrams of a former process that were accepted after one of its successor.
    [[nodiscard]] auto acceptedFormerCount() const -> int { return m_acceptedFormer; }

private:
    auto send(std::uint64_t nonce) -> void
    {
        for (int copy = m_random.chance(0.1) ? 2 : 1; copy > 0; --copy) {
            if (!m_random.chance(0.1)) {
                const milliseconds delay(m_random.chance(0.05) ? m_random.below(3000)
                                                               : m_random.below(40));
                m_inFlight.push_back({m_now + delay, m_process, m_incarnation, nonce});
            }
        }
    }

    auto receive(const in_flight &item) -> void
    {
        if (item.nonce != 0) {
            const auto released = m_guard.onProof(SENDER, item.incarnation, item.nonce);
            for (const auto &accepted : released.accepted) {
                onAccepted(std::stoi(accepted.payload));
            }
            return;
        }
        if (m_guard.isCurrent(SENDER, item.incarnation)) {
            onAccepted(item.process);
            return;
        }
        const auto nonce =
                m_guard.hold(datagramOf(item.incarnation, std::to_string(item.process)), m_now);
        if (nonce && !m_isCut) {
            send(*nonce);
        }
    }

    auto onAccepted(int process) -> void
    {
        m_newestAccepted = std::max(m_newestAccepted, process);
        if (process == m_process) {
            m_lastAcceptedAt = m_now;
        }
        m_acceptedFormer += process < m_newestAccepted ? 1 : 0;
    }

    base::random_source m_random;
    incarnation_guard m_guard;
    base::time_point m_now;
    base::incarnation m_incarnation;
    int m_process = 0;
    int m_newestAccepted = 0;
    int m_acceptedFormer = 0;
    bool m_isCut = false;
    base::time_point m_startedAt = START;
    base::time_point m_lastAcceptedAt = START;
    base::time_point m_reachableSince = START;
    std::vector<in_flight> m_inFlight;
};

} // namespace

TEST_GROUP(incarnation_guard){};

// Guards against a successor that is never heard because its clock was set back.
TEST(incarnation_guard, acceptsALowerIncarnationAfterItsProof)
{
    incarnation_guard guard(1);
    CHECK(guard.isCurrent(SENDER, 9));
    CHECK(!guard.isCurrent(SENDER, 4));
    const auto nonce = guard.hold(datagramOf(4), START);
    CHECK(nonce.has_value());
    const auto released = guard.onProof(SENDER, 4, *nonce);
    CHECK_EQUAL(1U, released.accepted.size());
    CHECK(guard.isCurrent(SENDER, 4));
    CHECK(!guard.isCurrent(SENDER, 9));
}

// Guards against a late datagram of a former process that replaces its successor, also if its
// incarnation is higher.
TEST(incarnation_guard, refusesAFormerProcessWhoseSuccessorAnswers)
{
    for (const base::incarnation former : {2U, 900U}) {
        incarnation_guard guard(1);
        CHECK(guard.isCurrent(SENDER, 40));
        const auto nonce = guard.hold(datagramOf(former), START);
        const auto released = guard.onProof(SENDER, 40, *nonce);
        CHECK(released.accepted.empty());
        CHECK_EQUAL(1U, released.refused.size());
        CHECK(guard.isCurrent(SENDER, 40));
    }
}

// Guards against an answer to another challenge, and against datagrams that are held for ever or
// without limit.
TEST(incarnation_guard, boundsWhatItHolds)
{
    incarnation_guard guard(1);
    CHECK(guard.isCurrent(SENDER, 9));
    const auto nonce = guard.hold(datagramOf(4), START);
    CHECK(guard.onProof(SENDER, 4, *nonce + 2).accepted.empty());
    for (std::size_t i = 0; i < 2 * incarnation_guard::MAX_HELD_DATAGRAMS; ++i) {
        CHECK(!guard.hold(datagramOf(4), START).has_value());
    }
    CHECK(guard.hold(datagramOf(4), START + incarnation_guard::CHALLENGE_INTERVAL).has_value());
    CHECK(guard.expire(START + incarnation_guard::HOLD_TIME - milliseconds(1)).empty());
    CHECK_EQUAL(incarnation_guard::MAX_HELD_DATAGRAMS,
                guard.expire(START + incarnation_guard::HOLD_TIME).size());
    CHECK(guard.onProof(SENDER, 4, *nonce).accepted.empty());
}

// Guards against a node that is never heard after its restart, because it answers each challenge
// later than datagrams are held.
TEST(incarnation_guard, acceptsAProofThatComesLaterThanDatagramsAreHeld)
{
    incarnation_guard guard(1);
    CHECK(guard.isCurrent(SENDER, 9));
    const auto nonce = guard.hold(datagramOf(4), START);
    const auto later = START + incarnation_guard::HOLD_TIME + milliseconds(200);
    CHECK_EQUAL(1U, guard.expire(START + incarnation_guard::HOLD_TIME).size());
    CHECK(guard.hold(datagramOf(4), later).has_value());
    const auto released = guard.onProof(SENDER, 4, *nonce);
    CHECK_EQUAL(1U, released.accepted.size());
    CHECK(guard.isCurrent(SENDER, 4));
}

// Guards against both faults at once under loss, duplication, long delays, cuts and restarts with
// clocks stepped in both directions: the current process is heard within a second, and a former
// one isn't after it.
TEST(incarnation_guard, hearsTheCurrentProcessOnlyWhateverItsClock)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        guarded_sender sender(seed);
        int cutSteps = 0;
        for (int i = 0; i < 5000; ++i) {
            if (sender.random().chance(0.004)) {
                sender.restart();
            }
            if (cutSteps == 0 && sender.random().chance(0.002)) {
                cutSteps = 1 + static_cast<int>(sender.random().below(100));
            }
            cutSteps = std::max(0, cutSteps - 1);
            sender.setCut(cutSteps > 0);
            sender.step();
            const bool isHeard = cutSteps > 0 || sender.silence() < std::chrono::seconds(1);
            CHECK_TEXT(isHeard, ("seed " + std::to_string(seed)).c_str());
        }
        LONGS_EQUAL(0, sender.acceptedFormerCount());
    }
}
