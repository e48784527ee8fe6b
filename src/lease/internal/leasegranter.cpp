#include "lease/leasegranter.h"

#include "lease/timing.h"

#include <algorithm>

namespace hawthornpick::lease {

auto lease_granter::decide(const lease_claim &claim, base::time_point now) -> lease_decision
{
    auto &current = m_grants[claim.name];
    const bool isSameIncarnation =
            current.holder == claim.holder && current.incarnation == claim.incarnation;
    if (isSameIncarnation && current.epoch == claim.epoch) {
        current.expiresAt = std::max(current.expiresAt, now + GRANT_DURATION);
        return {true, current.epoch};
    }
    const auto highestKnownEpoch = std::max(current.epoch, m_epochFloor);
    // Leases are kept in memory only, so a holder that restarted no longer uses its old lease.
    const bool holderRestarted =
            current.holder == claim.holder && current.incarnation < claim.incarnation;
    const bool isFree = current.holder.empty() || now >= current.expiresAt || holderRestarted
                        || isSameIncarnation;
    if (!isFree || claim.epoch <= highestKnownEpoch) {
        return {false, highestKnownEpoch};
    }
    current = {claim.holder, claim.incarnation, claim.epoch, now + GRANT_DURATION};
    m_highestEpoch = std::max(m_highestEpoch, claim.epoch);
    return {true, claim.epoch};
}

auto lease_granter::release(const lease_claim &claim) -> void
{
    const auto found = m_grants.find(claim.name);
    if (found == m_grants.end()) {
        return;
    }
    auto &current = found->second;
    if (current.holder == claim.holder && current.incarnation == claim.incarnation
        && current.epoch == claim.epoch) {
        current.holder = {};
    }
}

auto lease_granter::raiseEpochFloor(std::uint64_t epoch) -> void
{
    m_epochFloor = std::max(m_epochFloor, epoch);
    m_highestEpoch = std::max(m_highestEpoch, epoch);
}

} // namespace hawthornpick::lease
