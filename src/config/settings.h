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

//! Id and address of a seed, controller or witness node.
struct named_node
{
    base::node_id id;
    membership::endpoint address;

    auto operator<=>(const named_node &) const = default;
};

//! Preset of the weights of the detection and rate parameters.
enum class policy_profile : std::uint8_t {
    Balanced,
    FastDetection,
    FewFalseEjections,
};

//! Settings of one process, read once when it starts.
struct settings
{
    base::node_id node;
    std::string host;
    base::region_id region;
    base::failure_domain_id failureDomain;

    //! Listening address for callers (HTTP/1.1).
    membership::endpoint callerAddress;
    //! Listening address for other nodes (TCP and UDP).
    membership::endpoint peerAddress;
    //! Address at which other nodes reach `peerAddress`; it differs from `peerAddress` behind
    //! network address translation or a test proxy.
    membership::endpoint advertisedPeerAddress;
    //! Listening address for announcements of upstreams on this host; a loopback address.
    membership::endpoint announceAddress;
    //! Listening address for operators.
    membership::endpoint operatorAddress;
    //! Listening address for /healthz, /readyz and /metrics.
    membership::endpoint statusAddress;

    std::vector<named_node> seeds;
    std::vector<named_node> controllers;
    //! Witnesses of each region.
    std::map<base::region_id, std::vector<named_node>> witnesses;

    //! Empty on nodes without persistent storage.
    std::string dataFolder;
    std::string fleetSecret;
    std::string operatorKey;

    std::uint32_t ioThreads = 2;
    std::uint32_t maxCallerConnections = 2000;
    //! Maximum bandwidth, in bytes per second, for requests that this node sends to other regions.
    std::uint64_t regionLinkBytesPerSecond = 1'000'000;
    base::milliseconds shutdownLimit{30000};
    policy_profile profile = policy_profile::Balanced;
    base::log_level logLevel = base::log_level::Info;

    auto operator<=>(const settings &) const = default;
};

//! Parses the INI text of a settings file; returns the settings, or all errors found.
//! `fileName` is used in the errors only. Thread safety: pure.
auto parseSettings(std::string_view fileName, std::string_view text)
        -> tl::expected<settings, std::vector<diagnostic>>;

} // namespace hawthornpick::config
