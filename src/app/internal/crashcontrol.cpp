#include "app/internal/crashcontrol.h"

#include "base/log.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>

namespace hawthornpick::app {

namespace {

auto eventName(policy::crash_event event) -> std::string_view
{
    switch (event) {
    case policy::crash_event::Suspected:
        return "crash suspected";
    case policy::crash_event::Refused:
        return "crash suspect refused";
    case policy::crash_event::Released:
        return "crash suspect released";
    case policy::crash_event::Cleared:
        return "crash suspect cleared";
    }
    return "crash suspected";
}

auto describe(const std::vector<upstream::attempt_observation> &attempts) -> std::string
{
    std::string text;
    for (const auto &attempt : attempts) {
        text += (text.empty() ? "" : ", ") + attempt.requestId + " "
                + std::to_string(crashFingerprintOf(attempt));
    }
    return text;
}

} // namespace

auto logCrashChanges(const std::vector<policy::crash_change> &changes) -> void
{
    for (const auto &change : changes) {
        const bool isRefusal = change.event == policy::crash_event::Refused
                               || change.event == policy::crash_event::Released;
        if (!change.isLocal && !isRefusal) {
            continue;
        }
        base::log(base::log_level::Warning, eventName(change.event),
                  {{"fingerprint", std::to_string(change.record.fingerprint)},
                   {"crashes", change.record.evidence.crashes},
                   {"generation", change.record.evidence.generation},
                   {"local", change.isLocal}});
    }
}

auto crashFingerprintOf(const upstream::attempt_observation &observation)
        -> policy::crash_fingerprint
{
    return policy::crashFingerprint(observation.organisation,
                                    base::toBytes(observation.fingerprint));
}

auto crashFingerprintOf(const upstream::attempt_request &request) -> policy::crash_fingerprint
{
    return policy::crashFingerprint(request.organisation, base::toBytes(request.fingerprint));
}

auto crashFingerprintOf(const caller::selection_request &request) -> policy::crash_fingerprint
{
    return policy::crashFingerprint(request.organisation, base::toBytes(request.fingerprint));
}

crash_control::crash_control(boost::asio::io_context &context, base::node_id node,
                             base::metrics &metrics, crash_probe::address_function addressOf,
                             publish_function publish)
    : m_tracker(base::service_id(), std::move(node), base::duration::zero(),
                policy::DIRECTORY_CRASH_POLICY),
      m_probe(std::make_shared<crash_probe>(context, std::move(addressOf),
                                            [this](const auto &lostAttempts, bool hasCrashed) {
                                                onConnectionsLost(lostAttempts, hasCrashed);
                                            })),
      m_publish(std::move(publish)),
      m_crashCounter(metrics.counter("upstream_crashes_total", "Crashes of upstreams seen here")),
      m_refusedRequestCounter(metrics.counter("crash_suspects_refused_total",
                                              "Requests that this node began to refuse because "
                                              "they crash upstreams"))
{}

auto crash_control::start(const upstream::attempt_request &request) -> base::result<void>
{
    if (!m_tracker.tryStart({request.attempt, crashFingerprintOf(request)}, base::clock::now())) {
        return base::fail(base::error_kind::CrashSuspected);
    }
    return {};
}

auto crash_control::onFinish(const upstream::attempt_observation &observation,
                             const upstream::attempt_finish &finish) -> void
{
    using upstream::attempt_ending;
    if (finish.ending == attempt_ending::ConnectionLost
        || finish.ending == attempt_ending::Truncated) {
        m_probe->onConnectionLost(observation);
        return;
    }
    const bool succeeded = finish.ending == attempt_ending::Answered;
    m_tracker.onAttemptEnd(observation.attempt, succeeded, base::clock::now());
}

auto crash_control::onConnectionsLost(
        const std::vector<upstream::attempt_observation> &lostAttempts, bool hasCrashed) -> void
{
    const auto now = base::clock::now();
    if (hasCrashed && !lostAttempts.empty()) {
        m_crashCounter.Increment();
        base::log(base::log_level::Warning, "upstream crashed",
                  {{"upstream", lostAttempts.front().upstream.str()},
                   {"requests", lostAttempts.size()},
                   {"fingerprints", describe(lostAttempts)}});
        std::vector<policy::crash_attempt> runningAttempts;
        runningAttempts.reserve(lostAttempts.size());
        for (const auto &attempt : lostAttempts) {
            runningAttempts.push_back({attempt.attempt, crashFingerprintOf(attempt)});
        }
        m_tracker.onUpstreamCrash(runningAttempts, now);
    }
    for (const auto &attempt : lostAttempts) {
        m_tracker.onAttemptEnd(attempt.attempt, false, now);
    }
    tick(now);
}

auto crash_control::checkSelection(const caller::selection_request &request) const
        -> base::result<void>
{
    switch (m_tracker.verdict(crashFingerprintOf(request), base::clock::now())) {
    case policy::crash_verdict::Run:
        return {};
    case policy::crash_verdict::RunAlone:
        if (!request.mayHaveRun && !request.hasAttemptInFlight) {
            return {};
        }
        return base::fail(base::error_kind::CrashSuspected,
                          "the request may crash upstreams and has one attempt only");
    case policy::crash_verdict::Refuse:
        break;
    }
    return base::fail(base::error_kind::CrashSuspected,
                      "the request has crashed several upstreams in a row");
}

auto crash_control::retryAfter(const caller::selection_request &request) const -> base::milliseconds
{
    return std::chrono::ceil<base::milliseconds>(
            m_tracker.remainingRefusalTime(crashFingerprintOf(request), base::clock::now()));
}

auto crash_control::merge(const std::vector<base::crash_record> &records) -> void
{
    m_tracker.merge(records, base::clock::now());
}

auto crash_control::tick(base::time_point now) -> void
{
    m_tracker.tick(now);
    const auto changes = m_tracker.takeChanges();
    logCrashChanges(changes);
    const auto refusedCount =
            std::count_if(changes.begin(), changes.end(), [](const policy::crash_change &change) {
                return change.event == policy::crash_event::Refused;
            });
    m_refusedRequestCounter.Increment(static_cast<double>(refusedCount));
    m_publish(m_tracker.publishedRecords(now));
}

} // namespace hawthornpick::app
