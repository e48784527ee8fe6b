#include "lease/leaseholder.h"

#include "lease/timing.h"

#include <algorithm>

namespace hawthornpick::lease {

namespace {

constexpr auto NOT_HELD_DEADLINE = base::time_point::min().time_since_epoch().count();
constexpr base::milliseconds MIN_RETRY_DELAY{200};
constexpr std::uint64_t MAX_RETRY_JITTER_MS = 500;

auto toItem(const std::string &name, std::uint64_t epoch, std::int64_t round) -> wire::lease_item
{
    wire::lease_item item;
    item.name = name;
    item.epoch = static_cast<std::int64_t>(epoch);
    item.round = round;
    return item;
}

} // namespace

lease_holder::lease_holder(node_place place, base::random_source random)
    : m_place(std::move(place)), m_random(random),
      m_deadlines(std::make_shared<const deadline_map>())
{}

auto lease_holder::want(const std::string &name) -> void
{
    auto &entry = m_claims[name];
    if (entry.state == claim_state::Released) {
        entry.state = claim_state::NotClaimed;
    }
    if (entry.validUntil) {
        return;
    }
    entry.round = static_cast<std::int64_t>(m_random.firstRequestNumber());
    entry.validUntil = std::make_shared<deadline_cell>(NOT_HELD_DEADLINE);
    auto updatedDeadlines = std::make_shared<deadline_map>(*m_deadlines.load());
    updatedDeadlines->insert_or_assign(name, entry.validUntil);
    m_deadlines.store(std::move(updatedDeadlines));
}

auto lease_holder::release(const std::string &name) -> void
{
    const auto found = m_claims.find(name);
    if (found == m_claims.end()) {
        return;
    }
    found->second.validUntil->store(NOT_HELD_DEADLINE, std::memory_order_release);
    found->second.state = claim_state::Released;
}

auto lease_holder::holds(const std::string &name, base::time_point now) const -> bool
{
    const auto deadlines = m_deadlines.load();
    const auto found = deadlines->find(name);
    return found != deadlines->end()
           && now.time_since_epoch().count() < found->second->load(std::memory_order_acquire);
}

auto lease_holder::epoch(const std::string &name, base::time_point now) const
        -> std::optional<std::uint64_t>
{
    if (!holds(name, now)) {
        return std::nullopt;
    }
    return m_claims.at(name).epoch;
}

auto lease_holder::takeLostNames() -> std::vector<std::string>
{
    return std::exchange(m_lostNames, {});
}

auto lease_holder::receive(const base::node_id &from, std::string_view payload, base::time_point)
        -> messages
{
    if (takeKind(payload) != static_cast<std::uint8_t>(message_kind::LeaseAnswer)) {
        return {};
    }
    const auto answer = base::decodeThrift<wire::lease_answer>(payload);
    const auto &witnesses = m_place.witnesses;
    if (!answer || std::find(witnesses.begin(), witnesses.end(), from) == witnesses.end()) {
        return {};
    }
    for (const auto &result : answer->results) {
        onResult(from, result);
    }
    return {};
}

auto lease_holder::onResult(const base::node_id &from, const wire::lease_result &result) -> void
{
    const auto found = m_claims.find(result.name);
    if (found == m_claims.end()) {
        return;
    }
    auto &entry = found->second;
    const auto epoch = static_cast<std::uint64_t>(result.epoch);
    entry.highestEpochSeen = std::max(entry.highestEpochSeen, epoch);
    const bool isActive = entry.state == claim_state::Claiming || entry.state == claim_state::Held;
    if (!result.granted || !isActive || result.round != entry.round || epoch != entry.epoch) {
        return;
    }
    entry.grantedBy.insert(from);
    if (entry.grantedBy.size() < majorityOf(m_place.witnesses.size())) {
        return;
    }
    entry.state = claim_state::Held;
    entry.validUntil->store((entry.sentAt + LEASE_DURATION).time_since_epoch().count(),
                            std::memory_order_release);
}

auto lease_holder::tick(base::time_point now) -> messages
{
    claim_batch batch;
    for (auto &[name, entry] : m_claims) {
        advanceClaim(name, entry, now, batch);
    }
    auto out = toMessages(batch.claims, false);
    const auto releases = toMessages(batch.releases, true);
    out.insert(out.end(), releases.begin(), releases.end());
    return out;
}

auto lease_holder::advanceClaim(const std::string &name, claim_entry &entry, base::time_point now,
                                claim_batch &out) -> void
{
    switch (entry.state) {
    case claim_state::Released:
        if (entry.epoch != 0) {
            out.releases.push_back(toItem(name, entry.epoch, entry.round));
            entry.epoch = 0;
        }
        return;
    case claim_state::NotClaimed:
        if (now >= entry.retryAt) {
            entry.epoch = std::max(entry.highestEpochSeen, entry.epoch) + 1;
            entry.highestEpochSeen = entry.epoch;
            entry.state = claim_state::Claiming;
            startRound(name, entry, now, out);
        }
        return;
    case claim_state::Claiming:
        if (now - entry.sentAt >= CLAIM_TIMEOUT) {
            abandonClaim(name, entry, now, out);
        }
        return;
    case claim_state::Held:
        if (now.time_since_epoch().count() >= entry.validUntil->load(std::memory_order_relaxed)) {
            m_lostNames.push_back(name);
            abandonClaim(name, entry, now, out);
        } else if (now - entry.sentAt >= LEASE_RENEWAL_INTERVAL) {
            startRound(name, entry, now, out);
        }
        return;
    }
}

auto lease_holder::startRound(const std::string &name, claim_entry &entry, base::time_point now,
                              claim_batch &out) -> void
{
    ++entry.round;
    entry.sentAt = now;
    entry.grantedBy.clear();
    out.claims.push_back(toItem(name, entry.epoch, entry.round));
}

auto lease_holder::abandonClaim(const std::string &name, claim_entry &entry, base::time_point now,
                                claim_batch &out) -> void
{
    entry.state = claim_state::NotClaimed;
    entry.retryAt = now + MIN_RETRY_DELAY + base::milliseconds(m_random.below(MAX_RETRY_JITTER_MS));
    out.releases.push_back(toItem(name, entry.epoch, entry.round));
}

auto lease_holder::toMessages(const std::vector<wire::lease_item> &items, bool isRelease) const
        -> messages
{
    messages out;
    for (std::size_t first = 0; first < items.size(); first += MAX_CLAIMS_PER_MESSAGE) {
        wire::lease_request request;
        request.region = m_place.region.str();
        request.incarnation = static_cast<std::int64_t>(m_place.incarnation);
        request.is_release = isRelease;
        const auto end = std::min(first + MAX_CLAIMS_PER_MESSAGE, items.size());
        request.items.assign(items.begin() + static_cast<std::ptrdiff_t>(first),
                             items.begin() + static_cast<std::ptrdiff_t>(end));
        for (const auto &witness : m_place.witnesses) {
            out.push_back(
                    toMessage(witness, base::channel::Lease, message_kind::LeaseRequest, request));
        }
    }
    return out;
}

} // namespace hawthornpick::lease
