#pragma once

#include "base/random.h"
#include "policy/failuredetector.h"
#include "tests/support/virtualnetwork.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace hawthornpick::measure {

//! Size of one service.
struct service_size
{
    const char *name;
    std::size_t upstreams;
    std::uint32_t slots;
};

//! Eight organisations, three of them large.
inline constexpr std::array<double, 8> ORGANISATION_SHARES{0.30, 0.25, 0.17, 0.08,
                                                           0.07, 0.06, 0.04, 0.03};

inline auto drawOrganisation(base::random_source &random) -> std::size_t
{
    double left = random.unit();
    for (std::size_t i = 0; i + 1 < ORGANISATION_SHARES.size(); ++i) {
        left -= ORGANISATION_SHARES.at(i);
        if (left < 0.0) {
            return i;
        }
    }
    return ORGANISATION_SHARES.size() - 1;
}

//! State of one fake upstream.
struct fake_behaviour
{
    double failureRate = 0.0005;
    double slowness = 1.0;
    bool hung = false;
};

enum class detector_kind { Cusum, Ewma, Consecutive };

//! Thresholds that each process applies alone, for comparison: five errors in a row, or moving
//! averages of failures (above 0.4) and of latency (above 3 times the service's usual mean).
class plain_detector
{
public:
    explicit plain_detector(detector_kind kind) : m_kind(kind) {}

    auto finished(bool failed, double latencySeconds) -> void
    {
        m_inRow = failed ? m_inRow + 1 : 0;
        m_failures += 0.1 * ((failed ? 1.0 : 0.0) - m_failures);
        m_latency += 0.1 * (latencySeconds - m_latency);
        ++m_requests;
    }

    [[nodiscard]] auto unhealthy(double usualMean) const -> bool
    {
        if (m_kind == detector_kind::Consecutive) {
            return m_inRow >= 5;
        }
        return m_requests >= 10 && (m_failures > 0.4 || m_latency > 3.0 * usualMean);
    }

    auto reset() -> void { *this = plain_detector(m_kind); }

private:
    detector_kind m_kind;
    int m_inRow = 0;
    int m_requests = 0;
    double m_failures = 0.0;
    double m_latency = 0.0;
};

//! Detectors of one service in virtual time with fakes of its upstreams.
class detection_run
{
public:
    static constexpr double MEDIAN_SECONDS = 0.05;
    static constexpr double DEVIATION = 0.5;
    static constexpr double TIMEOUT_SECONDS = 5.0;

    detection_run(std::uint64_t seed, const service_size &size, double rate, detector_kind kind,
                  const policy::detector_parameters &parameters)
        : behaviours(size.upstreams), m_size(size), m_rate(rate), m_kind(kind), m_network(seed, {}),
          m_random(seed * 7919), m_running(size.upstreams),
          m_plain(size.upstreams, plain_detector(kind))
    {
        std::vector<base::node_id> ids;
        for (std::size_t i = 0; i < size.upstreams; ++i) {
            ids.emplace_back("n" + std::to_string(i));
            m_nextArrival.push_back(m_network.now() + base::fromSeconds(m_random.unit() / m_rate));
        }
        for (std::size_t i = 0; i < size.upstreams && kind == detector_kind::Cusum; ++i) {
            auto detector = std::make_unique<policy::failure_detector>(
                    parameters, base::service_id("service"), ids[i], seed * 100 + i);
            detector->setUpstream(upstream(i), false);
            detector->setPeers(ids);
            m_network.attach(
                    ids[i],
                    [raw = detector.get()](const auto &from, auto, auto payload, auto now) {
                        return raw->receive(from, payload, now);
                    },
                    [raw = detector.get()](auto now) { return raw->tick(now); });
            m_detectors.push_back(std::move(detector));
        }
    }

    //! Runs for `seconds`; returns how many verdicts were given. After a verdict the evidence is
    //! reset. `onVerdict` may end the run by returning false.
    auto run(double seconds, const std::function<bool(std::size_t upstream)> &onVerdict) -> int
    {
        const auto end = m_network.now() + base::fromSeconds(seconds);
        int verdicts = 0;
        while (m_network.now() < end) {
            m_network.run(STEP);
            for (std::size_t i = 0; i < m_size.upstreams; ++i) {
                simulate(i);
                if (isUnhealthy(i)) {
                    ++verdicts;
                    reset(i);
                    if (!onVerdict(i)) {
                        return verdicts;
                    }
                }
            }
        }
        return verdicts;
    }

    [[nodiscard]] auto now() const -> base::time_point { return m_network.now(); }

    std::vector<fake_behaviour> behaviours;
    //! Organisation whose requests fail everywhere, if any.
    std::optional<std::size_t> failingOrganisation;
    //! Factor on the arrival rate, for bursts.
    double burst = 1.0;

private:
    static constexpr base::duration STEP = std::chrono::milliseconds(10);

    struct running_request
    {
        base::attempt_id attempt;
        base::time_point since;
        bool fails;
        bool timesOut;
    };

    static auto upstream(std::size_t index) -> base::upstream_id
    {
        return base::upstream_id("n" + std::to_string(index) + "/u");
    }

    auto simulate(std::size_t index) -> void
    {
        auto &running = m_running[index];
        while (true) {
            const bool ends = !running.empty() && running.begin()->first <= m_network.now()
                              && running.begin()->first <= m_nextArrival[index];
            if (ends) {
                finish(index, running.begin()->first, running.begin()->second);
                running.erase(running.begin());
            } else if (m_nextArrival[index] <= m_network.now()) {
                start(index, m_nextArrival[index]);
                // Selection by two choices spreads requests more evenly than a Poisson process.
                m_nextArrival[index] +=
                        base::fromSeconds((0.5 + m_random.unit()) / (m_rate * burst));
            } else {
                return;
            }
        }
    }

    auto start(std::size_t index, base::time_point at) -> void
    {
        if (m_running[index].size() >= m_size.slots) {
            return;
        }
        const auto &fake = behaviours[index];
        const auto organisation = drawOrganisation(m_random);
        const auto attempt = m_random.attemptId();
        if (m_kind == detector_kind::Cusum) {
            m_detectors[index]->onAttemptStart({upstream(index), attempt,
                                                base::organisation_id(std::to_string(organisation)),
                                                m_random.bits()},
                                               at);
        }
        const double crowding =
                1.0 + 0.5 * static_cast<double>(m_running[index].size()) / m_size.slots;
        const double seconds = fake.hung ? TIMEOUT_SECONDS
                                         : MEDIAN_SECONDS * fake.slowness * crowding
                                                   * std::exp(DEVIATION * normal());
        const bool timesOut = seconds >= TIMEOUT_SECONDS;
        const bool fails = timesOut || failingOrganisation == organisation
                           || m_random.chance(fake.failureRate);
        m_running[index].emplace(at + base::fromSeconds(std::min(seconds, TIMEOUT_SECONDS)),
                                 running_request{attempt, at, fails, timesOut});
    }

    auto finish(std::size_t index, base::time_point at, const running_request &request) -> void
    {
        const double latency = base::toSeconds(at - request.since);
        m_plain[index].finished(request.fails, latency);
        if (m_kind == detector_kind::Cusum) {
            const auto outcome = request.timesOut ? policy::attempt_outcome::TimedOut
                                 : request.fails  ? policy::attempt_outcome::Failed
                                                  : policy::attempt_outcome::Succeeded;
            m_detectors[index]->onAttemptEnd(upstream(index), request.attempt, outcome, at);
        }
    }

    auto isUnhealthy(std::size_t index) -> bool
    {
        if (m_kind == detector_kind::Cusum) {
            return m_detectors[index]->health(upstream(index), m_network.now()).unhealthy;
        }
        return m_plain[index].unhealthy(MEDIAN_SECONDS * 1.2);
    }

    auto reset(std::size_t index) -> void
    {
        m_plain[index].reset();
        if (m_kind == detector_kind::Cusum) {
            m_detectors[index]->resetEvidence(upstream(index));
        }
    }

    auto normal() -> double
    {
        const double radius = std::sqrt(-2.0 * std::log(1.0 - m_random.unit()));
        return radius * std::cos(2.0 * 3.14159265358979 * m_random.unit());
    }

    service_size m_size;
    double m_rate;
    detector_kind m_kind;
    testsupport::virtual_network m_network;
    base::random_source m_random;
    std::vector<std::multimap<base::time_point, running_request>> m_running;
    std::vector<base::time_point> m_nextArrival;
    std::vector<std::unique_ptr<policy::failure_detector>> m_detectors;
    std::vector<plain_detector> m_plain;
};

} // namespace hawthornpick::measure
