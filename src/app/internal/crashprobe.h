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

//! Tells a crash of an upstream from a connection that it closed. All connections that are lost
//! within `COLLECT_TIME` belong to one event; then one connection attempt shows whether a process
//! still listens. Without this a faulty upstream that resets connections would make suspects of
//! innocent requests.
//! Thread safety: any thread.
class crash_probe : public std::enable_shared_from_this<crash_probe>
{
public:
    //! A crash closes all connections of a process within this time on one host.
    static constexpr base::milliseconds COLLECT_TIME{20};
    static constexpr base::milliseconds CONNECT_TIME{250};

    //! Address of an upstream of this host; nothing if it is gone.
    using address_function =
            std::function<std::optional<membership::endpoint>(const base::upstream_id &)>;
    //! Gets the attempts of one event and whether the upstream's process is gone. Called on the
    //! thread of the context.
    using result_function = std::function<void(
            const std::vector<upstream::attempt_observation> &losses, bool hasCrashed)>;

    //! Precondition: `context` outlives the probe.
    crash_probe(boost::asio::io_context &context, address_function address, result_function result);

    //! Reports an attempt whose connection was lost before a complete answer head.
    auto onConnectionLost(const upstream::attempt_observation &observation) -> void;

private:
    auto connect(const base::upstream_id &upstream) -> void;
    auto finish(const base::upstream_id &upstream, bool hasCrashed) -> void;

    boost::asio::io_context &m_context;
    address_function m_address;
    result_function m_result;
    std::mutex m_mutex;
    std::map<base::upstream_id, std::vector<upstream::attempt_observation>> m_events;
};

} // namespace hawthornpick::app
