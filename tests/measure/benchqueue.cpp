#include "base/random.h"
#include "policy/costqueue.h"
#include "policy/urgencyqueue.h"

#include <cstdio>
#include <string>

using namespace hawthornpick;

namespace {

const base::upstream_id UPSTREAM("u");
constexpr std::uint32_t SLOTS = 5;
constexpr int EVENTS = 2000;

//! Microseconds that an event takes while `waiting` requests of four ranks and 200 organisations
//! wait: a release that starts one of them, or an arrival.
template <typename Queue>
auto microsecondsPerEvent(std::uint32_t waiting) -> double
{
    base::random_source random(5);
    base::time_point now{std::chrono::seconds(100)};
    Queue queue(waiting);
    queue.setUpstream(UPSTREAM, {SLOTS, SLOTS, false, false}, now);
    std::vector<policy::slot_grant> running;
    const auto arrive = [&] {
        policy::slot_request request;
        request.attempt = random.attemptId();
        request.organisation = base::organisation_id(std::to_string(random.below(200)));
        request.priority = static_cast<std::uint32_t>(random.below(4));
        request.expectedServiceTime = std::chrono::milliseconds(1 + random.below(3));
        request.deadline = now + std::chrono::hours(10) + std::chrono::seconds(random.below(1000));
        request.target = request.deadline - std::chrono::seconds(random.below(1000));
        const auto result = queue.acquire(request, now, [&](auto granted) {
            if (granted) {
                running.push_back(*granted);
            }
        });
        if (result && *result) {
            running.push_back(**result);
        }
    };
    while (queue.load().waiting < waiting) {
        arrive();
    }
    const auto begin = base::clock::now();
    for (int i = 0; i < EVENTS / 2; ++i) {
        now += std::chrono::microseconds(500);
        const auto grant = running.front();
        running.erase(running.begin());
        queue.release(grant, true, now);
        arrive();
    }
    return base::toSeconds(base::clock::now() - begin) * 1e6 / EVENTS;
}

} // namespace

auto main() -> int
{
    std::printf("Microseconds per event by number of waiting requests\n%-12s %10s %10s\n",
                "waiting", "cost", "urgency");
    for (const std::uint32_t waiting : {10U, 1000U, 100'000U}) {
        std::printf("%-12u %10.2f", waiting, microsecondsPerEvent<policy::cost_queue>(waiting));
        // Filling a queue whose events take linear time takes quadratic time.
        if (waiting < 100'000U) {
            std::printf(" %10.2f", microsecondsPerEvent<policy::urgency_queue>(waiting));
        }
        std::printf("\n");
    }
    return 0;
}
