#pragma once

#include "base/ids.h"
#include "base/message.h"
#include "base/random.h"
#include "base/time.h"
#include "policy/detectorparameters.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

namespace hawthornpick::policy {

//! Outcome of an attempt on an upstream, as seen by the executing node.
enum class attempt_outcome : std::uint8_t {
    Succeeded,
    //! Error response that the caller did not cause, or an incomplete or invalid response.
    Failed,
    TimedOut,
    //! The upstream's process ended or its connection was closed.
    Crashed,
    //! Cancelled by the caller. Evidence only that it took at least this long.
    Cancelled,
};

//! An attempt that starts on an upstream.
struct attempt_start
{
    base::upstream_id upstream;
    base::attempt_id attempt;
    base::organisation_id organisation;
    //! Fingerprint of the request, see `crashFingerprint`; 0 if unknown.
    std::uint64_t fingerprint = 0;

    auto operator<=>(const attempt_start &) const = default;
};

//! Verdict on an upstream.
struct upstream_health
{
    bool unhealthy = false;
    //! Evidence against the upstream in multiples of its threshold. The arbiter returns the ejected
    //! upstream with the least evidence first.
    double evidence = 0.0;

    auto operator<=>(const upstream_health &) const = default;
};

//! Detects unhealthy upstreams among the upstreams of one service on one node.
//!
//! Failures, latencies and requests in flight are tested sequentially (CUSUM of the log-likelihood
//! ratio) against the baseline of the service. The baseline is exchanged with the other nodes of
//! the service; before a verdict their current state is queried, and an upstream is unhealthy only
//! in comparison with them: if they degrade as well, the evidence is discarded. Evidence from one
//! organisation counts in full only if other upstreams serve that organisation well. Repeated
//! failures of one request that never succeeded on this node count once.
//!
//! Thread safety: all methods may be called from any thread; they hold one short lock.
class failure_detector
{
public:
    //! `self` is this node; `seed` initialises the random choice of peers.
    failure_detector(detector_parameters parameters, base::service_id service, base::node_id self,
                     std::uint64_t seed);
    ~failure_detector();

    failure_detector(const failure_detector &) = delete;
    auto operator=(const failure_detector &) -> failure_detector & = delete;

    //! Adds an upstream, or updates it and keeps its evidence. `isFlapping` lowers its threshold.
    auto setUpstream(const base::upstream_id &upstream, bool isFlapping) -> void;

    //! Removes an upstream and its evidence.
    auto removeUpstream(const base::upstream_id &upstream) -> void;

    //! Discards the evidence, for example when an ejected upstream returns to service.
    auto resetEvidence(const base::upstream_id &upstream) -> void;

    //! Sets the nodes with upstreams of the service; `self` is ignored.
    auto setPeers(std::vector<base::node_id> peers) -> void;

    //! Records the start of an attempt. Attempts on unknown upstreams are ignored.
    auto onAttemptStart(const attempt_start &start, base::time_point now) -> void;

    //! Records the end of an attempt. Unknown attempts are ignored.
    auto onAttemptEnd(const base::upstream_id &upstream, const base::attempt_id &attempt,
                      attempt_outcome outcome, base::time_point now) -> void;

    //! Returns the verdict on an upstream; healthy if it is unknown.
    auto health(const base::upstream_id &upstream, base::time_point now) -> upstream_health;

    //! Handles a message of channel Baseline. Ignores messages of other services and those that
    //! can't be decoded.
    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> std::vector<base::outgoing_message>;
    auto tick(base::time_point now) -> std::vector<base::outgoing_message>;

    //! Returns the service of a payload of channel Baseline, or nothing if it can't be decoded.
    //! Thread safety: pure.
    static auto serviceOf(std::string_view payload) -> std::optional<base::service_id>;

private:
    struct state;

    mutable std::mutex m_mutex;
    std::unique_ptr<state> m_state;
};

} // namespace hawthornpick::policy
