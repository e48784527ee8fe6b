#include "policy/urgencyqueue.h"

#include "base/random.h"
#include "policy/fairqueue.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cmath>
#include <vector>

using namespace hawthornpick;
using policy::slot_grant;
using policy::slot_request;
using policy::urgency_queue;
using std::chrono::milliseconds;

namespace {

const base::upstream_id UPSTREAM("u");
constexpr std::uint32_t SLOTS = 5;
constexpr std::uint32_t QUEUE_PER_SLOT = 6;

//! One kind of requests in a replayed load.
struct request_kind
{
    double requestsPerSecond = 0.0;
    milliseconds serviceTime{0};
    milliseconds target{0};
    milliseconds deadline{0};
    std::uint32_t priority = 0;
};

//! Submissions and reads at 1.4 times the capacity of the slots, as at one upstream of the
//! platform's first service while a third of its upstreams hang.
const std::vector<request_kind> OVERLOAD{
        {13.0, milliseconds(320), milliseconds(800), milliseconds(2000), 1},
        {7.0, milliseconds(400), milliseconds(800), milliseconds(2000), 2}};

//! Calls of 61 ms with a tight target alongside reads of 970 ms and downloads, as at one upstream
//! of the platform's second service on a day of high load.
const std::vector<request_kind> CALLS_AND_READS{
        {11.0, milliseconds(61), milliseconds(200), milliseconds(400)},
        {3.4, milliseconds(970), milliseconds(3000), milliseconds(4000)},
        {2.6, milliseconds(200), milliseconds(600), milliseconds(1500)}};

struct kind_result
{
    int sent = 0;
    int onTime = 0;
    int refused = 0;
    //! Refused after more than half of the target latency.
    int refusedLate = 0;

    [[nodiscard]] auto onTimeShare() const -> double
    {
        return sent == 0 ? 1.0 : static_cast<double>(onTime) / sent;
    }
};

//! Replays a load on one queue in virtual time.
template <typename Queue>
class queue_replay
{
public:
    queue_replay(std::uint64_t seed, const std::vector<request_kind> &kinds)
        : m_random(seed), m_kinds(kinds), m_queue(QUEUE_PER_SLOT), m_results(kinds.size())
    {
        m_queue.setUpstream(UPSTREAM, {SLOTS, SLOTS, false, false}, m_now);
    }

    auto run(milliseconds span) -> std::vector<kind_result>
    {
        const auto end = m_now + span;
        for (; m_now < end; m_now += milliseconds(1)) {
            finish();
            for (std::size_t kind = 0; kind < m_kinds.size(); ++kind) {
                if (m_random.chance(m_kinds[kind].requestsPerSecond / 1000.0)) {
                    arrive(kind);
                }
            }
            if (m_now.time_since_epoch() % milliseconds(50) == milliseconds(0)) {
                m_queue.expire(m_now);
            }
        }
        return m_results;
    }

private:
    struct running_request
    {
        slot_grant grant;
        std::size_t kind = 0;
        base::time_point targetTime;
        base::time_point endsAt;
    };

    auto arrive(std::size_t kind) -> void
    {
        const auto &kindOfRequest = m_kinds[kind];
        ++m_results[kind].sent;
        slot_request request;
        request.attempt = m_random.attemptId();
        request.idempotent = true;
        request.deadline = m_now + kindOfRequest.deadline;
        request.target = m_now + kindOfRequest.target;
        request.expectedServiceTime = kindOfRequest.serviceTime;
        request.priority = kindOfRequest.priority;
        const auto targetTime = request.target;
        const auto halfTarget = m_now + kindOfRequest.target / 2;
        const auto result =
                m_queue.acquire(request, m_now, [this, kind, targetTime, halfTarget](auto granted) {
                    if (granted) {
                        start(*granted, kind, targetTime);
                        return;
                    }
                    ++m_results[kind].refused;
                    m_results[kind].refusedLate += m_now > halfTarget ? 1 : 0;
                });
        if (result && *result) {
            start(**result, kind, targetTime);
        }
        m_results[kind].refused += result ? 0 : 1;
    }

    auto start(const slot_grant &grant, std::size_t kind, base::time_point targetTime) -> void
    {
        const double factor = 0.5 + m_random.unit();
        const auto serviceTime =
                std::chrono::duration_cast<milliseconds>(m_kinds[kind].serviceTime * factor);
        m_running.push_back({grant, kind, targetTime, m_now + serviceTime});
    }

    auto finish() -> void
    {
        for (std::size_t i = 0; i < m_running.size();) {
            if (m_running[i].endsAt > m_now) {
                ++i;
                continue;
            }
            const auto ended = m_running[i];
            m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(i));
            m_results[ended.kind].onTime += m_now <= ended.targetTime ? 1 : 0;
            m_queue.release(ended.grant, true, m_now);
        }
    }

    base::random_source m_random;
    std::vector<request_kind> m_kinds;
    Queue m_queue;
    std::vector<kind_result> m_results;
    std::vector<running_request> m_running;
    base::time_point m_now{std::chrono::seconds(100)};
};

auto requestOf(base::random_source &random, base::time_point now, milliseconds serviceTime,
               milliseconds target, milliseconds deadline) -> slot_request
{
    slot_request request;
    request.attempt = random.attemptId();
    request.idempotent = true;
    request.expectedServiceTime = serviceTime;
    request.target = now + target;
    request.deadline = now + deadline;
    return request;
}

} // namespace

TEST_GROUP(urgency_queue)
{
    base::random_source m_random{5};
    base::time_point m_now{std::chrono::seconds(100)};
    urgency_queue m_queue{QUEUE_PER_SLOT};

    void setup() override
    {
        m_queue.setUpstream(UPSTREAM, {SLOTS, SLOTS, false, false}, m_now);
    }

    auto fillSlots(milliseconds serviceTime)->std::vector<slot_grant>
    {
        std::vector<slot_grant> grants;
        for (std::uint32_t i = 0; i < SLOTS; ++i) {
            const auto request =
                    requestOf(m_random, m_now, serviceTime, serviceTime, milliseconds(5000));
            const auto result = m_queue.acquire(request, m_now, [](auto) {});
            CHECK(result && *result);
            grants.push_back(**result);
        }
        return grants;
    }
};

// Guards against short calls that miss their target behind long reads, and with them the requests
// that made the calls. On the same arrivals the fair queue serves fewer calls on time.
TEST(urgency_queue, servesShortCallsOnTimeBesideLongReads)
{
    double urgencyCallShare = 0.0;
    double fairCallShare = 0.0;
    double urgencyReadShare = 0.0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const auto urgencyResults =
                queue_replay<urgency_queue>(seed, CALLS_AND_READS).run(milliseconds(60'000));
        const auto fairResults =
                queue_replay<policy::fair_queue>(seed, CALLS_AND_READS).run(milliseconds(60'000));
        urgencyCallShare += urgencyResults[0].onTimeShare() / 10.0;
        fairCallShare += fairResults[0].onTimeShare() / 10.0;
        urgencyReadShare += urgencyResults[1].onTimeShare() / 10.0;
    }
    const auto text = "calls on time: urgency queue " + std::to_string(urgencyCallShare)
                      + ", fair queue " + std::to_string(fairCallShare)
                      + ", reads on time: " + std::to_string(urgencyReadShare);
    CHECK_TEXT(urgencyCallShare > fairCallShare + 0.1, text.c_str());
    // A kind may not be on time over 5 percentage points less often than a less urgent one.
    CHECK_TEXT(urgencyCallShare >= urgencyReadShare - 0.05, text.c_str());
}

// Guards against requests that are held until their deadline and then refused, while the slots
// serve responses that are late anyway: under overload a request that others overtake is refused
// while its caller still has time, and the slots go to responses on time.
TEST(urgency_queue, refusesEarlyUnderOverload)
{
    double onTime = 0.0;
    double refused = 0.0;
    double refusedLate = 0.0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        for (const auto &kind :
             queue_replay<urgency_queue>(seed, OVERLOAD).run(milliseconds(30'000))) {
            onTime += kind.onTime;
            refused += kind.refused;
            refusedLate += kind.refusedLate;
        }
    }
    const auto text = "on time " + std::to_string(onTime) + " refused " + std::to_string(refused)
                      + " refused late " + std::to_string(refusedLate);
    // Five slots serve about 14 requests per second of this mix.
    CHECK_TEXT(onTime > 0.85 * 14.0 * 300.0, text.c_str());
    CHECK_TEXT(refusedLate < 0.1 * refused, text.c_str());
}

// Guards against a request that waits for a slot although its response would come after its
// deadline.
TEST(urgency_queue, refusesRequestThatCannotMeetItsDeadline)
{
    const auto grants = fillSlots(milliseconds(1000));
    for (const auto &grant : grants) {
        m_queue.release(grant, true, m_now + milliseconds(1000));
    }
    m_now += milliseconds(1000);
    fillSlots(milliseconds(1000));
    const auto request =
            requestOf(m_random, m_now, milliseconds(1000), milliseconds(300), milliseconds(500));
    const auto result = m_queue.acquire(request, m_now, [](auto) {});
    CHECK(!result);
    CHECK(result.error().kind == base::error_kind::Overloaded);
}

// Guards against a wait longer than the sender accepts, which could use other upstreams.
TEST(urgency_queue, refusesIfExpectedWaitExceedsMaxWait)
{
    const auto grants = fillSlots(milliseconds(500));
    for (const auto &grant : grants) {
        m_queue.release(grant, true, m_now + milliseconds(500));
    }
    m_now += milliseconds(500);
    fillSlots(milliseconds(500));
    auto request =
            requestOf(m_random, m_now, milliseconds(100), milliseconds(800), milliseconds(2000));
    request.maxWait = milliseconds(5);
    const auto result = m_queue.acquire(request, m_now, [](auto) {});
    CHECK(!result);
    CHECK(result.error().kind == base::error_kind::QueueFull);
}

// Guards against reads with slack that occupy all slots: the last slot is reserved for urgent
// requests.
TEST(urgency_queue, reservesTheLastSlotForUrgentRequests)
{
    int granted = 0;
    for (std::uint32_t i = 0; i < SLOTS; ++i) {
        const auto request = requestOf(m_random, m_now, milliseconds(970), milliseconds(3000),
                                       milliseconds(6000));
        const auto result = m_queue.acquire(request, m_now, [](auto) {});
        granted += result && *result ? 1 : 0;
    }
    CHECK_EQUAL(SLOTS - 1, granted);
    const auto call =
            requestOf(m_random, m_now, milliseconds(61), milliseconds(200), milliseconds(400));
    const auto result = m_queue.acquire(call, m_now, [](auto) {});
    CHECK(result && *result);
}

// Guards against a slot that stays free while requests wait: without urgent requests no slot is
// reserved.
TEST(urgency_queue, usesAllSlotsWithoutUrgentRequests)
{
    const auto acquire = [this] {
        const auto request = requestOf(m_random, m_now, milliseconds(400), milliseconds(1500),
                                       milliseconds(5000));
        const auto result = m_queue.acquire(request, m_now, [](auto) {});
        return result && *result ? std::optional(**result) : std::nullopt;
    };
    for (int i = 0; i < 40; ++i) {
        if (const auto grant = acquire()) {
            m_queue.release(*grant, true, m_now + milliseconds(400));
        }
    }
    std::uint32_t granted = 0;
    for (std::uint32_t i = 0; i < SLOTS; ++i) {
        granted += acquire() ? 1 : 0;
    }
    CHECK_EQUAL(SLOTS, granted);
}

// Guards against a waiting request that is never resumed, or resumed twice, under random arrivals,
// releases, cancellations and changes of the upstream.
TEST(urgency_queue, resumesEachWaitingRequestExactlyOnce)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        base::random_source random(seed);
        urgency_queue queue(QUEUE_PER_SLOT);
        base::time_point now{std::chrono::seconds(100)};
        queue.setUpstream(UPSTREAM, {SLOTS, SLOTS, false, false}, now);
        std::vector<slot_grant> running;
        std::vector<base::attempt_id> waitingAttempts;
        int ended = 0;
        int waitingCount = 0;
        for (int i = 0; i < 2000; ++i) {
            now += milliseconds(random.below(20));
            const auto request = requestOf(random, now, milliseconds(50 + random.below(400)),
                                           milliseconds(100 + random.below(800)),
                                           milliseconds(300 + random.below(2000)));
            const auto answer = queue.acquire(request, now, [&](auto granted) {
                ++ended;
                if (granted) {
                    running.push_back(*granted);
                }
            });
            if (answer && *answer) {
                running.push_back(**answer);
            } else if (answer) {
                ++waitingCount;
                waitingAttempts.push_back(request.attempt);
            }
            CHECK(running.size() <= SLOTS);
            if (!running.empty() && random.chance(0.4)) {
                const auto grant = running.back();
                running.pop_back();
                queue.release(grant, true, now);
            }
            if (!waitingAttempts.empty() && random.chance(0.1)) {
                ended += queue.cancel(waitingAttempts.at(random.below(waitingAttempts.size()))) ? 1
                                                                                                : 0;
            }
            queue.expire(now);
        }
        queue.removeUpstream(UPSTREAM, now + std::chrono::hours(1));
        CHECK_EQUAL(waitingCount, ended);
    }
}
