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

//! Opinion of the failure detector. A later enumerator overrides an earlier one with the same
//! incarnation and refutation.
enum class condition : std::uint8_t {
    Alive,
    Suspect,
    Dead,
};

//! Everything known of one node.
struct member
{
    //! Without upstreams and state, which are kept below.
    node_entry entry;
    std::uint64_t refutation = 0;
    condition opinion = condition::Alive;
    bool isLeaving = false;
    //! All changes up to this sequence of the node are contained in `upstreams`.
    std::uint64_t complete = 0;
    //! By local name, withdrawn ones (`Gone`) included so that older changes are recognised.
    std::map<std::string, upstream_entry> upstreams;
    //! Time of the last change of `opinion` or `refutation`.
    base::time_point opinionSince;
    //! Checks made during the current suspicion.
    int checks = 0;
    //! Contribution to the digests.
    std::uint32_t digest = 0;
};

//! Changes that a merge made.
struct merge_result
{
    bool isChanged = false;
    //! The other side knows less than this table and should be told.
    bool isStale = false;
};

inline constexpr std::size_t DIGEST_BUCKETS = 64;

//! Table of nodes with the rules that decide which of two statements is newer.
class member_table
{
public:
    using map = std::map<base::node_id, member>;

    [[nodiscard]] auto all() const -> const map & { return m_members; }
    [[nodiscard]] auto find(const base::node_id &id) -> member *;
    [[nodiscard]] auto find(const base::node_id &id) const -> const member *;

    //! Adds or replaces a node. Thread safety: one thread.
    auto put(member value) -> member &;

    //! Removes a dead node and remembers its last statement, so that older ones do not bring it
    //! back. Thread safety: one thread.
    auto forget(const base::node_id &id, base::time_point now) -> void;
    //! Drops remembered statements older than `limit`.
    auto expireForgotten(base::time_point limit) -> void;
    //! Returns the last statement about a forgotten node, or null.
    [[nodiscard]] auto forgotten(const base::node_id &id) const -> const wire::status *;

    //! Merges a statement of another node. Of a known node with the same incarnation the opinion in
    //! the record is left to `mergeStatus`. Thread safety: one thread.
    auto mergeRecord(const wire::record &record, base::time_point now) -> merge_result;
    auto mergeChange(const wire::change &change) -> merge_result;
    //! Merges the opinion about a known node with the same incarnation.
    auto mergeStatus(const wire::status &status, base::time_point now) -> merge_result;

    //! Updates the digests after a change of `value` made by the caller.
    auto refresh(member &value) -> void;

    //! Digest of all nodes that are not dead, and of those in one bucket.
    [[nodiscard]] auto digest() const -> std::uint32_t;
    [[nodiscard]] auto buckets() const -> const std::array<std::uint32_t, DIGEST_BUCKETS> &
    {
        return m_buckets;
    }
    [[nodiscard]] static auto bucketOf(const base::node_id &id) -> std::size_t;

private:
    struct forgotten_node
    {
        wire::status last;
        base::time_point at;
    };

    auto mergeKnownRecord(member &known, const wire::record &record) -> merge_result;
    static auto mergeUpstreams(member &known, const wire::record &record) -> bool;

    map m_members;
    std::map<base::node_id, forgotten_node> m_forgotten;
    std::array<std::uint32_t, DIGEST_BUCKETS> m_buckets{};
};

//! Conversions between the table and the wire. Thread safety: pure.
auto statusOf(const member &value) -> wire::status;
auto recordOf(const member &value) -> wire::record;
auto memberFrom(const wire::record &record) -> member;
auto wireUpstream(const std::string &name, const upstream_entry &entry) -> wire::upstream;
//! True if `left` overrides `right`; both are about the same node.
auto isNewer(const wire::status &left, const wire::status &right) -> bool;
//! Returns the local name of `<node>/<local name>`, or the whole id without that prefix.
auto localName(const base::node_id &node, const base::upstream_id &id) -> std::string;

} // namespace hawthornpick::membership
