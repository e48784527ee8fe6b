#include "policy/failuredetector.h"

#include "base/thriftcodec.h"
#include "policy/internal/detectorstate.h"

#include <algorithm>

namespace hawthornpick::policy {

namespace {

//! Each node sends its summaries to a few peers at this interval, to keep the usual values known.
constexpr base::duration PUBLISH_INTERVAL = std::chrono::seconds(1);
constexpr std::size_t PUBLISH_PEERS = 3;
//! While an upstream is suspect its node asks its peers at this interval, and at each tick once the
//! evidence is complete.
constexpr base::duration ASK_INTERVAL = std::chrono::milliseconds(100);
constexpr std::size_t ASK_PEERS = 24;
//! Share of the threshold at which peers are asked, so that the answers are there at the threshold.
constexpr double ASK_EVIDENCE = 0.4;
constexpr std::int64_t NO_QUESTION = 0;

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
                        NO_QUESTION,
                        {},
                        {}})
{}

failure_detector::~failure_detector() = default;

auto failure_detector::setUpstream(const base::upstream_id &upstream, bool isFlapping) -> void
{
    const std::lock_guard lock(m_mutex);
    m_state->watched[upstream].isFlapping = isFlapping;
}

auto failure_detector::removeUpstream(const base::upstream_id &upstream) -> void
{
    const std::lock_guard lock(m_mutex);
    m_state->watched.erase(upstream);
}

auto failure_detector::resetEvidence(const base::upstream_id &upstream) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto item = m_state->watched.find(upstream);
    if (item != m_state->watched.end()) {
        item->second.failures.reset();
        item->second.latencies.reset();
        item->second.recent = {};
        item->second.organisations.clear();
    }
}

auto failure_detector::setPeers(std::vector<base::node_id> peers) -> void
{
    const std::lock_guard lock(m_mutex);
    std::erase(peers, m_state->self);
    m_state->peers = std::move(peers);
    std::erase_if(m_state->remote, [&](const auto &item) {
        const auto &list = m_state->peers;
        return std::find(list.begin(), list.end(), item.second.node) == list.end();
    });
}

auto failure_detector::started(const attempt_start &start, base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto item = m_state->watched.find(start.upstream);
    if (item != m_state->watched.end()) {
        item->second.running[start.attempt] = {start.organisation, start.fingerprint, now};
    }
}

auto failure_detector::finished(const base::upstream_id &upstream, const base::attempt_id &attempt,
                                attempt_outcome outcome, base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto item = m_state->watched.find(upstream);
    if (item == m_state->watched.end()) {
        return;
    }
    const auto running = item->second.running.find(attempt);
    if (running == item->second.running.end()) {
        return;
    }
    const auto ended = running->second;
    item->second.running.erase(running);
    m_state->countOutcome(upstream, item->second, ended, outcome, now);
}

auto failure_detector::health(const base::upstream_id &upstream, base::time_point now)
        -> upstream_health
{
    const std::lock_guard lock(m_mutex);
    const auto item = m_state->watched.find(upstream);
    if (item == m_state->watched.end()) {
        return {};
    }
    const double evidence =
            m_state->evidence(upstream, item->second, attribution::CapUnserved, now);
    if (evidence < 1.0) {
        item->second.crossed.reset();
        return {false, evidence};
    }
    item->second.crossed = item->second.crossed.value_or(now);
    if (!m_state->hasFreshComparison(upstream, item->second, now)) {
        return {false, evidence};
    }
    // The evidence above may rest on a comparison from before the last answers.
    item->second.compared.reset();
    const double confirmed =
            m_state->evidence(upstream, item->second, attribution::CapUnserved, now);
    if (confirmed < 1.0) {
        return {false, confirmed};
    }
    if (m_state->serviceDegrades(upstream, item->second, now)) {
        item->second.failures.reset();
        item->second.latencies.reset();
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
        if (!m_state->watched.contains(id)) {
            m_state->remote[id] = {from, summary, now};
        }
    }
    m_state->forgetOldSummaries(now);
    if (message->answer_to != NO_QUESTION && message->answer_to == m_state->question) {
        m_state->answered[from] = m_state->asked;
        for (auto &[id, watched] : m_state->watched) {
            watched.compared.reset();
        }
    }
    if (message->question == NO_QUESTION) {
        return {};
    }
    return {{from, base::channel::Baseline, m_state->message(NO_QUESTION, message->question, now)}};
}

auto failure_detector::tick(base::time_point now) -> std::vector<base::outgoing_message>
{
    const std::lock_guard lock(m_mutex);
    m_state->forgetOldSummaries(now);
    std::vector<base::outgoing_message> out;
    const auto sendTo = [&](const std::vector<base::node_id> &nodes, const std::string &payload) {
        for (const auto &node : nodes) {
            out.push_back({node, base::channel::Baseline, payload});
        }
    };
    bool suspect = false;
    bool crossed = false;
    for (auto &[id, upstream] : m_state->watched) {
        suspect = suspect
                  || m_state->evidence(id, upstream, attribution::Ignore, now) >= ASK_EVIDENCE;
        crossed = crossed || upstream.crossed.has_value();
    }
    if (crossed || (suspect && now - m_state->asked >= ASK_INTERVAL)) {
        m_state->asked = now;
        sendTo(m_state->samplePeers(ASK_PEERS),
               m_state->message(++m_state->question, NO_QUESTION, now));
    } else if (!m_state->watched.empty() && now - m_state->published >= PUBLISH_INTERVAL) {
        m_state->published = now;
        sendTo(m_state->samplePeers(PUBLISH_PEERS),
               m_state->message(NO_QUESTION, NO_QUESTION, now));
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
