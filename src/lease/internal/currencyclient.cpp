#include "lease/currencyclient.h"

#include "lease/timing.h"

#include <algorithm>
#include <utility>

namespace hawthornpick::lease {

namespace {

// Answers of older rounds would give a shorter lease than the newest one.
constexpr std::size_t MAX_OPEN_ROUNDS = 4;

} // namespace

currency_client::currency_client(node_place place, base::random_source random)
    : m_place(std::move(place)), m_random(random)
{}

auto currency_client::setVersion(base::config_version version) -> void
{
    m_versionChanged = m_versionChanged || version != m_version;
    m_version = version;
}

auto currency_client::isCurrent(base::time_point now) const -> bool
{
    return now.time_since_epoch().count() < m_deadline.load(std::memory_order_acquire);
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
        confirm(from, answer->round);
        return {};
    }
    const auto newest = versionFromWire(answer->newest, answer->digest);
    if (newest && newest->version > m_newest.version) {
        m_newest = *newest;
        m_heardFrom = from;
    }
    return {};
}

auto currency_client::confirm(const base::node_id &from, std::int64_t number) -> void
{
    const auto round = std::find_if(m_rounds.begin(), m_rounds.end(),
                                    [number](const auto &item) { return item.number == number; });
    if (round == m_rounds.end()) {
        return;
    }
    round->confirmed.insert(from);
    if (round->confirmed.size() < majorityOf(m_place.witnesses.size())) {
        return;
    }
    round->answeredByMajority = true;
    const auto deadline = (round->startedAt + LEASE_TERM).time_since_epoch().count();
    if (deadline > m_deadline.load(std::memory_order_relaxed)) {
        m_deadline.store(deadline, std::memory_order_release);
    }
}

auto currency_client::tick(base::time_point now) -> messages
{
    const bool isDue = m_rounds.empty() || m_versionChanged
                       || now - m_rounds.back().startedAt >= CHECK_INTERVAL;
    if (isDue) {
        return startRound(now);
    }
    auto &round = m_rounds.back();
    const bool isSlow = !round.answeredByMajority && now - round.startedAt >= WIDEN_TIME;
    return isSlow ? widen(round) : messages{};
}

auto currency_client::startRound(base::time_point now) -> messages
{
    // All witnesses wait for the node to leave the older version, not only those of one round.
    const bool asksAll = std::exchange(m_versionChanged, false);
    check_round round;
    round.number = ++m_lastRound;
    round.version = m_version;
    round.startedAt = now;
    round.unasked = m_place.witnesses;
    for (std::size_t i = round.unasked.size(); i > 1; --i) {
        std::swap(round.unasked[i - 1], round.unasked[m_random.below(i)]);
    }
    messages out;
    const auto witnesses = round.unasked.size();
    const auto first = asksAll ? witnesses : std::min(majorityOf(witnesses), witnesses);
    for (std::size_t i = 0; i < first; ++i) {
        out.push_back(ask(round.unasked.back(), round));
        round.unasked.pop_back();
    }
    m_rounds.push_back(std::move(round));
    if (m_rounds.size() > MAX_OPEN_ROUNDS) {
        m_rounds.pop_front();
    }
    return out;
}

auto currency_client::widen(check_round &round) -> messages
{
    messages out;
    for (const auto &witness : round.unasked) {
        out.push_back(ask(witness, round));
    }
    round.unasked.clear();
    return out;
}

auto currency_client::ask(const base::node_id &witness, const check_round &round) const
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
