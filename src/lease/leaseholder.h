#pragma once

#include "base/random.h"
#include "base/snapshotcell.h"
#include "lease/currencyclient.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornpick::lease {

//! Decision object that acquires and renews any number of named leases of the node's region.
//! Thread safety of all members but `holds`: control thread.
class lease_holder
{
public:
    using messages = std::vector<base::outgoing_message>;

    //! A claim without a majority after this time is given back, so that two candidates with a part
    //! of the witnesses each do not block one another for a whole term.
    static constexpr base::milliseconds CLAIM_TIME{300};
    //! Claims in one message, which keeps it within a datagram.
    static constexpr std::size_t MAX_CLAIMS_PER_MESSAGE = 16;

    lease_holder(node_place place, base::random_source random);

    //! Starts to acquire the lease and keeps it until `release`.
    auto want(const std::string &name) -> void;

    //! Stops using the lease at once and gives it back at the next tick.
    auto release(const std::string &name) -> void;

    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;
    auto tick(base::time_point now) -> messages;

    //! Returns true while the lease is held. Thread safety: any thread, lock-free for the caller.
    [[nodiscard]] auto holds(const std::string &name, base::time_point now) const -> bool;

    //! Returns the epoch of a held lease. Epochs of successive holders increase, except after a
    //! restart of so many of the region's witnesses that they had to recover from the controllers.
    [[nodiscard]] auto epoch(const std::string &name, base::time_point now) const
            -> std::optional<std::uint64_t>;

    //! Returns the names whose lease ended without `release` since the last call.
    auto takeLost() -> std::vector<std::string>;

private:
    using deadline = std::atomic<base::time_point::rep>;
    using deadline_map = std::map<std::string, std::shared_ptr<deadline>>;
    enum class claim_state : std::uint8_t {
        Idle,
        Claiming,
        Held,
        Released,
    };
    struct claim
    {
        claim_state state = claim_state::Idle;
        std::uint64_t epoch = 0;
        std::uint64_t highestSeen = 0;
        std::int64_t round = 0;
        base::time_point sentAt;
        base::time_point retryAt;
        std::set<base::node_id> granted;
        std::shared_ptr<deadline> until;
    };

    struct claim_batch
    {
        std::vector<wire::lease_item> claims;
        std::vector<wire::lease_item> releases;
    };

    auto advance(const std::string &name, claim &item, base::time_point now, claim_batch &out)
            -> void;
    auto startRound(const std::string &name, claim &item, base::time_point now, claim_batch &out)
            -> void;
    auto giveBack(const std::string &name, claim &item, base::time_point now, claim_batch &out)
            -> void;
    auto accept(const base::node_id &from, const wire::lease_result &result) -> void;
    auto toMessages(const std::vector<wire::lease_item> &items, bool isRelease) const -> messages;

    node_place m_place;
    base::random_source m_random;
    std::map<std::string, claim> m_claims;
    std::vector<std::string> m_lost;
    base::snapshot_cell<deadline_map> m_deadlines;
};

} // namespace hawthornpick::lease
