#include "lease/leaseholder.h"

#include "lease/timing.h"

#include <algorithm>

namespace hawthornpick::lease {

namespace {

constexpr auto NOT_HELD = base::time_point::min().time_since_epoch().count();
constexpr base::milliseconds MIN_RETRY_TIME{200};
constexpr std::uint64_t RETRY_SPREAD_MS = 500;

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
    auto &item = m_claims[name];
    if (item.state == claim_state::Released) {
        item.state = claim_state::Idle;
    }
    if (item.until) {
        return;
    }
    item.until = std::make_shared<deadline>(NOT_HELD);
    auto next = std::make_shared<deadline_map>(*m_deadlines.load());
    next->insert_or_assign(name, item.until);
    m_deadlines.store(std::move(next));
}

auto lease_holder::release(const std::string &name) -> void
{
    const auto found = m_claims.find(name);
    if (found == m_claims.end()) {
        return;
    }
    found->second.until->store(NOT_HELD, std::memory_order_release);
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

auto lease_holder::takeLost() -> std::vector<std::string>
{
    return std::exchange(m_lost, {});
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
        accept(from, result);
    }
    return {};
}

auto lease_holder::accept(const base::node_id &from, const wire::lease_result &result) -> void
{
    const auto found = m_claims.find(result.name);
    if (found == m_claims.end()) {
        return;
    }
    auto &item = found->second;
    const auto epoch = static_cast<std::uint64_t>(result.epoch);
    item.highestSeen = std::max(item.highestSeen, epoch);
    const bool isOpen = item.state == claim_state::Claiming || item.state == claim_state::Held;
    if (!result.granted || !isOpen || result.round != item.round || epoch != item.epoch) {
        return;
    }
    item.granted.insert(from);
    if (item.granted.size() < majorityOf(m_place.witnesses.size())) {
        return;
    }
    item.state = claim_state::Held;
    item.until->store((item.sentAt + LEASE_TERM).time_since_epoch().count(),
                      std::memory_order_release);
}

auto lease_holder::tick(base::time_point now) -> messages
{
    claim_batch batch;
    for (auto &[name, item] : m_claims) {
        advance(name, item, now, batch);
    }
    auto out = toMessages(batch.claims, false);
    const auto releases = toMessages(batch.releases, true);
    out.insert(out.end(), releases.begin(), releases.end());
    return out;
}

auto lease_holder::advance(const std::string &name, claim &item, base::time_point now,
                           claim_batch &out) -> void
{
    switch (item.state) {
    case claim_state::Released:
        if (item.epoch != 0) {
            out.releases.push_back(toItem(name, item.epoch, item.round));
            item.epoch = 0;
        }
        return;
    case claim_state::Idle:
        if (now >= item.retryAt) {
            item.epoch = std::max(item.highestSeen, item.epoch) + 1;
            item.highestSeen = item.epoch;
            item.state = claim_state::Claiming;
            startRound(name, item, now, out);
        }
        return;
    case claim_state::Claiming:
        if (now - item.sentAt >= CLAIM_TIME) {
            giveBack(name, item, now, out);
        }
        return;
    case claim_state::Held:
        if (now.time_since_epoch().count() >= item.until->load(std::memory_order_relaxed)) {
            m_lost.push_back(name);
            giveBack(name, item, now, out);
        } else if (now - item.sentAt >= RENEW_INTERVAL) {
            startRound(name, item, now, out);
        }
        return;
    }
}

auto lease_holder::startRound(const std::string &name, claim &item, base::time_point now,
                              claim_batch &out) -> void
{
    ++item.round;
    item.sentAt = now;
    item.granted.clear();
    out.claims.push_back(toItem(name, item.epoch, item.round));
}

auto lease_holder::giveBack(const std::string &name, claim &item, base::time_point now,
                            claim_batch &out) -> void
{
    item.state = claim_state::Idle;
    item.retryAt = now + MIN_RETRY_TIME + base::milliseconds(m_random.below(RETRY_SPREAD_MS));
    out.releases.push_back(toItem(name, item.epoch, item.round));
}

auto lease_holder::toMessages(const std::vector<wire::lease_item> &items, bool isRelease) const
        -> messages
{
    messages out;
    for (std::size_t at = 0; at < items.size(); at += MAX_CLAIMS_PER_MESSAGE) {
        wire::lease_request request;
        request.region = m_place.region.str();
        request.incarnation = static_cast<std::int64_t>(m_place.incarnation);
        request.is_release = isRelease;
        const auto end = std::min(at + MAX_CLAIMS_PER_MESSAGE, items.size());
        request.items.assign(items.begin() + static_cast<std::ptrdiff_t>(at),
                             items.begin() + static_cast<std::ptrdiff_t>(end));
        for (const auto &witness : m_place.witnesses) {
            out.push_back(
                    toMessage(witness, base::channel::Lease, message_kind::LeaseRequest, request));
        }
    }
    return out;
}

} // namespace hawthornpick::lease
