#pragma once

#include "base/ids.h"
#include "base/message.h"
#include "base/time.h"
#include "policy/arbiter.h"
#include "policy/slots.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

namespace hawthornpick::policy {

//! Phase of one upstream's ejection.
enum class ejection_phase : std::uint8_t {
    InService,
    //! Unhealthy, still in service, asks for a permit.
    Requesting,
    Ejected,
    //! Ejected, but few idempotent requests run.
    Probation,
    //! Back in service with a growing number of slots.
    SlowStart,
};

//! Times of an ejection. The profile FewFalseEjections uses the same ones.
struct ejection_times
{
    //! First ejection; each repetition doubles the time up to the longest one.
    base::duration first = std::chrono::seconds(5);
    base::duration longest = std::chrono::minutes(5);
    //! One repetition is forgotten after this time in service.
    base::duration forgetAfter = std::chrono::minutes(10);
    base::duration slowStart = std::chrono::seconds(5);
    //! Successful requests in a row that end probation.
    std::uint32_t probationSuccesses = 5;

    auto operator<=>(const ejection_times &) const = default;
};

//! Takes unhealthy upstreams beside this node out of service and returns them, with permits of the
//! arbiter (channel Arbiter). Remembers repeated ejections of an upstream across its restarts.
//!
//! An upstream is out of service only while its permit is valid on this node's clock; without
//! renewal it is back in service at most `PERMIT_LIFE` after the last granted request was sent.
//!
//! Thread safety: any thread; one short lock.
class ejection_client
{
public:
    //! Nodes to ask in order, see `arbiterCandidates`.
    using candidates_function =
            std::function<std::vector<base::node_id>(const arbiter_scope &scope)>;

    //! `incarnation` of this node orders its messages before and after a restart; below 2^43.
    ejection_client(base::region_id region, base::incarnation incarnation, ejection_times times,
                    candidates_function candidates);

    //! The upstream is announced with `slots`. History is kept.
    auto setUpstream(const base::upstream_id &upstream, const base::service_id &service,
                     std::uint32_t slots) -> void;

    //! The upstream has withdrawn, died or restarted; its permit is released at the next tick.
    auto upstreamGone(const base::upstream_id &upstream, base::time_point now) -> void;

    //! Verdict of the failure detector; to be passed on every tick before `tick`.
    auto report(const base::upstream_id &upstream, bool unhealthy, double evidence,
                base::time_point now) -> void;

    //! A request has ended on an upstream. Only used in probation.
    auto onResult(const base::upstream_id &upstream, bool succeeded, base::time_point now) -> void;

    //! What `fair_queue::setUpstream` should be told at present. `draining` is left false.
    auto admissionOf(const base::upstream_id &upstream, base::time_point now) -> upstream_admission;

    //! Phase at `now`; `InService` for unknown upstreams.
    auto phaseOf(const base::upstream_id &upstream, base::time_point now) -> ejection_phase;

    //! True while the upstream is out of service for ordinary requests. To be announced in the
    //! view.
    auto isEjected(const base::upstream_id &upstream, base::time_point now) -> bool;

    //! True if the upstream was ejected lately; `failure_detector::setUpstream` takes this.
    auto isFlapping(const base::upstream_id &upstream, base::time_point now) -> bool;

    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> std::vector<base::outgoing_message>;
    auto tick(base::time_point now) -> std::vector<base::outgoing_message>;

private:
    struct ejection
    {
        arbiter_scope scope;
        std::uint32_t slots = 1;
        bool present = false;
        ejection_phase phase = ejection_phase::InService;
        bool unhealthy = false;
        double evidence = 0.0;
        std::uint32_t repetitions = 0;
        std::uint32_t successes = 0;
        base::time_point phaseEnds{};
        base::time_point inServiceSince{};
        base::time_point permitEnds{};
        std::int64_t number = 0;
        std::optional<base::time_point> asked;
        base::time_point pausedUntil{};
        std::size_t candidate = 0;
        bool release = false;
    };

    auto advance(ejection &item, base::time_point now) -> void;
    auto eject(ejection &item, base::time_point now) -> void;
    auto returnToService(ejection &item, ejection_phase phase, base::time_point now) -> void;
    auto ejectionTime(const ejection &item) const -> base::duration;
    auto ask(const base::upstream_id &upstream, ejection &item, base::time_point now)
            -> std::optional<base::outgoing_message>;
    auto releaseMessage(const base::upstream_id &upstream, ejection &item)
            -> std::optional<base::outgoing_message>;

    mutable std::mutex m_mutex;
    base::region_id m_region;
    ejection_times m_times;
    candidates_function m_candidates;
    std::map<base::upstream_id, ejection> m_ejections;
    std::int64_t m_nextNumber;
};

} // namespace hawthornpick::policy
