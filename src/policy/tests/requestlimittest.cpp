#include "policy/requestlimit.h"

#include "base/random.h"
#include "src/policy/tests/seeds.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <array>
#include <vector>

using namespace hawthornpick;
using policy::request_limit;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::time_point START{seconds(1000)};
constexpr seconds WINDOW{4};
//! Time after the first answer that names a limit from which it must hold.
constexpr seconds SETTLE_TIME{3};
//! Time after which an entry node that passed such an answer on counts as told.
constexpr milliseconds TOLD_AFTER{500};
constexpr std::size_t ENTRY_NODES = 40;

// Returns the largest number of the times, in order, within one window.
auto mostInWindow(const std::vector<base::time_point> &times) -> std::size_t
{
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        const auto last = std::lower_bound(first, times.end(), *first + WINDOW);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

auto mostAllowed(double limit) -> double
{
    return 1.5 * limit * base::toSeconds(WINDOW) + 5.0;
}

//! One upstream that names a limit, the node beside it, which is restarted, and the entry nodes.
class limited_upstream
{
public:
    limited_upstream(std::uint64_t seed, double limit) : m_random(seed), m_limit(limit) {}

    //! Offers a request of a random entry node, and restarts the node beside the upstream with the
    //! given probability.
    auto step(base::time_point now, double restartProbability) -> void
    {
        deliverAnswers(now);
        if (m_random.chance(restartProbability)) {
            m_gate = {};
            m_pending.clear();
        }
        const auto entry = m_random.below(ENTRY_NODES);
        const auto toldAt = m_toldAt.at(entry);
        if (toldAt != base::time_point::max()) {
            m_gate.onFormerLimit(m_limit, now);
        }
        if (!m_gate.tryStart(now)) {
            return;
        }
        ++m_startCount;
        const auto isCounted = toldAt != base::time_point::max() && now >= toldAt + TOLD_AFTER
                               && now >= START + SETTLE_TIME;
        if (isCounted) {
            m_counted.push_back(now);
        }
        m_pending.push_back({entry, now, now + milliseconds(20 + m_random.below(800))});
    }

    [[nodiscard]] auto counted() const -> const std::vector<base::time_point> &
    {
        return m_counted;
    }
    [[nodiscard]] auto startCount() const -> std::size_t { return m_startCount; }

private:
    struct pending_answer
    {
        std::size_t entry = 0;
        base::time_point sentAt;
        base::time_point arrivesAt;
    };

    auto deliverAnswers(base::time_point now) -> void
    {
        std::erase_if(m_pending, [&](const pending_answer &item) {
            if (item.arrivesAt > now) {
                return false;
            }
            m_gate.onAnswer(m_limit, item.sentAt, now);
            m_toldAt.at(item.entry) = std::min(m_toldAt.at(item.entry), now);
            return true;
        });
    }

    base::random_source m_random;
    double m_limit;
    request_limit m_gate;
    std::vector<pending_answer> m_pending;
    std::array<base::time_point, ENTRY_NODES> m_toldAt = [] {
        std::array<base::time_point, ENTRY_NODES> times{};
        times.fill(base::time_point::max());
        return times;
    }();
    std::vector<base::time_point> m_counted;
    std::size_t m_startCount = 0;
};

} // namespace

TEST_GROUP(request_limit){};

// Guards against a limit that is exceeded by the requests of many entry nodes or after restarts of
// the node beside the upstream, and against one whose requests aren't used.
TEST(request_limit, holdsOverManyEntryNodesAndRestarts)
{
    for (const double limit : {0.0, 0.3, 1.0, 2.7, 12.0}) {
        for (const double restartProbability : {0.0, 0.002, 0.05}) {
            testsupport::forEachSeed(5, [=](std::uint64_t seed) {
                limited_upstream run(seed, limit);
                for (auto now = START; now < START + seconds(60); now += milliseconds(10)) {
                    run.step(now, restartProbability);
                }
                CHECK_TEXT(static_cast<double>(mostInWindow(run.counted())) <= mostAllowed(limit),
                           testsupport::seedText(seed, "limit exceeded").asCharString());
                CHECK_TEXT(restartProbability > 0.0
                                   || static_cast<double>(run.startCount()) >= 0.9 * limit * 60.0,
                           testsupport::seedText(seed, "limit not used").asCharString());
            });
        }
    }
}

// Guards against an answer that was delayed and brings back a higher limit or none, and against a
// lower limit that waits for the answer to a later request.
TEST(request_limit, onlyLaterRequestsRaiseOrEndIt)
{
    request_limit gate;
    gate.onAnswer(4.0, START, START + seconds(1));
    gate.onAnswer(std::nullopt, START, START + seconds(2));
    gate.onAnswer(9.0, START, START + seconds(2));
    CHECK(gate.limit() == 4.0);
    gate.onAnswer(1.0, START, START + seconds(2));
    CHECK(gate.limit() == 1.0);
    gate.onAnswer(9.0, START + seconds(3), START + seconds(4));
    CHECK(gate.limit() == 9.0);
    gate.onAnswer(std::nullopt, START + seconds(5), START + seconds(6));
    CHECK(!gate.limit());
    CHECK(gate.tryStart(START + seconds(6)));
}

// Guards against a limit of a former process that outlives what the upstream says now.
TEST(request_limit, formerLimitCountsUntilTheFirstAnswer)
{
    request_limit gate;
    gate.onFormerLimit(1.0, START);
    CHECK(gate.limit() == 1.0);
    CHECK(!gate.tryStart(START));
    CHECK(gate.tryStart(gate.nextStart(START)));
    gate.onAnswer(std::nullopt, START, START + seconds(2));
    CHECK(!gate.limit());
    gate.onFormerLimit(1.0, START + seconds(3));
    CHECK(!gate.limit());
}

// Guards against an upstream whose limit allows nothing and that is never asked again.
TEST(request_limit, limitOfZeroLeavesARequestNowAndThen)
{
    request_limit gate;
    gate.onAnswer(0.0, START, START);
    int starts = 0;
    for (auto now = START; now < START + seconds(60); now += milliseconds(100)) {
        starts += gate.tryStart(now) ? 1 : 0;
    }
    CHECK(starts >= 5);
    CHECK(starts <= 6);
}
