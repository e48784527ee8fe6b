#pragma once

#include "base/errorkind.h"
#include "base/ids.h"
#include "base/message.h"
#include "base/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace hawthornpick::policy {

//! Identifies a request that may crash upstreams.
using crash_fingerprint = std::uint64_t;

//! Returns the fingerprint of organisation, route and request digest; never 0. Thread safety: pure.
auto crashFingerprint(const base::organisation_id &organisation, const base::route_id &route,
                      std::string_view requestDigest) -> crash_fingerprint;

//! How a request may be run.
enum class crash_verdict : std::uint8_t {
    Run,
    //! Suspect: runs only on its owner (`suspectOwner`), one attempt at a time.
    RunAlone,
    //! Two crashes: is refused with `CrashSuspected`.
    Refuse,
};

//! Time after the last crash report in which a request is suspect or refused.
inline constexpr base::duration CRASH_RECORD_LIFETIME = std::chrono::minutes(10);

//! Tracks the requests of one service that were running when an upstream crashed.
//!
//! After one crash a request is suspect and runs on one upstream at a time; after the second one it
//! is refused. If a suspect was running on the crashed upstream, only the suspect is counted;
//! otherwise all requests that ran there become suspects. A suspect that succeeds is cleared, so
//! that requests that only ran beside the cause are not restricted for long. Reports are sent
//! directly to all nodes with upstreams of the service, several times because messages may be lost.
//!
//! Memory: at most `MAX_ENTRIES` requests; the oldest are removed first.
//! Thread safety: any thread; one short lock.
class crash_tracker
{
public:
    //! `incarnation` of this node keeps its report numbers distinct from those before a restart and
    //! has to be below 2^43. `maxAttemptDuration` is the longest time of an attempt on an upstream.
    crash_tracker(base::service_id service, base::node_id self, base::incarnation incarnation,
                  base::duration maxAttemptDuration);

    //! Sets all nodes with upstreams of the service, including this one, from the view.
    auto setNodes(std::vector<base::node_id> nodes, base::time_point now) -> void;

    //! Returns how a request may run. Called by entry nodes before each attempt.
    auto verdict(crash_fingerprint fingerprint, base::time_point now) -> crash_verdict;

    //! Returns the node on which a suspect may run, or nothing if no node is known. Called by entry
    //! nodes.
    [[nodiscard]] auto suspectOwner(crash_fingerprint fingerprint) const
            -> std::optional<base::node_id>;

    //! Returns whether an attempt may start; false means that it is refused with `CrashSuspected`.
    //! Called by executing nodes immediately before the start. A suspect may start only on its
    //! owner, as the only running suspect of the service, and only after the set of nodes has been
    //! unchanged for longer than an attempt and the propagation of a view may take.
    auto tryStart(crash_fingerprint fingerprint, base::time_point now) -> bool;

    //! Records the end of an attempt that `tryStart` allowed. Called by executing nodes.
    auto onAttemptEnd(crash_fingerprint fingerprint, bool succeeded, base::time_point now) -> void;

    //! Records that an upstream on this node crashed while these requests ran on it. Has to be
    //! called before their `onAttemptEnd`.
    auto onUpstreamCrash(const std::vector<crash_fingerprint> &running, base::time_point now)
            -> void;

    //! Handles a message of channel CrashReport. Ignores messages of other services and those that
    //! can't be decoded.
    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> std::vector<base::outgoing_message>;
    auto tick(base::time_point now) -> std::vector<base::outgoing_message>;

    //! Returns the number of tracked requests.
    [[nodiscard]] auto size() const -> std::size_t;

    //! Returns the service of a payload of channel CrashReport, or nothing if it can't be decoded.
    //! Thread safety: pure.
    static auto serviceOf(std::string_view payload) -> std::optional<base::service_id>;

    static constexpr std::size_t MAX_ENTRIES = 1024;

private:
    //! Identifies a report by its sender and its number.
    using report_id = std::pair<base::node_id, std::int64_t>;

    struct entry
    {
        //! Counted reports, so that a duplicate does not count twice.
        std::set<report_id> reports;
        //! Reports that were cleared by a success; their repetitions are ignored.
        std::set<report_id> clearedReports;
        base::time_point lastReportAt;
    };
    struct pending_report
    {
        std::vector<crash_fingerprint> fingerprints;
        //! The earlier report that this one clears, if any.
        std::optional<report_id> clearedReport;
        std::int64_t number = 0;
        std::uint32_t remainingSends = 0;
        base::time_point nextSendAt;
    };

    auto applyReport(const report_id &report, const std::vector<crash_fingerprint> &fingerprints,
                     const std::optional<report_id> &clearedReport, base::time_point now) -> void;
    auto crashCount(crash_fingerprint fingerprint, base::time_point now) -> std::size_t;
    auto publishReport(std::vector<crash_fingerprint> fingerprints,
                       const std::optional<report_id> &clearedReport, base::time_point now) -> void;
    auto removeExpired(base::time_point now) -> void;
    [[nodiscard]] auto ownerOf(crash_fingerprint fingerprint,
                               const std::vector<base::node_id> &nodes) const
            -> std::optional<base::node_id>;

    mutable std::mutex m_mutex;
    base::service_id m_service;
    base::node_id m_self;
    base::duration m_ownerSettleTime;
    std::vector<base::node_id> m_nodes;
    std::optional<base::time_point> m_nodesChangedAt;
    std::map<crash_fingerprint, entry> m_entries;
    std::optional<crash_fingerprint> m_runningSuspect;
    std::map<crash_fingerprint, std::uint32_t> m_runningCounts;
    std::vector<pending_report> m_pendingReports;
    std::int64_t m_lastReportNumber;
};

} // namespace hawthornpick::policy
