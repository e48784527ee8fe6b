#pragma once

#include "base/ids.h"
#include "base/log.h"
#include "base/time.h"
#include "config/diagnostic.h"
#include "membership/view.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace hawthornpick::config {

//! Order in which waiting requests get a slot of an upstream.
enum class waiting_order : std::uint8_t {
    //! Earliest start deadline first.
    Urgency,
    //! Lowest cost of a refusal last; see docs/design/overload.md.
    Cost,
};

//! Settings of one process of a fleet whose nodes discover each other through seed nodes.
struct mesh_settings
{
    base::node_id name;
    base::region_id region;
    base::failure_domain_id failureDomain;
    //! IP address of the host, at which peers connect to `peerPort` over TCP and UDP.
    std::string address;
    //! Must be equal on all nodes of the fleet, so that the IP address alone identifies a node.
    std::uint16_t peerPort = 0;
    //! Listening address for peers; differs from `address` and `peerPort` behind a relay.
    membership::endpoint peerListenAddress;

    //! Listening address for callers; empty on nodes without an upstream.
    membership::endpoint callerAddress;
    //! Listening address for registrations of upstreams on this host and for operators.
    membership::endpoint controlAddress;
    //! Listening address for readiness checks; empty if they are not served.
    membership::endpoint readyAddress;
    //! Listening address for /healthz, /readyz and /metrics; empty if they are not served.
    membership::endpoint statusAddress;

    //! Service and address of the upstream of this host; empty on nodes without one.
    base::service_id service;
    membership::endpoint upstreamAddress;

    //! IP addresses of nodes that store the directory.
    std::vector<std::string> seeds;
    //! True if the fleet is started for the first time.
    bool isFirstStart = false;
    //! Set on nodes that store the directory and vote on the configuration; empty on all others.
    std::string dataFolder;
    std::string fleetSecret;

    //! Time from a request to stop until the process exits.
    base::milliseconds stopTime{6000};
    //! Interval at which upstreams renew their registration.
    base::milliseconds heartbeat{1500};
    //! Number of retries allowed for each first attempt, over the whole fleet.
    double repeatShare = 0.2;
    //! Number of retries allowed in each window on top of `repeatShare`, over the whole fleet.
    double repeatSlack = 60.0;
    //! Length of the window to which the retry limits apply.
    base::milliseconds repeatWindow{10'000};

    //! Failure domains of the fleet with their regions; empty if they are not known.
    std::map<base::failure_domain_id, base::region_id> failureDomains;
    //! Ratio by which the rate of an upstream that is cold may exceed the rate of its service.
    double coldOverage = 1.0;

    waiting_order order = waiting_order::Urgency;
    //! True if requests are sent to other regions in proportion to the room that these report.
    bool followsRemoteRoom = false;
    //! Names of options of the platform, which its adapter translates.
    std::vector<std::string> platformOptions;

    std::uint32_t maxCallerConnections = 3000;
    base::log_level logLevel = base::log_level::Info;

    auto operator<=>(const mesh_settings &) const = default;
};

//! Parses the INI text of a settings file; returns the settings, or all errors found. A key with an
//! empty value counts as absent. `fileName` is used in the errors only. Thread safety: pure.
auto parseMeshSettings(std::string_view fileName, std::string_view text)
        -> tl::expected<mesh_settings, std::vector<diagnostic>>;

} // namespace hawthornpick::config
