#pragma once

#include "base/message.h"
#include "base/time.h"
#include "fleet/departurejournal.h"
#include "fleet/gatewaywatch.h"
#include "fleet/recordtable.h"
#include "fleet/reporter.h"
#include "fleet/usagetable.h"

#include <functional>
#include <map>
#include <vector>

namespace hawthornpick::fleet {

struct hub_options
{
    //! Nodes that may be hubs; enough of them that at least one is up.
    std::vector<base::node_id> contacts;
    //! Identifies this process; differs after each restart.
    std::uint64_t bootId = 0;
    //! True for a node that replaces the hubs while none is reachable: it has no configuration
    //! documents, and exchanges records and usage only with other deputies.
    bool isDeputy = false;
    //! True if the departures of upstreams are kept in a file; see `takeDepartureWrite`.
    bool keepsDepartures = false;
};

//! Decision object of a node that maintains the directory for other nodes: collects their reports,
//! synchronises records with the other hubs, and distributes records, committed configuration
//! documents and total usage.
//!
//! All hubs of one region synchronise with each other. For each other region, one hub, the gateway,
//! queries one hub, which answers for its whole region, and forwards the answers to the hubs of its
//! own region at once, so that what crosses regions crosses once; see `gateway_watch`. Messages
//! refer to what the receiver has said to hold; a receiver that has lost it asks for all of it. The
//! usage of a node counts once: at the hub that the `reportsTo` of its record names.
//!
//! Hubs of the version before gateways may run beside others: they query other regions themselves,
//! are sent whole records and usages, and get no forwarded answers.
//! Thread safety of all members: one thread.
class hub
{
public:
    using messages = std::vector<base::outgoing_message>;

    //! Half of `reporter::REPORT_INTERVAL`: the age of the totals bounds how far a limit can be
    //! exceeded.
    static constexpr base::milliseconds SYNC_INTERVAL{250};
    //! A node that has not reported for this time counts as dead. Longer than most partitions
    //! between a node and the hubs, because the node keeps serving requests during a partition.
    static constexpr base::milliseconds NODE_TIMEOUT{20'000};
    //! Usage of a node or hub counts for this long after its last message: four intervals plus the
    //! time of a switch to another hub. A node that is silent for longer keeps its share of the
    //! limits: the share of the other nodes shrinks by it (`report_answer::coveredNodeCount`).
    static constexpr base::milliseconds USAGE_TIMEOUT{2500};
    //! Consecutive unanswered requests to a hub of another region after which another hub of that
    //! region is queried.
    static constexpr int MAX_UNANSWERED_REQUESTS = 2;
    //! Time for which other hubs of a region are preferred to one that did not answer.
    static constexpr base::milliseconds FAILED_HUB_BACKOFF{3000};
    //! Age up to which the sum of all usage is used again.
    static constexpr base::milliseconds FLEET_USAGE_MAX_AGE{50};
    //! A committed document is pushed to the nodes whose last report is at most this old.
    static constexpr base::milliseconds PUSH_MAX_REPORT_AGE{2000};

    //! Time after its start in which a hub collects the directory, unless a hub or a node with a
    //! complete one tells it earlier: one report interval and the exchange between hubs.
    static constexpr base::milliseconds DIRECTORY_COLLECTION_TIME{700};
    //! As `DIRECTORY_COLLECTION_TIME`, for a hub whose file of departures can't be read.
    static constexpr base::milliseconds DEPARTURE_LOAD_TIMEOUT{5000};

    //! Interval at which changed usage is sent to the other hubs of the region, and totals near a
    //! limit to nodes. Short, because an organisation that suddenly sends many times its usual load
    //! uses up its limit within a second.
    static constexpr base::milliseconds USAGE_UPDATE_INTERVAL{100};
    //! Totals are sent only to nodes with at least this demand, in requests per second.
    static constexpr double MIN_PUSHED_DEMAND = 0.05;

    //! Returns true if the usage of an organisation is near its limit or exceeds it.
    using near_limit_function =
            std::function<bool(const base::organisation_id &, const base::rate_usage &)>;

    //! `isFresh` returns whether the last document passed to `publish` is certainly the newest
    //! committed one.
    //! Precondition: `localReporter` is the reporter of this node and outlives the object. The node
    //! has one record, which the reporter keeps: with a record of its own, the hub and the reporter
    //! would each take the other for a former process of the node and raise the generation in turn.
    hub(hub_options options, reporter &localReporter, std::function<bool(base::time_point)> isFresh,
        near_limit_function isNearLimit);

    auto receive(const base::node_id &from, const message &content, base::time_point now)
            -> messages;
    auto tick(base::time_point now) -> messages;

    //! Stores a newer committed document and returns the messages that push it to nodes, with the
    //! evacuations that the reporter of this node knows.
    auto publish(config_document document, base::time_point now) -> messages;
    //! Returns the messages that push the evacuations that the reporter of this node knows.
    [[nodiscard]] auto publishEvacuations(base::time_point now) const -> messages;

    //! Returns the messages that announce the state of this node.
    //! Precondition: the state of the reporter is `Leaving`.
    auto leave(base::time_point now) -> messages;

    //! Takes over the content of the file of departures. Precondition: `keepsDepartures`, and not
    //! called before.
    auto onDeparturesLoaded(std::string_view content, base::time_point now) -> void;
    //! Returns new content of the file of departures, if it must be written now; to be called after
    //! each other call of a member function. Nothing is returned until `onDeparturesWritten` was
    //! called for the last write.
    auto takeDepartureWrite() -> std::optional<departure_write>;
    auto onDeparturesWritten(std::uint64_t revision) -> messages;

    //! Merges records that the node received from elsewhere.
    auto mergeRecords(const record_table &records) -> void;

    [[nodiscard]] auto records() const -> const record_table & { return m_records; }

private:
    //! Summed usage of several entry nodes.
    struct usage_sum
    {
        base::usage_map usages;
        //! Number of these nodes; a fraction if the usage of a peer counts in part.
        double nodeCount = 0.0;
    };
    struct reporter_state
    {
        base::time_point lastReportAt;
        base::usage_map usages;
    };
    struct peer_state
    {
        //! Position up to which the directory of the peer has been received.
        directory_cursor cursor;
        base::time_point lastRequestAt;
        //! Usage of the nodes that report to the peer, and their number.
        usage_copy usage;
        double nodeCount = 0.0;
        //! Number of nodes that reported to the peer when it sent `usage`.
        std::size_t reporterCount = 0;
        base::time_point backoffUntil;
        base::time_point lastHeardAt;
        //! False if the peer doesn't forward answers: it runs a former version.
        bool isCurrent = false;
        //! Version of this node's record that the peer holds.
        std::optional<record_version> heldRecord;
        //! Positions in this hub's directory and local usage up to which changes were sent to the
        //! peer. It notices if some were lost.
        std::uint64_t sentChange = 0;
        usage_position sentUsage;
        //! Revision of the evacuations that the peer knew when it asked last.
        std::uint64_t evacuationRevision = 0;
    };
    //! Another region as described by one of its hubs, directly or by a gateway.
    struct region_state
    {
        base::node_id queriedHub;
        int unansweredRequests = 0;
        bool isQueried = false;
        base::time_point lastAnswerAt;
        //! Hub of that region that sent the usage.
        base::node_id source;
        usage_copy usage;
        double nodeCount = 0.0;
    };

    auto onReport(const base::node_id &from, const report &content, base::time_point now)
            -> messages;
    auto onShortReport(const base::node_id &from, const report &content, base::time_point now)
            -> messages;
    auto onSyncRequest(const base::node_id &from, const sync_request &content, base::time_point now)
            -> messages;
    auto onSyncAnswer(const base::node_id &from, const sync_answer &content, base::time_point now)
            -> messages;
    //! Takes over the usage of a region from the hub of it that is queried.
    auto onRegionAnswer(const base::node_id &from, const sync_answer &content, base::time_point now)
            -> messages;
    //! Takes over what a gateway has got; returns false if it got more before that is missing here.
    auto onForwardedUsage(const base::node_id &from, const region_usage &content,
                          base::time_point now) -> bool;
    auto forward(const region_usage &usage, base::time_point now) -> messages;
    [[nodiscard]] auto wantedUsages(const std::vector<base::region_id> &regions,
                                    base::time_point now) const -> std::vector<region_usage>;
    auto onHeard(const base::node_id &from, base::time_point now) -> void;
    //! Stores a record that was sent by `source`.
    auto mergeRecord(const node_record &record, const base::node_id &source) -> void;
    [[nodiscard]] auto storedVersion(const base::node_id &node) const
            -> std::optional<record_version>;
    //! Returns the stored record of a sender that sent only its version, if it is as new.
    [[nodiscard]] auto storedSender(const base::node_id &from, const record_version &version) const
            -> const node_record *;
    //! Returns the changes of local usage that the peer hasn't been sent, and counts them as sent.
    auto takeLocalUsage(peer_state &peer) -> usage_changes;
    [[nodiscard]] auto syncRequestFor(const base::node_id &target) -> sync_request;
    [[nodiscard]] auto recordsForPeer(const base::node_id &peer,
                                      const directory_cursor &cursor) const
            -> std::vector<node_record>;
    auto updateLocalTable(base::time_point now) -> void;
    [[nodiscard]] auto onStoreRequest(const base::node_id &from, const store_request &content,
                                      base::time_point now) -> messages;
    //! Stores what another node knows about the departures of upstreams.
    auto mergeDepartures(const std::vector<node_record> &records) -> void;
    [[nodiscard]] auto isDirectoryComplete(base::time_point now) const -> bool;
    auto onUsageUpdate(const base::node_id &from, const usage_update &content) -> messages;
    auto sendSyncRequests(base::time_point now) -> messages;
    auto queryRegions(const std::map<base::region_id, std::vector<base::node_id>> &peers,
                      base::time_point now) -> messages;
    auto sendUsageUpdates(base::time_point now) -> messages;
    auto pushTotals(base::time_point now) -> messages;
    auto peersByRegion() const -> std::map<base::region_id, std::vector<base::node_id>>;
    auto selectQueriedHub(const base::region_id &region, const std::vector<base::node_id> &hubs,
                          base::time_point now) -> base::node_id;
    [[nodiscard]] auto regionOf(const base::node_id &node) const -> base::region_id;
    [[nodiscard]] auto answerProbe(const base::node_id &from, const report &content,
                                   base::time_point now) const -> messages;
    [[nodiscard]] auto startAnswer(const report &content, base::time_point now) const
            -> report_answer;
    [[nodiscard]] auto push(const config_notice &notice, base::time_point now) const -> messages;
    [[nodiscard]] auto newerEvacuations(std::uint64_t revision) const
            -> std::optional<base::evacuation_list>;
    [[nodiscard]] auto newerDocument(base::config_version version) const
            -> std::optional<config_document>;
    [[nodiscard]] auto nearerHubsFor(const report &content) const -> std::vector<node_record>;
    auto addDirectoryChanges(report_answer &answer, const report &content) const -> void;
    //! Number of live entry nodes whose records name each hub.
    [[nodiscard]] auto reporterCounts() const -> std::map<base::node_id, std::size_t>;
    [[nodiscard]] auto recordsForOtherRegion(const base::node_id &reader,
                                             const directory_cursor &cursor) const
            -> std::vector<node_record>;
    [[nodiscard]] auto isServedByOtherRegion(const base::node_id &reportsTo) const -> bool;
    [[nodiscard]] auto regionUsage(base::time_point now) const -> usage_sum;
    [[nodiscard]] auto fleetUsage(base::time_point now) const -> usage_sum;
    auto recentFleetUsage(base::time_point now) -> const usage_sum &;
    auto expireSilentReporters(base::time_point now) -> void;
    auto expireMissingReporters(base::time_point now) -> void;
    [[nodiscard]] auto lastHeardAt(const base::node_id &node) const -> base::time_point;
    auto markDead(const base::node_id &node) -> void;
    [[nodiscard]] auto localUsage(base::time_point now) const -> usage_sum;
    [[nodiscard]] auto totalsFor(const base::usage_map &reportedUsages,
                                 const base::usage_map &fleetUsages) const -> base::usage_map;

    [[nodiscard]] auto self() const -> const node_record & { return m_reporter.self(); }

    hub_options m_options;
    reporter &m_reporter;
    std::function<bool(base::time_point)> m_isFresh;
    near_limit_function m_isNearLimit;
    record_table m_records;
    //! Nodes that report to this hub.
    std::map<base::node_id, reporter_state> m_reporters;
    std::map<base::node_id, peer_state> m_peers;
    //! All regions but the own one.
    std::map<base::region_id, region_state> m_otherRegions;
    config_document m_document;
    std::optional<departure_journal> m_journal;
    std::optional<base::time_point> m_firstTickAt;
    //! True once a hub with a complete directory has sent its changes, or a node the departures
    //! that it knows.
    bool m_hasCompleteDirectory = false;
    base::time_point m_nextSyncAt;
    //! Live nodes whose records name this hub and that haven't reported to this process.
    std::map<base::node_id, base::time_point> m_missingReporters;
    gateway_watch m_gateways;
    //! Usage of the nodes of this hub, and of those of the region.
    usage_table m_localTable;
    usage_table m_regionTable;
    double m_localNodeCount = 0.0;
    //! True if the usage of nodes of this hub changed since it was sent to other hubs.
    bool m_hasUsageChanges = false;
    base::time_point m_nextUsageUpdateAt;
    usage_sum m_fleetUsage;
    base::time_point m_fleetUsageAt;
};

} // namespace hawthornpick::fleet
