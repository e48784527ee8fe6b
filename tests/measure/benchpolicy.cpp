#include "tests/measure/detectionrun.h"
#include "tests/measure/queuerun.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>

using namespace hawthornpick;
using namespace hawthornpick::measure;

namespace {

constexpr double RATE = 5.0;
constexpr double WARM_UP_SECONDS = 15.0;
constexpr double LIMIT_SECONDS = 30.0;

struct deployment
{
    const char *name;
    config::policy_profile profile;
    std::array<service_size, 2> services;
};

const std::array<deployment, 2> DEPLOYMENTS{{
        {"Caldo Norte",
         config::policy_profile::FastDetection,
         {{{"cocina", 17, 5}, {"aula", 8, 5}}}},
        {"Dayleaf",
         config::policy_profile::FewFalseEjections,
         {{{"diary", 14, 3}, {"fieldwork", 8, 3}}}},
}};

const std::array<std::pair<detector_kind, const char *>, 3> DETECTORS{
        {{detector_kind::Cusum, "cusum"},
         {detector_kind::Ewma, "ewma"},
         {detector_kind::Consecutive, "consecutive"}}};

auto quantile(std::vector<double> values, double part) -> double
{
    if (values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size()));
    return values.at(std::min(index, values.size() - 1));
}

//! Time from the beginning of a fault of upstream 0 to the verdict; the limit if there is none.
//! Verdicts on other upstreams are counted as false.
auto detectionTime(std::uint64_t seed, const service_size &size, detector_kind kind,
                   const policy::detector_parameters &parameters, const fake_behaviour &fault,
                   bool flapping, int &falseVerdicts) -> double
{
    detection_run run(seed, size, RATE, kind, parameters);
    falseVerdicts += run.run(WARM_UP_SECONDS, [](std::size_t) { return true; });
    const auto onset = run.now();
    bool found = false;
    const auto onVerdict = [&](std::size_t upstream) {
        found = upstream == 0;
        falseVerdicts += found ? 0 : 1;
        return !found;
    };
    while (!found && base::toSeconds(run.now() - onset) < LIMIT_SECONDS) {
        run.behaviours[0] = fault;
        run.run(flapping ? 2.0 : LIMIT_SECONDS, onVerdict);
        if (flapping && !found) {
            run.behaviours[0] = {};
            run.run(3.0, onVerdict);
        }
    }
    return found ? base::toSeconds(run.now() - onset) : LIMIT_SECONDS;
}

auto reportDetection(const deployment &place, const service_size &size, std::uint64_t seeds) -> void
{
    const std::array<std::tuple<const char *, fake_behaviour, bool>, 4> faults{
            {{"half-failing", {0.5, 1.0, false}, false},
             {"slow x4", {0.0005, 4.0, false}, false},
             {"hung", {0.0005, 1.0, true}, false},
             {"flapping 2s/3s", {0.5, 1.0, false}, true}}};
    for (const auto &[name, fault, flapping] : faults) {
        for (const auto &[kind, kindName] : DETECTORS) {
            std::vector<double> times;
            int falseVerdicts = 0;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                times.push_back(detectionTime(seed, size, kind,
                                              policy::detectorParametersOf(place.profile), fault,
                                              flapping, falseVerdicts));
            }
            const auto missed = std::count(times.begin(), times.end(), LIMIT_SECONDS);
            std::printf("%-12s %-10s %-15s %-12s %7.2f %7.2f %7ld %7d\n", place.name, size.name,
                        name, kindName, quantile(times, 0.5), quantile(times, 0.99), missed,
                        falseVerdicts);
        }
    }
}

//! Repeats of one minute: quiet, a burst at 3 times the rate, one failing organisation, a slowdown
//! of the whole service.
auto disturb(detection_run &run, int minute) -> void
{
    run.burst = minute % 4 == 1 ? 3.0 : 1.0;
    run.failingOrganisation =
            minute % 4 == 2 ? std::optional<std::size_t>(minute % 8) : std::nullopt;
    for (auto &fake : run.behaviours) {
        fake.slowness = minute % 4 == 3 ? 3.0 : 1.0;
    }
}

auto reportFalseVerdicts(const deployment &place, const service_size &size, double hours) -> void
{
    for (const auto &[kind, kindName] : DETECTORS) {
        detection_run run(4711, size, RATE, kind, policy::detectorParametersOf(place.profile));
        std::array<int, 4> verdicts{};
        for (int minute = 0; minute < static_cast<int>(hours * 60); ++minute) {
            disturb(run, minute);
            verdicts.at(minute % 4) += run.run(60.0, [](std::size_t) { return true; });
        }
        std::printf("%-12s %-10s %-12s %7.1f %7d %7d %7d %7d\n", place.name, size.name, kindName,
                    hours, verdicts[0], verdicts[1], verdicts[2], verdicts[3]);
    }
}

auto reportQueues(const deployment &place, const service_size &size, std::uint64_t seeds) -> void
{
    for (const bool plain : {false, true}) {
        queue_result flood;
        queue_result overload;
        queue_result normal;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            normal.add(queue_run(seed, size, plain, 0.6, 1.0).run(30.0));
            flood.add(queue_run(seed, size, plain, 0.6, 5.0).run(30.0));
            overload.add(queue_run(seed, size, plain, 2.0, 1.0).run(30.0));
        }
        std::printf("%-12s %-10s %-8s %8.4f %8.4f %8.2f %8.3f %8.1f\n", place.name, size.name,
                    plain ? "plain" : "policy", normal.worstSuccess(false),
                    flood.worstSuccess(true), flood.worstToMedianP99(), overload.goodput(),
                    normal.p99Milliseconds());
    }
}

} // namespace

//! Usage: bench_policy [detection seeds] [hours] [queue seeds]; 0 leaves a part out.
auto main(int argc, char **argv) -> int
{
    const auto seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 200;
    const auto queueSeeds = argc > 3 ? std::strtoull(argv[3], nullptr, 10) : 10;
    const double hours = argc > 2 ? std::strtod(argv[2], nullptr) : 10.0;
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    std::printf("Detection: %llu seeds, %.0f requests/s for each upstream, 15 s warm-up, times in "
                "seconds, missed after %.0f s\n",
                static_cast<unsigned long long>(seeds), RATE, LIMIT_SECONDS);
    std::printf("%-12s %-10s %-15s %-12s %7s %7s %7s %7s\n", "deployment", "service", "fault",
                "detector", "p50", "p99", "missed", "false");
    for (const auto &place : DEPLOYMENTS) {
        for (const auto &size : place.services) {
            seeds > 0 ? reportDetection(place, size, seeds) : void();
        }
    }
    std::printf("\nFalse verdicts in simulated hours, by minutes of: quiet, burst x3, one failing "
                "organisation, service 3 times slower\n");
    std::printf("%-12s %-10s %-12s %7s %7s %7s %7s %7s\n", "deployment", "service", "detector",
                "hours", "quiet", "burst", "organ.", "slow");
    for (const auto &place : DEPLOYMENTS) {
        for (const auto &size : place.services) {
            hours > 0.0 ? reportFalseVerdicts(place, size, hours) : void();
        }
    }
    std::printf(
            "\nQueues: %llu seeds of 30 s; success of the worst organisation at 60%% load, and "
            "of the worst other one while the second largest sends 5 times its rate; p99 of the "
            "worst other one to the median one's; goodput at twice the capacity; p99 at 60%% in "
            "ms\n",
            static_cast<unsigned long long>(queueSeeds));
    std::printf("%-12s %-10s %-8s %8s %8s %8s %8s %8s\n", "deployment", "service", "policy",
                "normal", "flood", "p99rel", "goodput", "p99");
    for (const auto &place : DEPLOYMENTS) {
        for (const auto &size : place.services) {
            queueSeeds > 0 ? reportQueues(place, size, queueSeeds) : void();
        }
    }
    return 0;
}
