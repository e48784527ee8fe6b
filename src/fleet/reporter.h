#pragma once

#include "base/message.h"
#include "base/time.h"
#include "fleet/recordtable.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hawthornpick::fleet {

//! The last proof that a node had the newest committed version: the answer of a hub that was fresh
//! and had no newer version.
struct version_confirmation
{
    //! Time at which the hub was asked; the epoch if there was no answer yet.
    base::time_point time = {};
    base::node_id hub;

    auto operator<=>(const version_confirmation &) const = default;
};

//! Callbacks of a reporter, called on the reporter's thread.
struct reporter_callbacks
{
    //! Called with all known nodes after the record of one has changed.
    std::function<void(membership::view_pointer view)> onView;
    //! Called for each configuration document with a higher version than any before it.
    std::function<void(config_document document)> onDocument;
    //! Called for each list of evacuations with a higher revision than any before it; before
    //! `onDocument`, if the same message has both.
    std::function<void(const base::evacuation_list &evacuations)> onEvacuations;
    //! `coverage` is the share, from 0 to 1, of the live entry nodes whose usage is in the totals.
    std::function<void(const base::usage_map &totals, double coverage)> onTotals;
    //! Returns the current usage of each organisation at this node.
    std::function<base::usage_map()> currentUsages;
    //! Called with totals of organisations near their limit, between the answers to reports.
    std::function<void(const base::usage_map &totals, double coverage)> onTotalsNearLimit;
    //! Returns the usage that changed since the last call of this function or of `currentUsages`.
    std::function<base::usage_map()> changedUsages;
    //! Called with the evidence of crashes in a changed record of another node.
    std::function<void(const std::vector<base::crash_record> &records)> onCrashRecords;
    //! Called with the upstreams that a former process of this node published. May be called again
    //! with the same and with further ones.
    std::function<void(std::vector<membership::upstream_entry> upstreams)> onFormerUpstreams;
    //! Called once, when the directory of a hub has told all that is known of former processes.
    std::function<void()> onDirectoryComplete;
    //! Called when a hub has answered that it stored the record of this node.
    std::function<void()> onStored;
    //! Called when the hub in use changes; the id is empty if no candidate is known.
    std::function<void(const base::node_id &hub, bool isDeputy)> onHubChanged;
    //! Called with an answer that came after the node had stopped to wait for it.
    std::function<void(const base::node_id &from, base::duration answerTime)> onLateAnswer;
};

//! Decision object of each node: reports the node to one hub and learns the directory, committed
//! configuration documents and total usage from the hub's answers. A hub that does not answer is
//! replaced by the next one in order of preference.
//!
//! A hub that may have missed committed versions is stale. While the hub in use is stale, the
//! reporter probes the other hubs one at a time and switches to the first one that is fresh. If all
//! hubs are stale, as for a second or two after the leader of the quorum group is lost, no node
//! switches.
//!
//! When several hubs in a row do not answer, the node reports to a deputy: an entry node of its
//! region that sums up usage and forwards records in place of a hub. The reporter keeps probing the
//! hubs until one answers. Limits are thus divided by demand even while all hubs are unreachable.
//! Thread safety of all members: one thread.
class reporter
{
public:
    using messages = std::vector<base::outgoing_message>;

    //! Upper bound on the delay until a node learns of a version whose push it missed.
    static constexpr base::milliseconds REPORT_INTERVAL{500};
    //! Interval of reports of a node that has just started to a hub that has as well.
    static constexpr base::milliseconds INCOMPLETE_REPORT_INTERVAL{150};
    //! Covers one round trip between regions and a scheduling delay of the hub.
    static constexpr base::milliseconds ANSWER_TIMEOUT{400};
    //! Consecutive unanswered reports after which a hub counts as failed; tolerates the loss of one
    //! datagram. Once a hub has failed, one unanswered report is enough until the hub in use
    //! answers.
    static constexpr int MAX_UNANSWERED_REPORTS = 2;
    //! Consecutive failed hubs after which the node reports to a deputy.
    static constexpr int MAX_FAILED_HUBS = 2;
    //! Least time between messages with usage between reports.
    static constexpr base::milliseconds USAGE_UPDATE_INTERVAL{100};
    //! Time limit for the answer to a probe: three round trips between regions.
    static constexpr base::milliseconds PROBE_TIMEOUT{150};
    //! Age of a report up to which its answer shows that the hub can be used: one that answers late
    //! is better than none.
    static constexpr base::milliseconds MAX_ANSWER_AGE{1000};
    //! Interval at which hubs are asked again to store the record of this node.
    static constexpr base::milliseconds STORE_INTERVAL{100};
    //! Time for which hubs are asked after the last call of `requestStorage`.
    static constexpr base::milliseconds STORE_TIMEOUT{1000};
    //! Number of hubs that must hold a record before it counts as stored: the loss of one of them
    //! together with this process doesn't lose it.
    static constexpr std::size_t STORE_COPIES = 2;
    //! Time for which other hubs are preferred to one that failed.
    static constexpr base::milliseconds FAILED_HUB_BACKOFF{3000};

    //! `contacts` are nodes that may be hubs.
    reporter(node_record self, std::vector<base::node_id> contacts, reporter_callbacks callbacks);

    auto receive(const base::node_id &from, const message &content, base::time_point now)
            -> messages;
    auto tick(base::time_point now) -> messages;

    //! Changes the node's own record. The next call of `tick` reports it.
    auto setUpstreams(std::vector<membership::upstream_entry> upstreams) -> void;
    auto setState(membership::node_state state) -> void;
    auto setCrashRecords(std::vector<base::crash_record> records) -> void;

    //! Raises the generation of the node's own record above that of `record`, which a former
    //! process of the node sent before the host's clock was set back, or its sequence if a hub has
    //! changed the record. No effect if `record` is older.
    auto supersede(const node_record &record) -> void;

    //! Replaces the nodes that may be hubs.
    auto setContacts(std::vector<base::node_id> contacts) -> void;

    //! Asks hubs to store the current record of the node and returns the first messages; `tick`
    //! repeats them until the record is stored, for `STORE_TIMEOUT`.
    auto requestStorage(base::time_point now) -> messages;

    //! Returns true if `STORE_COPIES` hubs, or all known ones if they are fewer, hold the record of
    //! the node with `sequence` or a later one.
    [[nodiscard]] auto isStored(std::uint64_t sequence) const -> bool;

    //! Highest version that was passed to `onDocument`.
    [[nodiscard]] auto configVersion() const -> base::config_version { return m_configVersion; }
    //! Takes over a list of evacuations that was committed. No effect if its revision isn't higher
    //! than the known one.
    auto learnEvacuations(const base::evacuation_list &evacuations) -> void;
    [[nodiscard]] auto evacuations() const -> const base::evacuation_list &
    {
        return m_evacuations;
    }

    [[nodiscard]] auto confirmation() const -> const version_confirmation &
    {
        return m_confirmation;
    }
    [[nodiscard]] auto records() const -> const record_table & { return m_records; }
    [[nodiscard]] auto self() const -> const node_record & { return m_self; }

private:
    auto advance(base::time_point now) -> messages;
    auto sendStoreRequests(base::time_point now) -> messages;
    auto onStoreAnswer(const base::node_id &from, const store_answer &answer) -> void;
    auto onReportAnswer(const base::node_id &from, const report_answer &answer,
                        base::time_point now) -> messages;
    auto onAnswerOfOtherHub(const base::node_id &from, const report_answer &answer,
                            base::time_point now) -> messages;
    auto returnToHub(const base::node_id &hub, base::time_point now) -> messages;
    auto applyDocument(const config_document &document) -> void;
    [[nodiscard]] auto isForFormerProcess(const report_answer &answer) const -> bool;
    auto confirmVersion(const base::node_id &from, const report_answer &answer) -> void;
    auto sendReport(base::time_point now) -> messages;
    auto sendUsageUpdate(base::time_point now) -> messages;
    auto selectHub(base::time_point now) -> void;
    auto markHubFailed(base::time_point now) -> void;
    auto probeNextHub(base::time_point now) -> messages;
    auto applyAnswer(const report_answer &answer) -> void;
    auto applyOwnRecord(const node_record &record) -> void;
    [[nodiscard]] auto coverageShare(std::uint32_t coveredNodeCount) const -> double;
    auto switchHub(const base::node_id &hub) -> void;
    [[nodiscard]] auto preferredDeputy(base::time_point now) const -> base::node_id;
    [[nodiscard]] auto candidateHubs() const -> std::set<base::node_id>;
    [[nodiscard]] auto hubsByPreference(base::time_point now) const -> std::vector<base::node_id>;
    auto supersede(std::uint64_t generation) -> void;
    auto onSelfChanged() -> void;
    auto publishView() -> void;
    //! Returns 0 for a node of the same failure domain, 1 for one of the same region, 2 for others.
    [[nodiscard]] auto distanceTo(const base::node_id &node) const -> int;

    node_record m_self;
    std::vector<base::node_id> m_contacts;
    reporter_callbacks m_callbacks;
    record_table m_records{0};
    //! Hub or deputy to which the node reports.
    base::node_id m_hub;
    //! Positions up to which the directories of hubs and deputies have been received; kept after a
    //! switch to another hub, so that a return transfers only the changes since.
    std::map<base::node_id, directory_cursor> m_cursors;
    //! Failed hubs and deputies, each with the time until which others are preferred.
    std::map<base::node_id, base::time_point> m_backoffUntil;
    base::time_point m_nextReportAt;
    base::time_point m_nextUsageUpdateAt;
    base::time_point m_reportSentAt;
    //! Time of the first `tick`; all reports of this process are sent from then on.
    std::optional<base::time_point> m_startedAt;
    bool m_isAwaitingAnswer = false;
    //! Consecutive reports to `m_hub` without an answer.
    int m_unansweredReports = 0;
    //! Version of the own record that `m_hub` holds by its last answer; reports leave the record
    //! out while it is this one.
    std::optional<record_version> m_heldRecord;
    //! Hubs that failed since the last answer of the hub in use.
    int m_failedHubCount = 0;
    bool m_usesDeputy = false;
    //! `report::usesDistantHub` of the last report.
    bool m_reportedAsDistant = false;
    //! Hub with a pending probe, empty if there is none.
    base::node_id m_probedHub;
    base::time_point m_probeSentAt;
    //! Hubs already probed in the current round.
    std::set<base::node_id> m_previouslyProbed;
    bool m_hasCompleteDirectory = false;
    //! True if the next report tells the hub of departures that it may not know.
    bool m_mustTellDepartures = false;
    base::time_point m_storeRequestsEnd;
    //! Sequence of the own record that each hub has stored.
    std::map<base::node_id, std::uint64_t> m_storedSequences;
    base::time_point m_nextStoreRequestAt;
    std::size_t m_storeRequestRound = 0;
    base::config_version m_configVersion = 0;
    version_confirmation m_confirmation;
    base::evacuation_list m_evacuations;
    //! Revision of the evacuations in the last answer of `m_hub`.
    std::uint64_t m_evacuationRevisionOfHub = 0;
    std::uint64_t m_viewVersion = 0;
};

} // namespace hawthornpick::fleet
