#include "lease/currencyclient.h"

#include "lease/timing.h"

#include <algorithm>
#include <utility>

namespace hawthornpick::lease {

namespace {

// Rounds whose answers are still counted. Answers to older rounds are ignored, as a confirmed newer
// round gives a longer lease.
constexpr std::size_t MAX_TRACKED_ROUNDS = 4;

} // namespace

currency_client::currency_client(node_place place, base::random_source random)
    : m_place(std::move(place)), m_random(random),
      m_lastRoundNumber(static_cast<std::int64_t>(m_random.firstRequestNumber()))
{}

auto currency_client::setVersion(base::config_version version) -> void
{
    m_hasVersionChanged = m_hasVersionChanged || version != m_version;
    m_version = version;
}

auto currency_client::isCurrent(base::time_point now) const -> bool
{
    return now.time_since_epoch().count() < m_leaseDeadline.load(std::memory_order_acquire);
}

auto currency_client::receive(const base::node_id &from, std::string_view payload, base::time_point)
        -> messages
{
    if (takeKind(payload) != static_cast<std::uint8_t>(message_kind::CheckAnswer)) {
        return {};
    }
    const auto answer = base::decodeThrift<wire::check_answer>(payload);
    const auto &witnesses = m_place.witnesses;
    const bool isWitness = std::find(witnesses.begin(), witnesses.end(), from) != witnesses.end();
    if (!answer || !isWitness) {
        return {};
    }
    if (answer->digest.empty()) {
        onConfirmation(from, answer->round);
        return {};
    }
    const auto newest = versionFromWire(answer->newest, answer->digest);
    if (newest && newest->version > m_newestReported.version) {
        m_newestReported = *newest;
        m_newestReportedBy = from;
    }
    return {};
}

auto currency_client::onConfirmation(const base::node_id &from, std::int64_t roundNumber) -> void
{
    const auto round =
            std::find_if(m_rounds.begin(), m_rounds.end(),
                         [roundNumber](const auto &item) { return item.number == roundNumber; });
    if (round == m_rounds.end()) {
        return;
    }
    round->confirmedBy.insert(from);
    if (round->confirmedBy.size() < majorityOf(m_place.witnesses.size())) {
        return;
    }
    round->isConfirmedByMajority = true;
    const auto deadline = (round->startedAt + LEASE_DURATION).time_since_epoch().count();
    if (deadline > m_leaseDeadline.load(std::memory_order_relaxed)) {
        m_leaseDeadline.store(deadline, std::memory_order_release);
    }
}

auto currency_client::tick(base::time_point now) -> messages
{
    const bool isDue = m_rounds.empty() || m_hasVersionChanged
                       || now - m_rounds.back().startedAt >= CURRENCY_CHECK_INTERVAL;
    if (isDue) {
        return startRound(now);
    }
    auto &round = m_rounds.back();
    const bool isMajorityOverdue =
            !round.isConfirmedByMajority && now - round.startedAt >= ASK_REMAINING_DELAY;
    return isMajorityOverdue ? askRemainingWitnesses(round) : messages{};
}

auto currency_client::startRound(base::time_point now) -> messages
{
    // After a change, every witness has to learn that the node no longer uses the older version,
    // not only the majority that a round usually asks.
    const bool asksAllWitnesses = std::exchange(m_hasVersionChanged, false);
    check_round round;
    round.number = ++m_lastRoundNumber;
    round.version = m_version;
    round.startedAt = now;
    round.unaskedWitnesses = m_place.witnesses;
    for (std::size_t i = round.unaskedWitnesses.size(); i > 1; --i) {
        std::swap(round.unaskedWitnesses[i - 1], round.unaskedWitnesses[m_random.below(i)]);
    }
    messages out;
    const auto witnessCount = round.unaskedWitnesses.size();
    const auto initialCount =
            asksAllWitnesses ? witnessCount : std::min(majorityOf(witnessCount), witnessCount);
    for (std::size_t i = 0; i < initialCount; ++i) {
        out.push_back(makeCheck(round.unaskedWitnesses.back(), round));
        round.unaskedWitnesses.pop_back();
    }
    m_rounds.push_back(std::move(round));
    if (m_rounds.size() > MAX_TRACKED_ROUNDS) {
        m_rounds.pop_front();
    }
    return out;
}

auto currency_client::askRemainingWitnesses(check_round &round) -> messages
{
    messages out;
    for (const auto &witness : round.unaskedWitnesses) {
        out.push_back(makeCheck(witness, round));
    }
    round.unaskedWitnesses.clear();
    return out;
}

auto currency_client::makeCheck(const base::node_id &witness, const check_round &round) const
        -> base::outgoing_message
{
    wire::check check;
    check.region = m_place.region.str();
    check.incarnation = static_cast<std::int64_t>(m_place.incarnation);
    check.round = round.number;
    check.version = static_cast<std::int64_t>(round.version);
    return toMessage(witness, base::channel::Currency, message_kind::Check, check);
}

} // namespace hawthornpick::lease
