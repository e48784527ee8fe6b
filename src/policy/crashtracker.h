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

//! Fingerprint of organisation, route and digest of the request. Never 0. Thread safety: pure.
auto crashFingerprint(const base::organisation_id &organisation, const base::route_id &route,
                      std::string_view requestDigest) -> crash_fingerprint;

//! How a request may be run.
enum class crash_verdict : std::uint8_t {
    Run,
    //! Suspect: only on its owner (`suspectOwner`), one run at a time.
    RunAlone,
    //! Two crashes: refuse with `CrashSuspected`.
    Refuse,
};

//! A request is suspect or refused for this long after the last crash.
inline constexpr base::duration CRASH_MEMORY = std::chrono::minutes(10);

//! Remembers the requests of one service that were running when an upstream crashed.
//!
//! After one crash a request is suspect and runs on one upstream at a time; after the second one it
//! is refused. If a suspect was among the requests on the crashed upstream, it alone is counted;
//! otherwise all of them become suspects. A suspect that succeeds is cleared, so that innocent
//! requests that ran beside the cause are not held up for long. Reports go directly to all nodes
//! with upstreams of the service and are repeated, because they may be lost.
//!
//! Memory: at most `MOST_ENTRIES` requests; the oldest are forgotten first.
//! Thread safety: any thread; one short lock.
class crash_tracker
{
public:
    //! `incarnation` of this node keeps its report numbers apart from those before a restart; below
    //! 2^43. `longestRun` is the longest time of an attempt on an upstream.
    crash_tracker(base::service_id service, base::node_id self, base::incarnation incarnation,
                  base::duration longestRun);

    //! Sets all nodes with upstreams of the service, this one included, from the view.
    auto setNodes(std::vector<base::node_id> nodes, base::time_point now) -> void;

    //! Returns how a request may be run. For entry nodes, before each attempt.
    auto verdict(crash_fingerprint fingerprint, base::time_point now) -> crash_verdict;

    //! Node on which a suspect may run; nothing if no node is known. For entry nodes.
    [[nodiscard]] auto suspectOwner(crash_fingerprint fingerprint) const
            -> std::optional<base::node_id>;

    //! For executing nodes, immediately before start: false means `CrashSuspected`, not run. A
    //! suspect may start only on its owner, alone among suspects of the service, and only
    //! when the owner has been the same for longer than a run and a change of the view may take.
    auto tryStart(crash_fingerprint fingerprint, base::time_point now) -> bool;

    //! For executing nodes, after each end of a request that `tryStart` allowed.
    auto finished(crash_fingerprint fingerprint, bool succeeded, base::time_point now) -> void;

    //! An upstream beside this node has crashed while these requests ran on it. To be called before
    //! their `finished`.
    auto upstreamCrashed(const std::vector<crash_fingerprint> &running, base::time_point now)
            -> void;

    //! Channel CrashReport. Ignores messages of other services and damaged ones.
    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> std::vector<base::outgoing_message>;
    auto tick(base::time_point now) -> std::vector<base::outgoing_message>;

    //! Requests remembered at present.
    [[nodiscard]] auto size() const -> std::size_t;

    //! Service that a payload of channel CrashReport belongs to. Thread safety: pure.
    static auto serviceOf(std::string_view payload) -> std::optional<base::service_id>;

    static constexpr std::size_t MOST_ENTRIES = 1024;

private:
    //! A report is identified by its sender and its number.
    using report_id = std::pair<base::node_id, std::int64_t>;

    struct entry
    {
        //! Reports counted, so that a duplicate does not count twice.
        std::set<report_id> reports;
        //! Reports that a success has cleared; their repetitions are ignored.
        std::set<report_id> cleared;
        base::time_point last;
    };
    struct pending_report
    {
        std::vector<crash_fingerprint> fingerprints;
        //! Set if this clears an earlier report.
        std::optional<report_id> clears;
        std::int64_t number = 0;
        std::uint32_t sendsLeft = 0;
        base::time_point nextSend;
    };

    auto apply(const report_id &report, const std::vector<crash_fingerprint> &fingerprints,
               const std::optional<report_id> &clears, base::time_point now) -> void;
    auto crashesOf(crash_fingerprint fingerprint, base::time_point now) -> std::size_t;
    auto publish(std::vector<crash_fingerprint> fingerprints,
                 const std::optional<report_id> &clears, base::time_point now) -> void;
    auto forgetOld(base::time_point now) -> void;
    [[nodiscard]] auto ownerOf(crash_fingerprint fingerprint,
                               const std::vector<base::node_id> &nodes) const
            -> std::optional<base::node_id>;

    mutable std::mutex m_mutex;
    base::service_id m_service;
    base::node_id m_self;
    base::duration m_ownerSettle;
    std::vector<base::node_id> m_nodes;
    std::optional<base::time_point> m_nodesSince;
    std::map<crash_fingerprint, entry> m_entries;
    std::optional<crash_fingerprint> m_runningSuspect;
    std::map<crash_fingerprint, std::uint32_t> m_running;
    std::vector<pending_report> m_pending;
    std::int64_t m_nextNumber;
};

} // namespace hawthornpick::policy
