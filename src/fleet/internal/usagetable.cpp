#include "fleet/usagetable.h"

#include <algorithm>
#include <cmath>

namespace hawthornpick::fleet {

namespace {

//! Changes below this share of the usage, or below these amounts, are small.
constexpr double SMALL_SHARE = 0.05;
constexpr double SMALL_DEMAND = 0.25;
constexpr double SMALL_ADMITTED = 2.0;
//! Below the resolution of messages.
constexpr double SAME_DEMAND = 0.5 / 256.0;
constexpr double SAME_ADMITTED = 0.5;

auto differs(const base::rate_usage &left, const base::rate_usage &right, double share,
             double demand, double admitted) -> bool
{
    const auto exceeds = [share](double first, double second, double least) {
        return std::abs(first - second) >= std::max(least, share * std::abs(first));
    };
    return exceeds(left.demand, right.demand, demand)
           || exceeds(left.admitted, right.admitted, admitted);
}

auto isUnused(const base::rate_usage &usage) -> bool
{
    return !differs(usage, {}, 0.0, SAME_DEMAND, SAME_ADMITTED);
}

} // namespace

auto usage_table::update(const base::usage_map &usages, const exact_function &isExact,
                         base::time_point now) -> void
{
    for (const auto &[organisation, usage] : usages) {
        const auto known = m_usages.find(organisation);
        if (known == m_usages.end()) {
            if (!isUnused(usage)) {
                set(organisation, usage, now);
            }
            continue;
        }
        const auto &item = known->second;
        if (!differs(item.usage, usage, 0.0, SAME_DEMAND, SAME_ADMITTED)) {
            continue;
        }
        if (differs(item.usage, usage, SMALL_SHARE, SMALL_DEMAND, SMALL_ADMITTED)
            || now - item.changedAt >= SMALL_CHANGE_INTERVAL || isExact(organisation)) {
            set(organisation, usage, now);
        }
    }
    for (const auto &[organisation, item] : m_usages) {
        if (!usages.contains(organisation) && !isUnused(item.usage)) {
            set(organisation, {}, now);
        }
    }
    forgetUnused(now);
}

auto usage_table::set(const base::organisation_id &organisation, const base::rate_usage &usage,
                      base::time_point now) -> void
{
    m_usages[organisation] = {usage, ++m_lastNumber, now};
}

auto usage_table::forgetUnused(base::time_point now) -> void
{
    std::erase_if(m_usages, [this, now](const auto &item) {
        const auto &entry = item.second;
        const bool isForgotten = isUnused(entry.usage) && now - entry.changedAt >= FORGET_TIME;
        if (isForgotten) {
            m_forgottenNumber = std::max(m_forgottenNumber, entry.number);
        }
        return isForgotten;
    });
}

auto usage_table::changesSince(const usage_position &reader) const -> usage_changes
{
    const bool isKnown = reader.bootId == m_bootId && reader.number <= m_lastNumber
                         && reader.number >= m_forgottenNumber;
    const auto since = isKnown ? reader.number : 0;
    usage_changes changes{{}, {m_bootId, m_lastNumber}, since};
    for (const auto &[organisation, item] : m_usages) {
        const bool isWanted = since == 0 ? !isUnused(item.usage) : item.number > since;
        if (isWanted) {
            changes.usages.emplace(organisation, item.usage);
        }
    }
    return changes;
}

auto usage_copy::apply(const usage_changes &changes) -> bool
{
    const bool isSameProcess =
            changes.until.bootId != 0 && changes.until.bootId == m_position.bootId;
    if (isSameProcess && changes.until.number < m_position.number) {
        return true;
    }
    if (changes.since == 0) {
        m_usages = changes.usages;
        m_position = changes.until;
        return true;
    }
    if (!isSameProcess || m_position.number < changes.since) {
        return false;
    }
    for (const auto &[organisation, usage] : changes.usages) {
        if (isUnused(usage)) {
            m_usages.erase(organisation);
        } else {
            m_usages[organisation] = usage;
        }
    }
    m_position = changes.until;
    return true;
}

auto usage_copy::overlay(const base::usage_map &usages) -> void
{
    for (const auto &[organisation, usage] : usages) {
        m_usages[organisation] = usage;
    }
}

} // namespace hawthornpick::fleet
