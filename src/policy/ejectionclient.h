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

//! Ejection phase of an upstream.
enum class ejection_phase : std::uint8_t {
    InService,
    //! Unhealthy and still in service; requests a permit.
    Requesting,
    Ejected,
    //! Ejected, except for a few idempotent requests as probes.
    Probation,
    //! In service with an increasing number of slots.
    SlowStart,
};

//! Durations of ejections; the same for all policy profiles.
struct ejection_times
{
    //! Duration of the first ejection; doubles with each repetition up to `maxEjection`.
    base::duration firstEjection = std::chrono::seconds(5);
    base::duration maxEjection = std::chrono::minutes(5);
    //! Time in service after which one repetition is no longer counted.
    base::duration repetitionExpiry = std::chrono::minutes(10);
    base::duration slowStartDuration = std::chrono::seconds(5);
    //! Number of consecutive successful requests that end probation.
    std::uint32_t probationSuccesses = 5;

    auto operator<=>(const ejection_times &) const = default;
};

//! Ejects unhealthy upstreams on this node and returns them to service, with permits of the arbiter
//! (channel Arbiter). Counts repeated ejections of an upstream across its restarts.
//!
//! An upstream is out of service only while its permit is valid on this node's clock; without a
//! renewal it returns to service at most `PERMIT_VALIDITY` after its last granted request was sent.
//!
//! Thread safety: any thread; one short lock.
class ejection_client
{
public:
    //! Returns the nodes to ask for a permit, in order; see `arbiterCandidates`.
    using candidates_function =
            std::function<std::vector<base::node_id>(const arbiter_scope &scope)>;

    //! `incarnation` of this node orders its messages across restarts and has to be below 2^43.
    ejection_client(base::region_id region, base::incarnation incarnation, ejection_times times,
                    candidates_function candidates);

    //! Adds an upstream with its announced slots, or updates it. Its count of repetitions is kept.
    auto setUpstream(const base::upstream_id &upstream, const base::service_id &service,
                     std::uint32_t slots) -> void;

    //! Records that the upstream was withdrawn, died or restarted. Its permit is released at the
    //! next tick.
    auto removeUpstream(const base::upstream_id &upstream, base::time_point now) -> void;

    //! Records the verdict of the failure detector. Has to be called on every tick before `tick`.
    auto onVerdict(const base::upstream_id &upstream, bool unhealthy, double evidence,
                   base::time_point now) -> void;

    //! Records the end of a request on an upstream. Has an effect only in probation.
    auto onResult(const base::upstream_id &upstream, bool succeeded, base::time_point now) -> void;

    //! Returns the admission for `fair_queue::setUpstream`; `draining` is always false.
    auto admissionOf(const base::upstream_id &upstream, base::time_point now) -> upstream_admission;

    //! Returns the phase at `now`; `InService` for an unknown upstream.
    auto phaseOf(const base::upstream_id &upstream, base::time_point now) -> ejection_phase;

    //! Returns true while the upstream is out of service for ordinary requests, which has to be
    //! announced in the view.
    auto isEjected(const base::upstream_id &upstream, base::time_point now) -> bool;

    //! Returns true if a recent ejection of the upstream is still counted; see
    //! `failure_detector::setUpstream`.
    auto isFlapping(const base::upstream_id &upstream, base::time_point now) -> bool;

    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> std::vector<base::outgoing_message>;
    auto tick(base::time_point now) -> std::vector<base::outgoing_message>;

private:
    struct ejection
    {
        arbiter_scope scope;
        std::uint32_t slots = 1;
        bool isAnnounced = false;
        ejection_phase phase = ejection_phase::InService;
        bool isUnhealthy = false;
        double evidence = 0.0;
        std::uint32_t repetitions = 0;
        std::uint32_t successes = 0;
        base::time_point phaseEndsAt{};
        base::time_point inServiceSince{};
        base::time_point permitExpiresAt{};
        std::int64_t requestNumber = 0;
        std::optional<base::time_point> requestedAt;
        base::time_point nextRequestAt{};
        std::size_t candidateIndex = 0;
        bool needsRelease = false;
    };

    auto advancePhase(ejection &item, base::time_point now) -> void;
    auto eject(ejection &item, base::time_point now) -> void;
    auto returnToService(ejection &item, ejection_phase phase, base::time_point now) -> void;
    auto ejectionDuration(const ejection &item) const -> base::duration;
    auto requestPermit(const base::upstream_id &upstream, ejection &item, base::time_point now)
            -> std::optional<base::outgoing_message>;
    auto releaseMessage(const base::upstream_id &upstream, ejection &item)
            -> std::optional<base::outgoing_message>;

    mutable std::mutex m_mutex;
    base::region_id m_region;
    ejection_times m_times;
    candidates_function m_candidates;
    std::map<base::upstream_id, ejection> m_ejections;
    std::int64_t m_lastMessageNumber;
};

} // namespace hawthornpick::policy
