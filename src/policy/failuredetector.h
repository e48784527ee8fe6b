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

//! How an attempt on an upstream ended, as the executing node saw it.
enum class attempt_outcome : std::uint8_t {
    Succeeded,
    //! Error answer of the upstream that is not the caller's fault, or a broken answer.
    Failed,
    TimedOut,
    //! The upstream's process or connection went away.
    Crashed,
    //! The caller gave up. Counts only as "took at least this long".
    Cancelled,
};

//! An attempt that begins on an upstream.
struct attempt_start
{
    base::upstream_id upstream;
    base::attempt_id attempt;
    base::organisation_id organisation;
    //! Digest of the request as for `crash_tracker`; 0 if unknown.
    std::uint64_t fingerprint = 0;

    auto operator<=>(const attempt_start &) const = default;
};

//! Verdict on an upstream.
struct upstream_health
{
    bool unhealthy = false;
    //! Evidence against the upstream; the arbiter returns those with the least first.
    double evidence = 0.0;

    auto operator<=>(const upstream_health &) const = default;
};

//! Finds the unhealthy upstreams among those of one service beside one node.
//!
//! Failures, latencies and requests in flight are tested sequentially (CUSUM on the log-likelihood
//! ratio) against the baseline of the service. The baseline is exchanged with the other nodes of
//! the service; before a verdict their present state is asked for, and an upstream is unhealthy
//! only in comparison with them: if they degrade as well, the evidence is discarded. Evidence that
//! comes from one organisation counts in full only if other upstreams serve that organisation well.
//! Repeated failures of one request that never succeeded here count once.
//!
//! Thread safety: all methods may be called from any thread; they hold one short lock.
class failure_detector
{
public:
    //! `self` names this node; `seed` starts the choice of peers.
    failure_detector(detector_parameters parameters, base::service_id service, base::node_id self,
                     std::uint64_t seed);
    ~failure_detector();

    failure_detector(const failure_detector &) = delete;
    auto operator=(const failure_detector &) -> failure_detector & = delete;

    //! Begins to watch an upstream. `isFlapping` lowers its threshold. Keeps existing evidence.
    auto setUpstream(const base::upstream_id &upstream, bool isFlapping) -> void;

    //! Forgets an upstream.
    auto removeUpstream(const base::upstream_id &upstream) -> void;

    //! Drops the evidence, after a return from ejection.
    auto resetEvidence(const base::upstream_id &upstream) -> void;

    //! Sets the other nodes with upstreams of the service.
    auto setPeers(std::vector<base::node_id> peers) -> void;

    //! An attempt has started on an upstream.
    auto started(const attempt_start &start, base::time_point now) -> void;

    //! An attempt has ended. Unknown attempts are ignored.
    auto finished(const base::upstream_id &upstream, const base::attempt_id &attempt,
                  attempt_outcome outcome, base::time_point now) -> void;

    //! Returns the verdict; healthy for an unknown upstream.
    auto health(const base::upstream_id &upstream, base::time_point now) -> upstream_health;

    //! Channel Baseline. Ignores messages of other services and damaged ones.
    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> std::vector<base::outgoing_message>;
    auto tick(base::time_point now) -> std::vector<base::outgoing_message>;

    //! Service that a payload of channel Baseline belongs to; nothing if it is damaged.
    //! Thread safety: pure.
    static auto serviceOf(std::string_view payload) -> std::optional<base::service_id>;

private:
    struct state;

    mutable std::mutex m_mutex;
    std::unique_ptr<state> m_state;
};

} // namespace hawthornpick::policy
