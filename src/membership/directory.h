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

//! Identity, location and address that a node announces for itself.
struct local_node
{
    base::node_id id;
    base::incarnation incarnation = 0;
    std::string host;
    base::region_id region;
    base::failure_domain_id failureDomain;
    //! Address at which other nodes reach this node.
    endpoint peerAddress;
};

//! A configured node that is contacted in order to join the fleet.
struct seed_node
{
    base::node_id id;
    endpoint address;

    auto operator<=>(const seed_node &) const = default;
};

//! Intervals, time-outs and retention times of the failure detector and of gossip.
struct directory_timing
{
    //! Interval between probes; each probe has one target node.
    base::milliseconds probePeriod{1000};
    //! A probe without an answer within this time is repeated through other nodes.
    base::milliseconds directProbeTimeout{300};
    //! Minimum time between suspecting a node and declaring it dead. The effective time-out grows
    //! with the number of nodes and with the number of this node's own failed probes.
    base::milliseconds minSuspicionTimeout{4000};
    //! Interval of gossip messages while updates are queued.
    base::milliseconds gossipPeriod{150};
    //! Interval of pings to dead nodes and to seeds that are not known.
    base::milliseconds reconnectPeriod{5000};
    //! Time after which a dead node is removed from the view; longer than most partitions.
    base::milliseconds deadNodeRetention{600'000};
    //! Time for which the last status of a removed node is kept, so that delayed gossip does not
    //! restore the node.
    base::milliseconds tombstoneRetention{86'400'000};
    //! Time for which a node keeps its own withdrawn upstreams.
    base::milliseconds withdrawnUpstreamRetention{600'000};
};

class directory_state;

//! Failure detector and directory of nodes and upstreams, based on the SWIM protocol. Performs no
//! I/O: messages to send are returned to the caller. A node is added only after it has answered a
//! message, so one-way reachability is not sufficient. All members are called on the control
//! thread, except where stated.
class directory
{
public:
    using messages = std::vector<base::outgoing_message>;

    //! `randomSeed` determines the selection of nodes to probe and to gossip with; equal seeds and
    //! inputs give equal runs.
    directory(local_node self, std::vector<seed_node> seeds, directory_timing timing,
              std::uint64_t randomSeed, base::time_point now);
    ~directory();
    directory(const directory &) = delete;
    auto operator=(const directory &) -> directory & = delete;

    //! Handles a message of channel `Membership` and returns the messages to send. Malformed
    //! messages are ignored.
    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;

    //! Runs due probes, time-outs and gossip, publishes the view and returns the messages to send.
    //! Call every 50 ms.
    auto tick(base::time_point now) -> messages;

    //! Adds or updates an upstream of this node from its announcement; `ejected` and `sequence` of
    //! the entry are ignored. Returns false for an announcement of an older incarnation.
    //! Precondition: the id is `<this node>/<local name>`.
    auto publish(const upstream_entry &announced, base::time_point now) -> bool;

    //! Withdraws an upstream of this node. Other nodes do not list it again unless it is published
    //! again.
    auto withdraw(const base::upstream_id &id, base::time_point now) -> void;

    //! Sets the ejected flag of an upstream of this node.
    auto setEjected(const base::upstream_id &id, bool ejected, base::time_point now) -> void;

    //! Announces that this node accepts no new requests. Cannot be undone in this incarnation.
    auto leave(base::time_point now) -> void;

    //! Returns the peer address of a known node or a seed, or no value for any other node.
    [[nodiscard]] auto endpointOf(const base::node_id &node) const -> std::optional<endpoint>;

    //! Returns the cell with the current view, which is replaced at most every 100 ms.
    //! Thread safety: any thread.
    [[nodiscard]] auto view() const -> const base::snapshot_cell<membership::view> &;

private:
    std::unique_ptr<directory_state> m_state;
};

} // namespace hawthornpick::membership
