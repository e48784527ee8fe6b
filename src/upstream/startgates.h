#pragma once

#include "base/errorkind.h"
#include "base/ids.h"
#include "base/time.h"
#include "policy/coldstartgate.h"
#include "policy/requestlimit.h"
#include "upstream/notice.h"
#include "upstream/statement.h"

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace hawthornpick::upstream {

//! What limits the starts of requests at the upstreams of this host: the gates of those that may be
//! cold (`policy::cold_start_gate`) and the limits that they name in their answers
//! (`policy::request_limit`). Also whether an upstream is being asked for its state.
//! Thread safety of all members: any thread.
class start_gates
{
public:
    //! Minimum time between two log lines about one upstream.
    static constexpr base::milliseconds LOG_INTERVAL{5000};

    //! Records an announcement that the registry accepted.
    auto onAnnouncement(const base::upstream_id &upstream, const base::service_id &service,
                        base::incarnation incarnation,
                        std::optional<base::milliseconds> coldRemaining, base::time_point now)
            -> void;
    //! Records that an upstream is gone. If the same incarnation comes back, it is in doubt.
    auto onGone(const base::upstream_id &upstream) -> void;
    //! Forgets an upstream.
    auto forget(const base::upstream_id &upstream) -> void;

    //! Records an answer of an incarnation to the question that was asked at `askedAt`.
    auto onAnswer(const base::upstream_id &upstream, base::incarnation incarnation,
                  base::duration coldRemaining, base::time_point askedAt, base::time_point now)
            -> void;
    //! Records what an incarnation says of itself in the answer to a request that was sent at
    //! `sentAt`. An incarnation that has said that it leaves doesn't take that back.
    auto onNotice(const base::upstream_id &upstream, base::incarnation incarnation,
                  const upstream_notice &notice, base::time_point sentAt, base::time_point now)
            -> void;
    //! Records what an incarnation said to a former process of this node, as another node tells. A
    //! limit counts until the first answer to this process, a departure for good.
    auto onStatement(const upstream_statement &statement, base::time_point now) -> void;
    //! Returns what the upstreams of a service have said.
    [[nodiscard]] auto statementsOf(const base::service_id &service) const -> statement_report;
    //! Records that an incarnation may have restarted.
    auto onDoubt(const base::upstream_id &upstream, base::incarnation incarnation,
                 base::time_point now) -> void;
    //! As `onDoubt`, for a lost or refused connection: no sign of a restart while a watched
    //! connection is open.
    auto onConnectionLost(const base::upstream_id &upstream, base::incarnation incarnation,
                          base::time_point now) -> void;
    //! Puts all upstreams in doubt, as when the evacuation of their failure domain ends.
    auto onDoubtOfAll(base::time_point now) -> void;
    //! Records whether a connection to the upstream is open that tells of its end.
    auto setWatched(const base::upstream_id &upstream, bool isWatched) -> void;

    //! Returns the upstreams of a service that are in doubt and not being asked, and marks them as
    //! being asked until `endQuestion`.
    auto takeQuestions(const base::service_id &service, const policy::cold_terms &terms,
                       base::time_point now) -> std::vector<base::upstream_id>;
    auto endQuestion(const base::upstream_id &upstream) -> void;
    [[nodiscard]] auto isInDoubt(const base::upstream_id &upstream, base::incarnation incarnation,
                                 const policy::cold_terms &terms, base::time_point now) const
            -> bool;

    //! Refuses a request if no upstream of the service may get one now, although there are some.
    //! Errors: `UpstreamCold`, `UpstreamLimited`.
    [[nodiscard]] auto checkFreeStart(const base::service_id &service,
                                      const policy::cold_terms &terms, base::time_point now) const
            -> base::result<void>;
    //! Reserves the start of a request as `policy::cold_start_gate` does, within the limit that the
    //! upstream names. An unknown upstream gets nothing.
    //! Errors: `UpstreamCold`, `UpstreamLimited`.
    auto tryReserve(const base::upstream_id &upstream, const policy::cold_terms &terms,
                    base::time_point now) -> base::result<void>;
    //! The following are as the members of `policy::cold_start_gate`.
    auto tryReserveQuestion(const base::upstream_id &upstream, const policy::cold_terms &terms,
                            base::time_point now) -> bool;
    [[nodiscard]] auto nextStart(const base::upstream_id &upstream, const policy::cold_terms &terms,
                                 base::time_point now) const -> base::time_point;
    auto onSent(const base::upstream_id &upstream, const policy::cold_terms &terms,
                base::time_point now) -> void;
    auto cancelReservation(const base::upstream_id &upstream) -> void;

    //! Returns the requests per second that the upstreams of a service are given because each of
    //! them is cold or names a limit; negative if one is neither, or if there are none. Logs
    //! changes of the coldness.
    auto startRateOf(const base::service_id &service, const policy::cold_terms &terms,
                     base::time_point now) -> double;

private:
    struct upstream_gate
    {
        base::service_id service;
        base::incarnation incarnation = 0;
        bool isLive = true;
        bool isWatched = false;
        bool isAsked = false;
        bool isLoggedAsWarm = true;
        base::time_point nextLog = base::time_point::min();
        policy::cold_start_gate gate;
        policy::request_limit limit = {};
        bool isLimitUnreadable = false;
        //! True if the incarnation has said in an answer that it leaves.
        bool isLeaving = false;
    };

    //! Precondition: the lock is held.
    auto find(const base::upstream_id &upstream) -> upstream_gate *;
    [[nodiscard]] auto find(const base::upstream_id &upstream) const -> const upstream_gate *;
    static auto logState(const base::upstream_id &upstream, upstream_gate &entry,
                         policy::cold_state state, base::time_point now) -> void;
    static auto logLimit(const base::upstream_id &upstream, std::optional<double> previous,
                         std::optional<double> limit) -> void;

    mutable std::mutex m_mutex;
    std::map<base::upstream_id, upstream_gate> m_gates;
};

} // namespace hawthornpick::upstream
