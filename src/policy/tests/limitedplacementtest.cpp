#include "policy/placement.h"
#include "policy/requestlimit.h"
#include "src/policy/tests/seeds.h"

#include <CppUTest/TestHarness.h>
#include <memory>
#include <vector>

using namespace hawthornpick;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::time_point START{seconds(1000)};
const base::service_id SERVICE("s");
constexpr std::size_t UPSTREAM_COUNT = 17;
constexpr std::uint32_t SLOTS = 5;
constexpr int MAX_ATTEMPTS = 6;
constexpr milliseconds SERVICE_TIME{300};
//! Time between two requests of the whole fleet.
constexpr milliseconds REQUEST_INTERVAL{8};

auto nodeOf(std::size_t index) -> base::node_id
{
    return base::node_id("n" + std::to_string(index));
}

struct fleet_counts
{
    //! Requests that the limited upstreams took and refused.
    int taken = 0;
    int refused = 0;
    //! Requests without an upstream after all attempts, and all of them.
    int unserved = 0;
    int sent = 0;
};

//! Entry nodes of which each chooses among upstreams of which the first ones name a limit.
class limited_fleet
{
public:
    limited_fleet(std::uint64_t seed, std::size_t entryCount, std::size_t limitedCount,
                  double limit)
        : m_random(seed), m_limitedCount(limitedCount), m_limit(limit), m_upstreams(UPSTREAM_COUNT)
    {
        std::vector<membership::node_entry> nodes;
        for (std::size_t i = 0; i < UPSTREAM_COUNT; ++i) {
            membership::upstream_entry upstream;
            upstream.id = base::upstream_id(nodeOf(i).str() + "/u");
            upstream.service = SERVICE;
            upstream.slots = SLOTS;
            upstream.state = membership::upstream_state::Ready;
            membership::node_entry node;
            node.id = nodeOf(i);
            node.region = base::region_id("r");
            node.failureDomain = base::failure_domain_id("d");
            node.upstreams = {upstream};
            nodes.push_back(node);
        }
        m_view = std::make_unique<membership::view>(1, std::move(nodes));
        for (std::size_t i = 0; i < entryCount; ++i) {
            m_entries.emplace_back(
                    policy::placement_settings{base::node_id("e" + std::to_string(i)),
                                               base::region_id("r"), base::failure_domain_id("d")},
                    seed * 1000 + i);
        }
    }

    auto run(base::duration span) -> fleet_counts
    {
        m_counts = {};
        const auto end = m_now + span;
        for (; m_now < end; m_now += REQUEST_INTERVAL) {
            endRequests();
            send(m_random.below(m_entries.size()));
        }
        return m_counts;
    }

private:
    struct upstream_state
    {
        policy::request_limit limit;
        std::uint32_t busySlots = 0;
    };
    struct running_request
    {
        std::size_t entry = 0;
        std::size_t upstream = 0;
        base::time_point sentAt;
    };

    auto loadOf(std::size_t upstream) -> policy::service_load
    {
        const auto &state = m_upstreams.at(upstream);
        policy::service_load load{SLOTS, state.busySlots, 0, SERVICE_TIME, 0.97, 1.0};
        load.startRate = state.limit.limit().value_or(-1.0);
        return load;
    }

    auto send(std::size_t entry) -> void
    {
        policy::placement_request request;
        request.service = SERVICE;
        request.idempotent = true;
        request.target = m_now + milliseconds(800);
        request.deadline = m_now + milliseconds(2000);
        request.expectedServiceTime = SERVICE_TIME;
        request.entryNodeCount = m_entries.size();
        ++m_counts.sent;
        for (int attempt = 0; attempt < MAX_ATTEMPTS; ++attempt) {
            const auto chosen = m_entries.at(entry).choose(*m_view, request, m_now);
            if (!chosen) {
                break;
            }
            const auto upstream = std::stoul(chosen->node->id.str().substr(1));
            if (start(entry, upstream)) {
                return;
            }
            request.excludedNodes.push_back(chosen->node->id);
        }
        ++m_counts.unserved;
    }

    auto start(std::size_t entry, std::size_t upstream) -> bool
    {
        auto &state = m_upstreams.at(upstream);
        const bool isLimited = upstream < m_limitedCount;
        const bool isStarted = state.busySlots < SLOTS && state.limit.tryStart(m_now);
        m_counts.taken += isLimited && isStarted ? 1 : 0;
        m_counts.refused += isLimited && !isStarted ? 1 : 0;
        if (!isStarted) {
            m_entries.at(entry).onAttemptEnd(nodeOf(upstream), SERVICE,
                                             base::error_kind::UpstreamLimited, loadOf(upstream),
                                             m_now);
            return false;
        }
        ++state.busySlots;
        m_running.push_back({entry, upstream, m_now});
        return true;
    }

    auto endRequests() -> void
    {
        std::erase_if(m_running, [this](const running_request &item) {
            if (item.sentAt + SERVICE_TIME > m_now) {
                return false;
            }
            auto &state = m_upstreams.at(item.upstream);
            --state.busySlots;
            const bool isLimited = item.upstream < m_limitedCount;
            state.limit.onAnswer(isLimited ? std::optional(m_limit) : std::nullopt, item.sentAt,
                                 m_now);
            m_entries.at(item.entry)
                    .onAttemptEnd(nodeOf(item.upstream), SERVICE, {}, loadOf(item.upstream), m_now);
            return true;
        });
    }

    base::random_source m_random;
    std::size_t m_limitedCount;
    double m_limit;
    base::time_point m_now = START;
    std::vector<upstream_state> m_upstreams;
    std::vector<policy::placement> m_entries;
    std::unique_ptr<membership::view> m_view;
    std::vector<running_request> m_running;
    fleet_counts m_counts;
};

} // namespace

TEST_GROUP(limited_placement){};

// Guards against entry nodes that go on to ask an upstream that has named a limit.
TEST(limited_placement, refusalsAreRareWhileOthersHaveRoom)
{
    for (const std::size_t entryCount : {25U, 200U}) {
        for (const double limit : {0.3, 1.0, 2.7}) {
            testsupport::forEachSeed(3, [=](std::uint64_t seed) {
                limited_fleet fleet(seed, entryCount, 1, limit);
                fleet.run(seconds(5));
                const auto counts = fleet.run(seconds(40));
                LONGS_EQUAL(0, counts.unserved);
                CHECK_TEXT(counts.refused * 50 <= counts.sent,
                           testsupport::seedText(seed, "many refusals").asCharString());
            });
        }
    }
}

// Guards against requests that are sent from one limited upstream to the next, and against limits
// that aren't used although callers are refused.
TEST(limited_placement, requestsAreRefusedSoonWhereAllUpstreamsAreLimited)
{
    constexpr double LIMIT = 1.0;
    constexpr seconds SPAN{40};
    for (const std::size_t entryCount : {25U, 200U}) {
        testsupport::forEachSeed(3, [=](std::uint64_t seed) {
            limited_fleet fleet(seed, entryCount, UPSTREAM_COUNT, LIMIT);
            fleet.run(seconds(5));
            const auto counts = fleet.run(SPAN);
            CHECK_TEXT(counts.refused * 2 <= counts.sent * MAX_ATTEMPTS,
                       testsupport::seedText(seed, "many attempts").asCharString());
            CHECK_TEXT(counts.taken >= 0.8 * LIMIT * UPSTREAM_COUNT * base::toSeconds(SPAN),
                       testsupport::seedText(seed, "limits not used").asCharString());
        });
    }
}
