#pragma once

#include "base/crashrecord.h"
#include "base/evacuation.h"
#include "base/message.h"
#include "base/time.h"
#include "base/usage.h"
#include "fleet/usagetable.h"
#include "membership/view.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hawthornpick::fleet {

//! Version of a node's record; a higher one is newer.
struct record_version
{
    std::uint64_t generation = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const record_version &) const = default;
};

//! A node as it describes itself to its hub. Of two records of a node, the one with the higher
//! (generation, sequence) is newer.
struct node_record
{
    membership::node_entry entry;
    //! Increases with each start of the process, unless the host's clock is set back.
    std::uint64_t generation = 0;
    //! Increases with each change of the record.
    std::uint64_t sequence = 0;
    //! True for nodes that maintain the directory for others.
    bool isHub = false;
    //! The hub or deputy to which the node reports; empty before the first report.
    base::node_id reportsTo;
    //! Evidence of crashes from the upstreams of the node; at most `MAX_CRASH_RECORDS`.
    std::vector<base::crash_record> crashRecords = {};

    //! Longer lists of other nodes are cut.
    static constexpr std::size_t MAX_CRASH_RECORDS = 32;

    //! Upstreams that former processes of the node published and the current one doesn't list.
    //! Added by the nodes that store the record, never by the node itself; at most
    //! `MAX_FORMER_UPSTREAMS`.
    std::vector<membership::upstream_entry> formerUpstreams = {};

    //! Further entries are dropped, those of upstreams that leave last.
    static constexpr std::size_t MAX_FORMER_UPSTREAMS = 32;

    auto operator<=>(const node_record &) const = default;

    //! Thread safety of the members below: immutable.
    [[nodiscard]] auto isAliveHub() const -> bool
    {
        return isHub && entry.state == membership::node_state::Alive;
    }
    //! Returns true for a live entry node: one that accepts requests from callers.
    [[nodiscard]] auto isAliveEntryNode() const -> bool
    {
        return !isHub && entry.state == membership::node_state::Alive;
    }
    //! Returns true if an upstream of this or a former process has announced that it leaves.
    [[nodiscard]] auto hasDeparture() const -> bool;
    [[nodiscard]] auto version() const -> record_version { return {generation, sequence}; }
    [[nodiscard]] auto isNewerThan(const node_record &other) const -> bool
    {
        return version() > other.version();
    }
};

//! Position up to which a reader has received the directory of a hub.
struct directory_cursor
{
    //! Identifies the process of the hub.
    std::uint64_t bootId = 0;
    //! Number of the last change received from that process.
    std::uint64_t changeNumber = 0;

    auto operator<=>(const directory_cursor &) const = default;
};

//! Digests of the contents of a directory: one for each of a fixed number of groups of nodes. Two
//! directories differ at most in the groups whose digests differ.
class directory_digest
{
public:
    //! Few enough that the digests fit a datagram, and enough that a difference in one node causes
    //! the transfer of few others.
    static constexpr std::size_t GROUP_COUNT = 64;

    //! Adds the content of a record, or takes it away if it was added before.
    auto toggle(const node_record &record) -> void;

    //! Returns true if the group of `node` has the same digest in `other`.
    [[nodiscard]] auto agreesOn(const base::node_id &node, const directory_digest &other) const
            -> bool;

    //! Returns the digests as bytes; `fromBytes` returns nothing for any other length.
    [[nodiscard]] auto toBytes() const -> std::string;
    static auto fromBytes(std::string_view bytes) -> std::optional<directory_digest>;

    auto operator<=>(const directory_digest &) const = default;

private:
    std::array<std::uint32_t, GROUP_COUNT> m_groups{};
};

//! A committed configuration document. This module does not interpret the content.
struct config_document
{
    base::config_version version = 0;
    std::string content;

    auto operator<=>(const config_document &) const = default;
};

//! Sent by each node to the hub in use, and as a probe to others.
struct report
{
    node_record sender;
    //! Position up to which the sender has received the directory of the receiver.
    directory_cursor cursor;
    //! Version of the configuration that the sender has.
    base::config_version configVersion = 0;
    base::usage_map usages;
    //! True if the sender reports to another hub and only asks whether the receiver is fresh.
    bool isProbe = false;
    //! Digest of the sender's directory; set if `cursor` is empty.
    std::optional<directory_digest> directoryDigest = std::nullopt;
    //! True if the sender knows hubs of its region, but reports to one of another region because it
    //! doesn't reach them.
    bool usesDistantHub = false;
    //! Records with upstreams that left; set if the receiver's directory may be incomplete.
    std::vector<node_record> knownDepartures = {};
    //! True if these are all that a complete directory contains.
    bool tellsDepartures = false;
    //! Time of sending by the clock of the sender. The receiver only repeats it.
    base::time_point sentAt = {};
    //! Replaces `sender`, which is then empty, if the receiver has said that it holds this version.
    std::optional<record_version> senderVersion = std::nullopt;
    //! Revision of the evacuations that the sender knows.
    std::uint64_t evacuationRevision = 0;
    //! Set if the last answer of the receiver contained an older revision.
    std::optional<base::evacuation_list> evacuations = std::nullopt;
};

struct report_answer
{
    //! Position of the hub's directory that the reader has reached with `records`. Empty if the hub
    //! needs the digest of the reader's directory first.
    directory_cursor cursor;
    std::vector<node_record> records;
    //! False if the hub may have missed committed versions.
    bool isFresh = false;
    //! Set if the reporting node has an older version.
    std::optional<config_document> document;
    //! Fleet-wide usage of the organisations that the node reported, and of those that exceed their
    //! limit.
    base::usage_map usageTotals;
    //! Generation under which the hub knows the node, if it is higher than the reported one;
    //! otherwise 0.
    std::uint64_t knownGeneration = 0;
    //! Number of entry nodes whose usage is in the totals.
    std::uint32_t coveredNodeCount = 0;
    //! True if the directory of the hub has been collected since its start.
    bool isDirectoryComplete = false;
    //! `report::sentAt` of the report that is answered.
    base::time_point reportSentAt = {};
    //! Newest version that the hub has.
    base::config_version hubVersion = 0;
    //! Version of the receiver's record that the sender holds.
    std::optional<record_version> stored = std::nullopt;
    //! Revision of the evacuations that the hub knows.
    std::uint64_t evacuationRevision = 0;
    //! Set if this revision is higher than the reported one.
    std::optional<base::evacuation_list> evacuations = std::nullopt;
};

//! Usage of a region, as one of its hubs sent it to the gateway of another region.
struct region_usage
{
    base::region_id region;
    //! That hub.
    base::node_id source;
    usage_changes changes;
    //! Number of entry nodes in the sum.
    std::uint32_t nodeCount = 0;
    //! Time since the sender got the usage.
    base::milliseconds age{};
};

//! Sent by a hub to each hub of its region, and by a gateway to one hub of another region.
struct sync_request
{
    node_record sender;
    //! Position up to which the sender has received the directory of the receiver.
    directory_cursor cursor;
    //! Summed usage of the entry nodes that report to the sender; empty if the receiver is in
    //! another region.
    usage_changes localUsages;
    //! Number of these nodes.
    std::uint32_t localNodeCount = 0;
    //! As `report::senderVersion`.
    std::optional<record_version> senderVersion = std::nullopt;
    //! Position of the sender in the usage of the receiver: of its region if the sender is in
    //! another one, otherwise of its nodes. Not set by former versions.
    std::optional<usage_position> knownUsage = std::nullopt;
    //! Version of the receiver's record that the sender holds.
    std::optional<record_version> stored = std::nullopt;
    //! Other regions whose usage the sender lacks.
    std::vector<base::region_id> wantedRegions = {};
    //! Revision of the evacuations that the sender knows.
    std::uint64_t evacuationRevision = 0;
};

struct sync_answer
{
    //! Position of the sender's directory that the reader has reached with `records`.
    directory_cursor cursor;
    std::vector<node_record> records;
    //! Summed usage of the sender's region; set only if the receiver is in another region.
    std::optional<usage_changes> regionUsages;
    //! Number of entry nodes in this sum.
    std::uint32_t regionNodeCount = 0;
    //! True if the directory of the sender has been collected since its start.
    bool isDirectoryComplete = false;
    //! Usage of other regions that the sender has got; set only if the receiver is in its region.
    std::vector<region_usage> otherRegions = {};
    //! Set if `records` are complete only for a reader with at least this change number; otherwise
    //! they are for any reader. The answer may reach a later process of the node than the one that
    //! asked.
    std::optional<std::uint64_t> sinceChange = std::nullopt;
    //! Version of the receiver's record that the sender holds.
    std::optional<record_version> stored = std::nullopt;
    //! True if the sender lacks what a request referred to: the receiver repeats it in full.
    bool needsAll = false;
    //! Set if the sender knows newer evacuations than the receiver.
    std::optional<base::evacuation_list> evacuations = std::nullopt;
};

//! Asks a hub to store the record of the sender, besides the hub in use.
struct store_request
{
    node_record sender;
};

//! Version of the receiver's record that the sender holds.
struct store_answer
{
    std::uint64_t generation = 0;
    std::uint64_t sequence = 0;
};

//! Pushes newly committed content to a node.
struct config_notice
{
    //! Version 0 stands for no document.
    config_document document;
    base::evacuation_list evacuations = {};
};

//! Usage that changed since the sender's last message with usage, so that usage near a limit is
//! known to all nodes within a fraction of a report interval.
struct usage_update
{
    usage_changes usages;
    //! True if the usages are sums over the nodes that report to the sender.
    bool isFromHub = false;
};

//! Usage of all nodes for organisations near their limit; sent by a hub to its nodes between the
//! answers to their reports.
struct usage_totals
{
    base::usage_map totals;
    //! Number of entry nodes whose usage is in the totals.
    std::uint32_t coveredNodeCount = 0;
};

using message = std::variant<report, report_answer, sync_request, sync_answer, config_notice,
                             usage_update, usage_totals, store_request, store_answer>;

//! Thread safety: pure.
auto encodeMessage(const message &content) -> std::string;

//! Returns the name of the kind of a message, for metrics. Thread safety: pure.
auto kindName(const message &content) -> std::string_view;

//! Encodes a message for the channel `Directory`. Thread safety: pure.
auto toOutgoingMessage(const base::node_id &to, const message &content) -> base::outgoing_message;

//! Returns nothing if the bytes are not a valid message. Thread safety: pure.
auto decodeMessage(std::string_view bytes) -> std::optional<message>;

//! Encodes records for a file. Thread safety: pure.
auto encodeRecords(const std::vector<node_record> &records) -> std::string;

//! Returns the valid ones of encoded records; none if the bytes can't be decoded. Thread safety:
//! pure.
auto decodeRecords(std::string_view bytes) -> std::vector<node_record>;

//! Returns the id of the node with this peer address. Thread safety: pure.
auto nodeIdOf(const membership::endpoint &peerAddress) -> base::node_id;

} // namespace hawthornpick::fleet
