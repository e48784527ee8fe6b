#pragma once

#include "base/random.h"
#include "tests/process/httpclient.h"
#include "tests/support/meshfleet.h"

#include <cstdint>
#include <optional>
#include <string>

namespace hawthornpick::meshtest {

//! Sends requests to the nodes of a mesh that have an upstream, each over a new connection.
//! Thread safety: one thread.
class mesh_caller
{
public:
    static constexpr std::uint64_t DEADLINE_MS = 4000;

    //! `name` distinguishes the requests of several callers.
    //! Precondition: `fleet` outlives the object.
    explicit mesh_caller(const testsupport::mesh_fleet &fleet, std::string name = "id")
        : m_fleet(fleet), m_name(std::move(name))
    {}

    //! Submits a configuration and waits until each node serves a request; false after 30 s.
    auto waitUntilServed() -> bool;

    //! Adds the service "slow" with its route and waits until each node knows the route; false
    //! after 30 s. Precondition: `waitUntilServed` has returned true.
    auto submitSlowRoute() -> bool;

    //! Adds a route (/bound/) whose requests may be executed in one region only, and waits until
    //! each node knows it; false after 30 s. Precondition: `waitUntilServed` has returned true.
    auto submitBoundRoute(const std::string &region) -> bool;

    //! Submits a change of the first configuration. Precondition: as `submitSlowRoute`.
    auto submitPatch(const std::string &patch) -> bool;

    //! Sends a request to a node with an upstream, counted from 0.
    auto sendTo(int edge, const std::string &method, const std::string &target,
                const std::string &body = {}) -> std::optional<processtest::http_answer>;

    //! Sends a request to a random node with an upstream.
    auto sendToAny(const std::string &method, const std::string &target,
                   const std::string &body = {}) -> std::optional<processtest::http_answer>;

private:
    [[nodiscard]] auto edgeCount() const -> int { return m_fleet.size() - m_fleet.cores(); }
    auto submitConfiguration() -> bool;
    // Submits a patch of version 1 and waits until each node knows the route of the path.
    auto submitRoute(const std::string &patch, const std::string &path) -> bool;

    const testsupport::mesh_fleet &m_fleet;
    std::string m_name;
    base::random_source m_random{1};
    int m_requestCount = 0;
};

} // namespace hawthornpick::meshtest
