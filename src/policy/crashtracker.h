#pragma once

#include "base/crashrecord.h"
#include "base/errorkind.h"
#include "base/ids.h"
#include "base/message.h"
#include "base/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hawthornpick::policy {

//! Identifies a request that may crash upstreams.
using crash_fingerprint = std::uint64_t;

//! Returns the fingerprint of organisation and request digest; never 0. Thread safety: pure.
auto crashFingerprint(const base::organisation_id &organisation, std::string_view requestDigest)
        -> crash_fingerprint;

//! How a request may be run.
enum class crash_verdict : std::uint8_t {
    Run,
    //! Suspect: runs only on its owner (`suspectOwner`), one attempt at a time. If the policy has
    //! no owners, it runs on any node, without further attempts of the same request.
    RunAlone,
    //! Is refused with `CrashSuspected`.
    Refuse,
};

//! Time after the last change of its evidence in which a request is suspect or refused.
inline constexpr base::duration CRASH_RECORD_LIFETIME = std::chrono::minutes(10);

struct crash_policy
{
    //! Crashes in a row from which a request is refused.
    std::uint32_t crashesToRefuse = 2;
    //! Time of the first refusal. After it the request runs again as a suspect; each further crash
    //! doubles the time.
    base::duration refusalTime = CRASH_RECORD_LIFETIME;
    //! True if a suspect runs only on its owner. No two attempts of a suspect then run at the same
    //! time, but most attempts of innocent suspects are refused.
    bool runsSuspectsOnOwner = true;
    //! A crash doesn't count against a request that succeeded on the same node within this time and
    //! hasn't crashed there since: a request that is sent often is lost with any upstream.
    base::duration recentSuccessTime = base::duration::zero();

    auto operator<=>(const crash_policy &) const = default;
};

//! Policy of nodes that learn of crashes through the directory. A request that was lost beside the
//! cause keeps its upstreams; three crashes in a row with no success at any node are hardly chance.
inline constexpr crash_policy DIRECTORY_CRASH_POLICY{3, std::chrono::minutes(2), false,
                                                     std::chrono::seconds(5)};

//! Attempt of a request on an upstream of this node.
struct crash_attempt
{
    base::attempt_id id;
    crash_fingerprint fingerprint = 0;

    auto operator<=>(const crash_attempt &) const = default;
};

enum class crash_event : std::uint8_t {
    Suspected,
    Refused,
    //! The refusal ended; the request runs again as a suspect.
    Released,
    Cleared,
};

//! Change of the evidence about a request, for logs.
struct crash_change
{
    crash_event event = crash_event::Suspected;
    base::crash_record record;
    //! True if an upstream of this node gave the evidence.
    bool isLocal = false;

    auto operator<=>(const crash_change &) const = default;
};

//! Tracks requests that were running when an upstream crashed.
//!
//! After one crash a request is suspect, after `crash_policy::crashesToRefuse` crashes in a row it
//! is refused for a while and then tried again. If suspects were running on the crashed upstream,
//! only those with the most crashes are counted, otherwise all requests that ran there. A suspect
//! that succeeds is cleared, so that requests that only ran beside the cause are not restricted.
//!
//! Evidence reaches the other nodes in one of two ways: as messages of `tick` to the nodes given to
//! `setNodes`, several times because messages may be lost; or as `publishedRecords`, which are to
//! be passed to `merge` of the trackers of all other nodes.
//!
//! Memory: at most `MAX_ENTRIES` requests; those with the fewest crashes are removed first.
//! Thread safety: any thread; one short lock.
class crash_tracker
{
public:
    //! `service` names the tracker in messages. `maxAttemptDuration` is the longest time of an
    //! attempt on an upstream.
    crash_tracker(base::service_id service, base::node_id self, base::duration maxAttemptDuration,
                  const crash_policy &policy = {});

    //! Sets all nodes with upstreams of the service, including this one, from the view.
    auto setNodes(std::vector<base::node_id> nodes, base::time_point now) -> void;

    //! Returns how a request may run. Called by entry nodes before each attempt.
    auto verdict(crash_fingerprint fingerprint, base::time_point now) const -> crash_verdict;

    //! Returns the time for which a request is still refused; zero if it isn't.
    auto remainingRefusalTime(crash_fingerprint fingerprint, base::time_point now) const
            -> base::duration;

    //! Returns the node on which a suspect may run, or nothing if no node is known. Called by entry
    //! nodes.
    [[nodiscard]] auto suspectOwner(crash_fingerprint fingerprint) const
            -> std::optional<base::node_id>;

    //! Returns whether an attempt may start; false means that it is refused with `CrashSuspected`.
    //! Called by executing nodes immediately before the start. If the policy has owners, a suspect
    //! may start only on its owner, as the only running suspect of the service, and only after the
    //! set of nodes has been unchanged for longer than an attempt and the propagation of a view may
    //! take.
    auto tryStart(const crash_attempt &attempt, base::time_point now) -> bool;

    //! Records the end of an attempt that `tryStart` allowed. Called by executing nodes.
    auto onAttemptEnd(const base::attempt_id &attempt, bool succeeded, base::time_point now)
            -> void;

    //! Records that an upstream on this node crashed while these attempts ran on it. Has to be
    //! called before their `onAttemptEnd`.
    auto onUpstreamCrash(const std::vector<crash_attempt> &running, base::time_point now) -> void;

    //! Handles a message of channel CrashReport. Ignores messages of other services and those that
    //! can't be decoded.
    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> std::vector<base::outgoing_message>;
    auto tick(base::time_point now) -> std::vector<base::outgoing_message>;

    //! Returns the newest evidence from upstreams of this node, at most `MAX_PUBLISHED` records
    //! ordered by fingerprint. A success is published only if no other node does so within
    //! `MAX_CLEARING_DELAY`: many nodes see the next success of a request that is sent often.
    [[nodiscard]] auto publishedRecords(base::time_point now) const
            -> std::vector<base::crash_record>;

    //! Takes over what another node has published.
    auto merge(const std::vector<base::crash_record> &records, base::time_point now) -> void;

    //! Returns the changes since the last call; those above `MAX_CHANGES` are lost.
    auto takeChanges() -> std::vector<crash_change>;

    //! Returns the number of tracked requests.
    [[nodiscard]] auto size() const -> std::size_t;

    //! Returns the service of a payload of channel CrashReport, or nothing if it can't be decoded.
    //! Thread safety: pure.
    static auto serviceOf(std::string_view payload) -> std::optional<base::service_id>;

    static constexpr std::size_t MAX_ENTRIES = 1024;
    static constexpr std::size_t MAX_PUBLISHED = 16;
    static constexpr std::size_t MAX_RECENT_SUCCESSES = 4096;
    static constexpr std::size_t MAX_CHANGES = 64;
    static constexpr base::milliseconds MAX_CLEARING_DELAY{1000};

private:
    struct entry
    {
        base::crash_evidence evidence;
        base::time_point changedAt;
        bool isReleased = false;
    };
    //! Evidence from an upstream of this node.
    struct own_record
    {
        base::crash_evidence evidence;
        base::time_point changedAt;
        base::time_point publishAt;
    };
    //! Attempt in flight, with what was known of its request when it started.
    struct started_attempt
    {
        crash_fingerprint fingerprint = 0;
        base::crash_evidence evidence;
    };
    struct pending_report
    {
        std::vector<base::crash_record> records;
        std::uint32_t remainingSends = 0;
        base::time_point nextSendAt;
    };

    [[nodiscard]] auto evidenceOf(crash_fingerprint fingerprint, base::time_point now) const
            -> base::crash_evidence;
    [[nodiscard]] auto refusalEnd(crash_fingerprint fingerprint, base::time_point now) const
            -> std::optional<base::time_point>;
    [[nodiscard]] auto currentVerdict(crash_fingerprint fingerprint, base::time_point now) const
            -> crash_verdict;
    [[nodiscard]] auto mayStartOnOwner(crash_fingerprint fingerprint, base::time_point now) const
            -> bool;
    // Returns false if the tracker has newer or equal evidence.
    auto raise(const base::crash_record &record, bool isLocal, base::time_point now) -> bool;
    auto publish(const std::vector<base::crash_record> &records, base::time_point publishAt,
                 base::time_point now) -> void;
    auto removeExpired(base::time_point now) -> void;
    auto recordSuccess(crash_fingerprint fingerprint, base::time_point now) -> void;
    // Returns whether the request has succeeded here recently, and forgets that.
    auto takeRecentSuccess(crash_fingerprint fingerprint, base::time_point now) -> bool;
    auto recordReleases(base::time_point now) -> void;
    auto recordChange(const crash_change &change) -> void;
    //! Returns a number from 0 to 1 that differs between nodes.
    [[nodiscard]] auto nodeShare(crash_fingerprint fingerprint) const -> double;
    [[nodiscard]] auto ownerOf(crash_fingerprint fingerprint,
                               const std::vector<base::node_id> &nodes) const
            -> std::optional<base::node_id>;

    mutable std::mutex m_mutex;
    base::service_id m_service;
    base::node_id m_self;
    base::duration m_ownerSettleTime;
    crash_policy m_policy;
    std::vector<base::node_id> m_nodes;
    std::optional<base::time_point> m_nodesChangedAt;
    std::map<crash_fingerprint, entry> m_entries;
    std::map<crash_fingerprint, own_record> m_ownRecords;
    std::optional<base::attempt_id> m_runningSuspect;
    std::unordered_map<base::attempt_id, started_attempt> m_startedAttempts;
    //! Requests with the time of their last success here.
    std::unordered_map<crash_fingerprint, base::time_point> m_recentSuccesses;
    std::vector<pending_report> m_pendingReports;
    std::vector<crash_change> m_changes;
};

} // namespace hawthornpick::policy
