#pragma once

#include "base/ids.h"
#include "base/log.h"
#include "base/time.h"
#include "config/diagnostic.h"
#include "membership/view.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace hawthornpick::config {

//! A node that settings name: a seed, a controller or a witness.
struct named_node
{
    base::node_id id;
    membership::endpoint address;

    auto operator<=>(const named_node &) const = default;
};

//! Weighting of the detection and rate parameters.
enum class policy_profile : std::uint8_t {
    Balanced,
    FastDetection,
    FewFalseEjections,
};

//! Settings of one process, read once at its start.
struct settings
{
    base::node_id node;
    std::string host;
    base::region_id region;
    base::failure_domain_id failureDomain;

    //! Where callers connect (HTTP/1.1).
    membership::endpoint callerAddress;
    //! Where other nodes connect (TCP and UDP), as bound here.
    membership::endpoint peerAddress;
    //! Where other nodes reach `peerAddress`; differs behind address translation or a test proxy.
    membership::endpoint advertisedPeerAddress;
    //! Where upstreams of this host announce themselves; loopback.
    membership::endpoint announceAddress;
    //! Where operators connect.
    membership::endpoint operatorAddress;
    //! Where /healthz, /readyz and /metrics are served.
    membership::endpoint statusAddress;

    std::vector<named_node> seeds;
    std::vector<named_node> controllers;
    //! Witnesses that answer for each region.
    std::map<base::region_id, std::vector<named_node>> witnesses;

    //! Empty on nodes without a disk.
    std::string dataFolder;
    std::string fleetSecret;
    std::string operatorKey;

    std::uint32_t ioThreads = 2;
    std::uint32_t maxCallerConnections = 2000;
    //! Bytes per second that this node may send to other regions for requests.
    std::uint64_t regionLinkBytesPerSecond = 1'000'000;
    base::milliseconds shutdownLimit{30000};
    policy_profile profile = policy_profile::Balanced;
    base::log_level logLevel = base::log_level::Info;

    auto operator<=>(const settings &) const = default;
};

//! Parses the INI text of a settings file; returns all errors at once.
//! `fileName` appears in the errors. Thread safety: pure.
auto parseSettings(std::string_view fileName, std::string_view text)
        -> tl::expected<settings, std::vector<diagnostic>>;

} // namespace hawthornpick::config
