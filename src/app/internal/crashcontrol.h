#pragma once

#include "app/internal/crashprobe.h"
#include "base/metrics.h"
#include "caller/hooks.h"
#include "policy/crashtracker.h"
#include "upstream/hooks.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace hawthornpick::app {

//! Logs changes of crash evidence. Suspicions and successes are logged only by the node whose
//! upstreams gave the evidence. Thread safety: any thread.
auto logCrashChanges(const std::vector<policy::crash_change> &changes) -> void;

//! Returns the fingerprint of the request of an attempt. Thread safety: pure.
auto crashFingerprintOf(const upstream::attempt_observation &observation)
        -> policy::crash_fingerprint;
auto crashFingerprintOf(const upstream::attempt_request &request) -> policy::crash_fingerprint;
auto crashFingerprintOf(const caller::selection_request &request) -> policy::crash_fingerprint;

//! Keeps requests that crash upstreams away from the upstreams of a mesh. Learns of crashes from
//! the attempts on the upstreams of this host and from the records of other nodes.
//! Thread safety of all members: the node's thread.
class crash_control
{
public:
    using publish_function = std::function<void(std::vector<base::crash_record> records)>;

    //! `publish` receives the evidence to be spread to the other nodes, also if it is unchanged.
    //! Precondition: `context` and `metrics` outlive the object.
    crash_control(boost::asio::io_context &context, base::node_id node, base::metrics &metrics,
                  crash_probe::address_function addressOf, publish_function publish);

    //! Allows an attempt on an upstream of this host to start. Errors: `CrashSuspected`.
    auto start(const upstream::attempt_request &request) -> base::result<void>;
    //! Handles the end of an attempt that `start` allowed.
    auto onFinish(const upstream::attempt_observation &observation,
                  const upstream::attempt_finish &finish) -> void;

    //! Checks at the entry node whether a node may be selected for an attempt: a suspect has one
    //! attempt, and no other beside it. Errors: `CrashSuspected`.
    [[nodiscard]] auto checkSelection(const caller::selection_request &request) const
            -> base::result<void>;
    //! Returns the time for which the request is refused, zero if that isn't known here.
    [[nodiscard]] auto retryAfter(const caller::selection_request &request) const
            -> base::milliseconds;

    //! Handles the evidence of another node.
    auto merge(const std::vector<base::crash_record> &records) -> void;

    //! Publishes and logs what has changed. Call at least every 100 ms.
    auto tick(base::time_point now) -> void;

private:
    auto onConnectionsLost(const std::vector<upstream::attempt_observation> &lostAttempts,
                           bool hasCrashed) -> void;

    policy::crash_tracker m_tracker;
    std::shared_ptr<crash_probe> m_probe;
    publish_function m_publish;
    prometheus::Counter &m_crashCounter;
    prometheus::Counter &m_refusedRequestCounter;
};

} // namespace hawthornpick::app
