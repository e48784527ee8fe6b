#include "lease/leasegranter.h"

#include "lease/timing.h"

#include <algorithm>

namespace hawthornpick::lease {

auto lease_granter::decide(const lease_claim &claim, base::time_point now) -> lease_verdict
{
    auto &item = m_grants[claim.name];
    const bool sameLife = item.holder == claim.holder && item.incarnation == claim.incarnation;
    if (sameLife && item.epoch == claim.epoch) {
        item.until = std::max(item.until, now + GRANT_HOLD);
        return {true, item.epoch};
    }
    const auto highest = std::max(item.epoch, m_floor);
    // A holder that restarted lost its lease with its memory.
    const bool holderRestarted =
            item.holder == claim.holder && item.incarnation < claim.incarnation;
    const bool isFree = item.holder.empty() || now >= item.until || holderRestarted || sameLife;
    if (!isFree || claim.epoch <= highest) {
        return {false, highest};
    }
    item = {claim.holder, claim.incarnation, claim.epoch, now + GRANT_HOLD};
    m_highest = std::max(m_highest, claim.epoch);
    return {true, claim.epoch};
}

auto lease_granter::release(const lease_claim &claim) -> void
{
    const auto found = m_grants.find(claim.name);
    if (found == m_grants.end()) {
        return;
    }
    auto &item = found->second;
    if (item.holder == claim.holder && item.incarnation == claim.incarnation
        && item.epoch == claim.epoch) {
        item.holder = {};
    }
}

auto lease_granter::raiseFloor(std::uint64_t epoch) -> void
{
    m_floor = std::max(m_floor, epoch);
    m_highest = std::max(m_highest, epoch);
}

} // namespace hawthornpick::lease
