#pragma once

#include "base/time.h"
#include "membership/view.h"
#include "upstream/hooks.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace hawthornpick::app {

//! Distinguishes a crash of an upstream from connections that a running upstream closed. All
//! connections to one upstream that are lost within `GROUPING_WINDOW` form one event; one
//! connection attempt then shows whether a process still listens. Without the probe, an upstream
//! that resets connections would turn harmless requests into crash suspects. Thread safety: any
//! thread.
class crash_probe : public std::enable_shared_from_this<crash_probe>
{
public:
    //! On one host, all connections of a crashed process are reported as closed within this time.
    static constexpr base::milliseconds GROUPING_WINDOW{20};
    static constexpr base::milliseconds CONNECT_TIMEOUT{250};

    //! Returns the address of an upstream of this host; nothing if it is no longer registered.
    using address_function =
            std::function<std::optional<membership::endpoint>(const base::upstream_id &)>;
    //! Receives the attempts of one event and whether the process of the upstream has ended. Called
    //! on the thread of the context.
    using result_function = std::function<void(
            const std::vector<upstream::attempt_observation> &lostAttempts, bool hasCrashed)>;

    //! Precondition: `context` outlives the probe.
    crash_probe(boost::asio::io_context &context, address_function addressOf,
                result_function onResult);

    //! Reports an attempt whose connection was lost before the response was complete.
    auto onConnectionLost(const upstream::attempt_observation &observation) -> void;

private:
    auto probeUpstream(const base::upstream_id &upstream) -> void;
    auto reportResult(const base::upstream_id &upstream, bool hasCrashed) -> void;

    boost::asio::io_context &m_context;
    address_function m_addressOf;
    result_function m_onResult;
    std::mutex m_mutex;
    std::map<base::upstream_id, std::vector<upstream::attempt_observation>> m_lossEvents;
};

} // namespace hawthornpick::app
