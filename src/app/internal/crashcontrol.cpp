#include "app/internal/crashcontrol.h"

#include "base/log.h"

#include <string>

namespace hawthornpick::app {

namespace {

auto fingerprintOf(const upstream::attempt_observation &observation) -> policy::crash_fingerprint
{
    return policy::crashFingerprint(observation.organisation, observation.route,
                                    base::toBytes(observation.fingerprint));
}

auto describe(const std::vector<upstream::attempt_observation> &attempts) -> std::string
{
    std::string text;
    for (const auto &attempt : attempts) {
        text += (text.empty() ? "" : ", ") + attempt.requestId + " "
                + std::to_string(fingerprintOf(attempt));
    }
    return text;
}

} // namespace

crash_control::crash_control(boost::asio::io_context &context, base::metrics &metrics,
                             crash_probe::address_function addressOf)
    : m_probe(std::make_shared<crash_probe>(context, std::move(addressOf),
                                            [this](const auto &lostAttempts, bool hasCrashed) {
                                                onConnectionsLost(lostAttempts, hasCrashed);
                                            })),
      m_crashCounter(metrics.counter("upstream_crashes_total", "Crashes of upstreams seen here"))
{}

auto crash_control::onFinish(const upstream::attempt_observation &observation,
                             const upstream::attempt_finish &finish) -> void
{
    if (finish.ending == upstream::attempt_ending::ConnectionLost
        || finish.ending == upstream::attempt_ending::Truncated) {
        m_probe->onConnectionLost(observation);
    }
}

auto crash_control::onConnectionsLost(
        const std::vector<upstream::attempt_observation> &lostAttempts, bool hasCrashed) -> void
{
    if (!hasCrashed || lostAttempts.empty()) {
        return;
    }
    m_crashCounter.Increment();
    base::log(base::log_level::Warning, "upstream crashed",
              {{"upstream", lostAttempts.front().upstream.str()},
               {"requests", lostAttempts.size()},
               {"fingerprints", describe(lostAttempts)}});
}

} // namespace hawthornpick::app
