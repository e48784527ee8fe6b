#pragma once

#include "base/message.h"
#include "base/time.h"
#include "fleet/departurejournal.h"
#include "fleet/recordtable.h"
#include "fleet/reporter.h"

#include <functional>
#include <map>
#include <set>
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
//! All hubs of one region synchronise with each other. For each other region, a hub queries one
//! hub, which answers for its whole region, so that the traffic between regions grows linearly and
//! not quadratically with the number of hubs. The usage of a node counts once: at the hub that the
//! `reportsTo` of its record names.
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
        usage_sum usage;
        //! Number of nodes that reported to the peer when it sent `usage`.
        std::size_t reporterCount = 0;
        base::time_point backoffUntil;
    };
    //! Another region as described by the hub of it that is queried.
    struct region_state
    {
        base::node_id queriedHub;
        int unansweredRequests = 0;
        base::time_point lastAnswerAt;
        usage_sum usage;
    };

    auto onReport(const base::node_id &from, const report &content, base::time_point now)
            -> messages;
    auto onSyncRequest(const base::node_id &from, const sync_request &content, base::time_point now)
            -> messages;
    auto onSyncAnswer(const base::node_id &from, const sync_answer &content, base::time_point now)
            -> void;
    [[nodiscard]] auto onStoreRequest(const base::node_id &from, const store_request &content,
                                      base::time_point now) -> messages;
    //! Stores what another node knows about the departures of upstreams.
    auto mergeDepartures(const std::vector<node_record> &records) -> void;
    [[nodiscard]] auto isDirectoryComplete(base::time_point now) const -> bool;
    auto onUsageUpdate(const base::node_id &from, const usage_update &content) -> void;
    auto sendSyncRequests(base::time_point now) -> messages;
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
    [[nodiscard]] auto recordsForOtherRegion(const directory_cursor &cursor) const
            -> std::vector<node_record>;
    [[nodiscard]] auto isServedByOtherRegion(const base::node_id &reportsTo) const -> bool;
    [[nodiscard]] auto regionUsage(base::time_point now) const -> usage_sum;
    [[nodiscard]] auto fleetUsage(base::time_point now) const -> usage_sum;
    auto recentFleetUsage(base::time_point now) -> const usage_sum &;
    auto expireSilentReporters(base::time_point now) -> void;
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
    //! Organisations whose usage at the nodes of this hub changed since it was sent to other hubs.
    std::set<base::organisation_id> m_changedOrganisations;
    base::time_point m_nextUsageUpdateAt;
    usage_sum m_fleetUsage;
    base::time_point m_fleetUsageAt;
};

} // namespace hawthornpick::fleet
