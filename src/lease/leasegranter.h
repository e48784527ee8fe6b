#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace hawthornpick::lease {

//! Request of a node to acquire, renew or release a named lease.
struct lease_claim
{
    base::node_id holder;
    //! Incarnation of the holder's process.
    base::incarnation incarnation = 0;
    //! Name of the lease.
    std::string name;
    //! Epoch under which the holder claims the lease.
    std::uint64_t epoch = 0;
};

//! Answer to a claim. `epoch` is the granted epoch, or the highest epoch known for the name if the
//! claim is refused.
struct lease_decision
{
    bool granted = false;
    std::uint64_t epoch = 0;

    auto operator<=>(const lease_decision &) const = default;
};

//! Decision object that grants the named leases of one witness. A lease is held once a majority of
//! the region's witnesses grants it. Thread safety of all members: control thread.
class lease_granter
{
public:
    //! Grants, renews or refuses a claim. A claim with the holder, incarnation and epoch of the
    //! current grant renews it. Any other claim needs an epoch above the highest known one; a claim
    //! of another holder is also refused until the current grant has expired or was released.
    //! Precondition: the witness started at least `GRANT_DURATION` before `now` and has recovered.
    auto decide(const lease_claim &claim, base::time_point now) -> lease_decision;

    //! Frees the lease if holder, incarnation and epoch of the claim match the current grant;
    //! otherwise does nothing.
    auto release(const lease_claim &claim) -> void;

    //! Raises the epoch floor: for all names, claims with an epoch up to and including `epoch` are
    //! refused unless they renew a grant. A value below the current floor has no effect.
    auto raiseEpochFloor(std::uint64_t epoch) -> void;

    //! Returns the highest epoch that was granted for any name or set by `raiseEpochFloor`.
    [[nodiscard]] auto highestEpoch() const -> std::uint64_t { return m_highestEpoch; }

private:
    struct grant
    {
        base::node_id holder;
        base::incarnation incarnation = 0;
        std::uint64_t epoch = 0;
        base::time_point expiresAt;
    };

    std::map<std::string, grant> m_grants;
    std::uint64_t m_epochFloor = 0;
    std::uint64_t m_highestEpoch = 0;
};

} // namespace hawthornpick::lease
