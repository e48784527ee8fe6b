#include "policy/failuredetector.h"

#include "base/thriftcodec.h"
#include "policy/internal/detectorstate.h"

#include <algorithm>

namespace hawthornpick::policy {

namespace {

//! Interval at which a node sends its summaries to a few peers, to keep their baselines up to date.
constexpr base::duration PUBLISH_INTERVAL = std::chrono::seconds(1);
constexpr std::size_t MAX_PUBLISH_PEERS = 3;
//! Interval of queries to peers while an upstream is suspect. Once an upstream's evidence has
//! reached the threshold, peers are queried at each tick.
constexpr base::duration QUERY_INTERVAL = std::chrono::milliseconds(100);
constexpr std::size_t MAX_QUERY_PEERS = 24;
//! Share of the threshold from which peers are queried, so that replies are available when it is
//! reached.
constexpr double MIN_QUERY_EVIDENCE = 0.4;
constexpr std::int64_t NO_QUERY = 0;

} // namespace

failure_detector::failure_detector(detector_parameters parameters, base::service_id service,
                                   base::node_id self, std::uint64_t seed)
    : m_state(new state{parameters,
                        std::move(service),
                        std::move(self),
                        base::random_source(seed),
                        {},
                        {},
                        {},
                        {},
                        {},
                        {},
                        NO_QUERY,
                        {},
                        {}})
{}

failure_detector::~failure_detector() = default;

auto failure_detector::setUpstream(const base::upstream_id &upstream, bool isFlapping) -> void
{
    const std::lock_guard lock(m_mutex);
    m_state->localUpstreams[upstream].isFlapping = isFlapping;
}

auto failure_detector::removeUpstream(const base::upstream_id &upstream) -> void
{
    const std::lock_guard lock(m_mutex);
    m_state->localUpstreams.erase(upstream);
}

auto failure_detector::resetEvidence(const base::upstream_id &upstream) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto item = m_state->localUpstreams.find(upstream);
    if (item != m_state->localUpstreams.end()) {
        item->second.failureCusum.reset();
        item->second.latencyCusum.reset();
        item->second.recent = {};
        item->second.organisations.clear();
    }
}

auto failure_detector::setPeers(std::vector<base::node_id> peers) -> void
{
    const std::lock_guard lock(m_mutex);
    std::erase(peers, m_state->self);
    m_state->peers = std::move(peers);
    std::erase_if(m_state->remoteUpstreams, [&](const auto &item) {
        const auto &list = m_state->peers;
        return std::find(list.begin(), list.end(), item.second.node) == list.end();
    });
}

auto failure_detector::onAttemptStart(const attempt_start &start, base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto item = m_state->localUpstreams.find(start.upstream);
    if (item != m_state->localUpstreams.end()) {
        item->second.inFlight[start.attempt] = {start.organisation, start.fingerprint, now};
    }
}

auto failure_detector::onAttemptEnd(const base::upstream_id &upstream,
                                    const base::attempt_id &attempt, attempt_outcome outcome,
                                    base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto item = m_state->localUpstreams.find(upstream);
    if (item == m_state->localUpstreams.end()) {
        return;
    }
    const auto position = item->second.inFlight.find(attempt);
    if (position == item->second.inFlight.end()) {
        return;
    }
    const auto ended = position->second;
    item->second.inFlight.erase(position);
    m_state->countOutcome(upstream, item->second, ended, outcome, now);
}

auto failure_detector::health(const base::upstream_id &upstream, base::time_point now)
        -> upstream_health
{
    const std::lock_guard lock(m_mutex);
    const auto item = m_state->localUpstreams.find(upstream);
    if (item == m_state->localUpstreams.end()) {
        return {};
    }
    const double evidence =
            m_state->evidence(upstream, item->second, attribution::CapIfNotServedElsewhere, now);
    if (evidence < 1.0) {
        item->second.thresholdReachedAt.reset();
        return {false, evidence};
    }
    item->second.thresholdReachedAt = item->second.thresholdReachedAt.value_or(now);
    if (!m_state->hasConfirmingReplies(upstream, item->second, now)) {
        return {false, evidence};
    }
    // The evidence above may be based on a comparison from before the latest replies.
    item->second.cachedComparison.reset();
    const double confirmed =
            m_state->evidence(upstream, item->second, attribution::CapIfNotServedElsewhere, now);
    if (confirmed < 1.0) {
        return {false, confirmed};
    }
    if (m_state->isServiceDegraded(upstream, item->second, now)) {
        item->second.failureCusum.reset();
        item->second.latencyCusum.reset();
        return {false, 0.0};
    }
    return {true, evidence};
}

auto failure_detector::receive(const base::node_id &from, std::string_view payload,
                               base::time_point now) -> std::vector<base::outgoing_message>
{
    const auto message = base::decodeThrift<wire::baseline_message>(payload);
    const std::lock_guard lock(m_mutex);
    if (!message || message->service_name != m_state->service.str()) {
        return {};
    }
    for (const auto &summary : message->upstreams) {
        const base::upstream_id id(summary.upstream);
        if (!m_state->localUpstreams.contains(id)) {
            m_state->remoteUpstreams[id] = {from, summary, now};
        }
    }
    m_state->removeExpired(now);
    if (message->answer_to != NO_QUERY && message->answer_to == m_state->lastQueryId) {
        m_state->repliedQueryAt[from] = m_state->queriedAt;
        for (auto &[id, upstream] : m_state->localUpstreams) {
            upstream.cachedComparison.reset();
        }
    }
    if (message->question == NO_QUERY) {
        return {};
    }
    return {{from, base::channel::Baseline,
             m_state->encodeMessage(NO_QUERY, message->question, now)}};
}

auto failure_detector::tick(base::time_point now) -> std::vector<base::outgoing_message>
{
    const std::lock_guard lock(m_mutex);
    m_state->removeExpired(now);
    std::vector<base::outgoing_message> out;
    const auto sendTo = [&](const std::vector<base::node_id> &nodes, const std::string &payload) {
        for (const auto &node : nodes) {
            out.push_back({node, base::channel::Baseline, payload});
        }
    };
    bool anySuspect = false;
    bool thresholdReached = false;
    for (auto &[id, upstream] : m_state->localUpstreams) {
        anySuspect = anySuspect
                     || m_state->evidence(id, upstream, attribution::Uncapped, now)
                                >= MIN_QUERY_EVIDENCE;
        thresholdReached = thresholdReached || upstream.thresholdReachedAt.has_value();
    }
    if (thresholdReached || (anySuspect && now - m_state->queriedAt >= QUERY_INTERVAL)) {
        m_state->queriedAt = now;
        sendTo(m_state->samplePeers(MAX_QUERY_PEERS),
               m_state->encodeMessage(++m_state->lastQueryId, NO_QUERY, now));
    } else if (!m_state->localUpstreams.empty() && now - m_state->publishedAt >= PUBLISH_INTERVAL) {
        m_state->publishedAt = now;
        sendTo(m_state->samplePeers(MAX_PUBLISH_PEERS),
               m_state->encodeMessage(NO_QUERY, NO_QUERY, now));
    }
    return out;
}

auto failure_detector::serviceOf(std::string_view payload) -> std::optional<base::service_id>
{
    const auto message = base::decodeThrift<wire::baseline_message>(payload);
    if (!message) {
        return std::nullopt;
    }
    return base::service_id(message->service_name);
}

} // namespace hawthornpick::policy
