#pragma once

#include "base/ids.h"
#include "base/message.h"
#include "base/snapshotcell.h"
#include "base/time.h"
#include "membership/view.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace hawthornpick::membership {

//! What a node says about itself.
struct local_node
{
    base::node_id id;
    base::incarnation incarnation = 0;
    std::string host;
    base::region_id region;
    base::failure_domain_id failureDomain;
    //! Where other nodes reach this one.
    endpoint peerAddress;
};

//! A node that is contacted to join the fleet.
struct seed_node
{
    base::node_id id;
    endpoint address;

    auto operator<=>(const seed_node &) const = default;
};

//! Times of the failure detector.
struct directory_times
{
    //! One node is probed in each period.
    base::milliseconds probePeriod{1000};
    //! Without an answer by then, other nodes are asked to probe.
    base::milliseconds directTimeout{300};
    //! Shortest time between suspicion and death; grows with the fleet and with the number of
    //! own failed probes.
    base::milliseconds suspicionTime{4000};
    //! Interval of messages that pass on changes, while there are any.
    base::milliseconds gossipPeriod{150};
    //! Interval of attempts to reach seeds and dead nodes.
    base::milliseconds reconnectPeriod{5000};
    //! A dead node leaves the view after this time. Longer than most partitions.
    base::milliseconds forgetTime{600'000};
    //! Last statements about forgotten nodes are kept for this time, against delayed gossip.
    base::milliseconds forgottenMemory{86'400'000};
    //! A withdrawn upstream is kept for this time by its own node.
    base::milliseconds withdrawnMemory{600'000};
};

class directory_state;

//! Failure detector and directory of nodes and upstreams: a pure decision object after SWIM. A node
//! becomes known only after it answered a question, so hearing a node one way is not enough. All
//! members are called on the control thread, except where stated.
class directory
{
public:
    using messages = std::vector<base::outgoing_message>;

    //! `randomSeed` decides which nodes are asked; equal seeds give equal runs.
    directory(local_node self, std::vector<seed_node> seeds, directory_times times,
              std::uint64_t randomSeed, base::time_point now);
    ~directory();
    directory(const directory &) = delete;
    auto operator=(const directory &) -> directory & = delete;

    //! Takes a message of channel `Membership`. Malformed messages are ignored.
    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;

    //! Probes, passes on changes and publishes the view. Call every 50 ms.
    auto tick(base::time_point now) -> messages;

    //! Adds or updates an upstream of this node from its announcement; `ejected` and `sequence` of
    //! the entry are ignored. Returns false for an announcement of an older incarnation.
    //! Precondition: the id is `<this node>/<local name>`.
    auto publish(const upstream_entry &announced, base::time_point now) -> bool;

    //! Withdraws an upstream of this node; other nodes never see it again unless it is published.
    auto withdraw(const base::upstream_id &id, base::time_point now) -> void;

    //! Sets the ejected flag of an upstream of this node.
    auto setEjected(const base::upstream_id &id, bool ejected, base::time_point now) -> void;

    //! Announces that this node takes no new work. Cannot be undone in this incarnation.
    auto leave(base::time_point now) -> void;

    //! Peer address of a known node or a seed.
    [[nodiscard]] auto endpointOf(const base::node_id &node) const -> std::optional<endpoint>;

    //! The current view; replaced at most every 100 ms. Thread safety: any thread.
    [[nodiscard]] auto view() const -> const base::snapshot_cell<membership::view> &;

private:
    std::unique_ptr<directory_state> m_state;
};

} // namespace hawthornpick::membership
