#pragma once

#include "base/time.h"
#include "membership/generated/membershipwire_types.h"
#include "membership/view.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hawthornpick::membership {

//! Result of failure detection for a node. For equal incarnation and refutation, a later enumerator
//! overrides an earlier one.
enum class liveness_state : std::uint8_t {
    Alive,
    Suspect,
    Dead,
};

//! Local state about one node.
struct member
{
    //! `upstreams` and `state` are unused here; the members below hold them.
    node_entry entry;
    std::uint64_t refutation = 0;
    liveness_state liveness = liveness_state::Alive;
    bool isLeaving = false;
    //! `upstreams` contains all changes of the node up to and including this sequence number.
    std::uint64_t completeUpTo = 0;
    //! Keyed by local name. Withdrawn upstreams (`Gone`) are included so that older changes are
    //! recognised.
    std::map<std::string, upstream_entry> upstreams;
    //! Time of the last change of `liveness` or `refutation`.
    base::time_point livenessSince;
    //! Number of checks sent during the current suspicion.
    int suspicionChecks = 0;
    //! Contribution of this node to the digest of its bucket.
    std::uint32_t digest = 0;
};

//! Result of merging information from another node.
struct merge_result
{
    bool isChanged = false;
    //! The sender's information is older than that of this table; it should be sent the newer one.
    bool isSenderOutdated = false;
};

inline constexpr std::size_t DIGEST_BUCKETS = 64;

//! Table of known nodes. Applies the rules that decide which of two statements about a node is
//! newer.
class member_table
{
public:
    using map = std::map<base::node_id, member>;

    [[nodiscard]] auto all() const -> const map & { return m_members; }
    [[nodiscard]] auto find(const base::node_id &id) -> member *;
    [[nodiscard]] auto find(const base::node_id &id) const -> const member *;

    //! Also deletes the node's tombstone. Thread safety: one thread.
    auto insertOrReplace(member value) -> member &;

    //! Removes a dead node and keeps its last status as a tombstone, so that older statements do
    //! not restore the node. Thread safety: one thread.
    auto remove(const base::node_id &id, base::time_point now) -> void;
    //! Deletes the tombstones of nodes removed before `removedBefore`.
    auto expireTombstones(base::time_point removedBefore) -> void;
    //! Returns the last status of a removed node, or null if there is no tombstone.
    [[nodiscard]] auto findTombstone(const base::node_id &id) const -> const wire::status *;

    //! Merges a record received from another node. For a known node with the same incarnation, the
    //! liveness state in the record is not merged; call `mergeStatus` for it.
    //! Thread safety: one thread.
    auto mergeRecord(const wire::record &record, base::time_point now) -> merge_result;
    auto mergeChange(const wire::change &change) -> merge_result;
    //! Merges the liveness state of a known node with the same incarnation; ignores other nodes.
    auto mergeStatus(const wire::status &status, base::time_point now) -> merge_result;

    //! Recomputes the digests after the caller has modified `value`.
    auto updateDigest(member &value) -> void;

    //! Digest of all nodes that are not dead. `buckets` returns the digests of the single buckets.
    [[nodiscard]] auto digest() const -> std::uint32_t;
    [[nodiscard]] auto buckets() const -> const std::array<std::uint32_t, DIGEST_BUCKETS> &
    {
        return m_buckets;
    }
    [[nodiscard]] static auto bucketOf(const base::node_id &id) -> std::size_t;

private:
    struct tombstone
    {
        wire::status lastStatus;
        base::time_point removedAt;
    };

    auto mergeKnownRecord(member &known, const wire::record &record) -> merge_result;
    static auto mergeUpstreams(member &known, const wire::record &record) -> bool;

    map m_members;
    std::map<base::node_id, tombstone> m_tombstones;
    std::array<std::uint32_t, DIGEST_BUCKETS> m_buckets{};
};

//! Conversions between table entries and wire structures. Thread safety: pure.
auto statusOf(const member &value) -> wire::status;
auto recordOf(const member &value) -> wire::record;
auto memberFrom(const wire::record &record) -> member;
auto toWireUpstream(const std::string &name, const upstream_entry &entry) -> wire::upstream;
//! Returns whether `left` overrides `right`. Precondition: both are about the same node.
auto isNewer(const wire::status &left, const wire::status &right) -> bool;
//! Returns the local name of `<node>/<local name>`, or the whole id without that prefix.
auto localName(const base::node_id &node, const base::upstream_id &id) -> std::string;

} // namespace hawthornpick::membership
