#pragma once

#include "tests/support/meshfleet.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hawthornpick::meshtest {

//! Mesh to whose configuration routes are added, with upstreams that answer at once. Thread safety:
//! one thread.
class changing_fleet
{
public:
    //! Time after an acknowledgement within which nodes in touch serve an added route.
    static constexpr base::milliseconds APPLY_TIME{2500};
    //! Time after its start in which a node may be out of touch.
    static constexpr base::milliseconds START_TIME{3000};

    //! Starts the fleet and waits until each node serves a request; fails the test otherwise.
    //! `name` makes the folder of the fleet unique.
    changing_fleet(const std::string &name, testsupport::fleet_size size);

    auto nodes() -> testsupport::mesh_fleet & { return m_fleet; }

    //! Replaces the configuration by one with another route; returns true once the change is
    //! acknowledged, and false after `limit`.
    auto addRoute(base::milliseconds limit) -> bool;
    //! As `addRoute`, at these core nodes in turn. Precondition: `cores` is not empty.
    auto addRouteAt(const std::vector<int> &cores, base::milliseconds limit) -> bool;

    //! Checks that each of several added routes is served by all nodes `APPLY_TIME` later.
    auto checkAddedRoutesAreServed() -> void;

    //! Number of nodes that don't serve the route that was added last.
    auto countNodesWithoutRoute() -> int;

    //! Status with which an edge node, counted from 0, answers a request for a route; 0 without an
    //! answer.
    auto statusOf(int edge, const std::string &path) -> unsigned;
    //! Path of the route that was added last.
    [[nodiscard]] auto newestPath() const -> std::string;

    //! Number of core nodes that can't tell the current configuration.
    auto countCoresWithoutVersion() -> int;

private:
    testsupport::fleet_size m_size;
    testsupport::mesh_fleet m_fleet;
    std::uint64_t m_version = 1;
};

} // namespace hawthornpick::meshtest
