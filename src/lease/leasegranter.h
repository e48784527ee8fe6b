#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace hawthornpick::lease {

//! One request for a named lease.
struct lease_claim
{
    base::node_id holder;
    base::incarnation incarnation = 0;
    std::string name;
    std::uint64_t epoch = 0;
};

//! Answer to a claim; `epoch` is the highest one known for the name.
struct lease_verdict
{
    bool granted = false;
    std::uint64_t epoch = 0;

    auto operator<=>(const lease_verdict &) const = default;
};

//! Named leases as one witness grants them. Thread safety of all members: control thread.
class lease_granter
{
public:
    //! Grants, renews or refuses a claim.
    //! Precondition: the witness started at least `GRANT_HOLD` before `now` and has recovered.
    auto decide(const lease_claim &claim, base::time_point now) -> lease_verdict;

    //! Frees the lease if the claim names its holder and epoch.
    auto release(const lease_claim &claim) -> void;

    //! Refuses epochs up to `epoch` for new holders of all names.
    auto raiseFloor(std::uint64_t epoch) -> void;

    //! Returns the highest epoch that this witness knows for any name.
    [[nodiscard]] auto highestEpoch() const -> std::uint64_t { return m_highest; }

private:
    struct grant
    {
        base::node_id holder;
        base::incarnation incarnation = 0;
        std::uint64_t epoch = 0;
        base::time_point until;
    };

    std::map<std::string, grant> m_grants;
    std::uint64_t m_floor = 0;
    std::uint64_t m_highest = 0;
};

} // namespace hawthornpick::lease
