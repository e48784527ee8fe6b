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

//! Decision object that acquires and renews named leases of the node's region. A lease is held
//! while a majority of the region's witnesses has granted it under the same epoch.
//! Thread safety of all members but `holds`: control thread.
class lease_holder
{
public:
    using messages = std::vector<base::outgoing_message>;

    //! Time after which a claim that no majority has granted is released, so that two candidates
    //! that each hold the grants of a minority do not block each other for a whole lease duration.
    static constexpr base::milliseconds CLAIM_TIMEOUT{300};
    //! Maximum number of claims or releases in one message, so that it fits into a datagram.
    static constexpr std::size_t MAX_CLAIMS_PER_MESSAGE = 16;

    //! Precondition: `random` has a different seed at each start of the node.
    lease_holder(node_place place, base::random_source random);

    //! Starts to acquire the lease; renews it, or acquires it again after a loss, until `release`.
    auto want(const std::string &name) -> void;

    //! Ends the use of the lease at once; the next tick tells the witnesses. Has no effect if the
    //! lease was never wanted.
    auto release(const std::string &name) -> void;

    //! Handles a message of the channel `Lease`; answers of nodes that are not witnesses of the
    //! region are ignored. Returns no messages.
    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;

    //! Returns the claims, renewals and releases that are due.
    auto tick(base::time_point now) -> messages;

    //! Returns true if the lease is held at `now`. Thread safety: any thread, lock-free for the
    //! caller.
    [[nodiscard]] auto holds(const std::string &name, base::time_point now) const -> bool;

    //! Returns the epoch of the lease, or nothing if it is not held at `now`. The epochs of
    //! successive holders increase, unless so many of the region's witnesses restart that they have
    //! to recover from the controllers, which do not know the epochs.
    [[nodiscard]] auto epoch(const std::string &name, base::time_point now) const
            -> std::optional<std::uint64_t>;

    //! Returns the names of the leases that expired without `release` since the last call.
    auto takeLostNames() -> std::vector<std::string>;

private:
    // End of the validity of a lease in ticks of the clock; read by any thread.
    using deadline_cell = std::atomic<base::time_point::rep>;
    using deadline_map = std::map<std::string, std::shared_ptr<deadline_cell>>;
    enum class claim_state : std::uint8_t {
        // Waits until `retryAt` before it claims the lease.
        NotClaimed,
        // Has sent a claim and waits for a majority of grants.
        Claiming,
        Held,
        Released,
    };
    struct claim_entry
    {
        claim_state state = claim_state::NotClaimed;
        std::uint64_t epoch = 0;
        // Highest epoch that this node claimed or a witness named.
        std::uint64_t highestEpochSeen = 0;
        // Number of the newest claim or renewal; answers to earlier ones are not counted.
        std::int64_t round = 0;
        base::time_point sentAt;
        base::time_point retryAt;
        // Witnesses that granted the claim of this round.
        std::set<base::node_id> grantedBy;
        std::shared_ptr<deadline_cell> validUntil;
    };

    struct claim_batch
    {
        std::vector<wire::lease_item> claims;
        std::vector<wire::lease_item> releases;
    };

    auto advanceClaim(const std::string &name, claim_entry &entry, base::time_point now,
                      claim_batch &out) -> void;
    // Adds a claim or a renewal with a new round number to `out`.
    auto startRound(const std::string &name, claim_entry &entry, base::time_point now,
                    claim_batch &out) -> void;
    // Adds a release to `out` and schedules the next claim after a random delay, which makes
    // repeated collisions of candidates unlikely.
    auto abandonClaim(const std::string &name, claim_entry &entry, base::time_point now,
                      claim_batch &out) -> void;
    auto onResult(const base::node_id &from, const wire::lease_result &result) -> void;
    auto toMessages(const std::vector<wire::lease_item> &items, bool isRelease) const -> messages;

    node_place m_place;
    base::random_source m_random;
    std::map<std::string, claim_entry> m_claims;
    std::vector<std::string> m_lostNames;
    base::snapshot_cell<deadline_map> m_deadlines;
};

} // namespace hawthornpick::lease
