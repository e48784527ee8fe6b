#pragma once

#include "app/internal/crashprobe.h"
#include "base/metrics.h"
#include "policy/crashtracker.h"
#include "upstream/hooks.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

namespace hawthornpick::app {

//! Observes the requests that run on the upstreams of this host when one of them crashes.
//! Thread safety of all members: the node's thread.
class crash_control
{
public:
    //! Precondition: `context` and `metrics` outlive the object.
    crash_control(boost::asio::io_context &context, base::metrics &metrics,
                  crash_probe::address_function addressOf);

    //! Handles the end of an attempt on an upstream of this host.
    auto onFinish(const upstream::attempt_observation &observation,
                  const upstream::attempt_finish &finish) -> void;

private:
    auto onConnectionsLost(const std::vector<upstream::attempt_observation> &lostAttempts,
                           bool hasCrashed) -> void;

    std::shared_ptr<crash_probe> m_probe;
    prometheus::Counter &m_crashCounter;
};

} // namespace hawthornpick::app
