#pragma once

#include "base/ids.h"
#include "membership/view.h"
#include "tests/faultproxy/proxy.h"
#include "tests/support/childprocess.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace hawthornpick::processtest {

//! Place of one node of the test fleet.
struct node_place
{
    std::string name;
    //! 1 or 2.
    int region = 1;
    //! Position in the region, from 1.
    int position = 1;

    auto operator<=>(const node_place &) const = default;
};

//! Answer of an operator interface.
struct operator_answer
{
    unsigned status = 0;
    std::string body;

    auto operator<=>(const operator_answer &) const = default;
};

//! Real node processes on loopback addresses, two regions of three nodes each. All traffic between
//! nodes passes a fault-injecting proxy inside the test process. Controllers are a2, a3 and b3;
//! witnesses are a1, a2, b1 and b2. The destructor ends all processes.
class fleet
{
public:
    //! Starts all nodes and waits until a leader is confirmed.
    fleet();
    ~fleet();
    fleet(const fleet &) = delete;
    auto operator=(const fleet &) -> fleet & = delete;

    [[nodiscard]] auto nodes() const -> const std::vector<node_place> & { return m_nodes; }

    [[nodiscard]] auto callerAddress(const std::string &node) const -> membership::endpoint;
    [[nodiscard]] auto announceAddress(const std::string &node) const -> membership::endpoint;

    //! Local IP address of a node, the source address in fault rules.
    [[nodiscard]] auto ip(const std::string &node) const -> std::string;

    auto start(const std::string &node) -> void;
    auto signal(const std::string &node, int number) -> void;

    //! Waits for the end of a process; returns its exit status, or nothing after a signal.
    auto wait(const std::string &node) -> std::optional<int>;

    //! Kills a process and waits for its end.
    auto kill(const std::string &node) -> void;

    //! Removes the data folder of a stopped controller.
    auto wipe(const std::string &node) -> void;

    //! Replaces all fault rules.
    auto setFaults(std::vector<faultproxy::rule> rules) -> void;

    //! Rules that cut all traffic between the two groups, or only that towards `to`.
    [[nodiscard]] auto cutRules(const std::vector<std::string> &from,
                                const std::vector<std::string> &to) const
            -> std::vector<faultproxy::rule>;

    //! Sends a set over the operator interface of a node.
    auto apply(const std::string &node, const std::string &changeId, std::uint64_t baseVersion,
               const std::string &declaration) -> std::optional<operator_answer>;
    //! Starts or ends the evacuation of a failure domain over the operator interface of a node.
    auto evacuate(const std::string &node, const std::string &changeId,
                  const std::string &failureDomain, bool starts) -> std::optional<operator_answer>;
    auto change(const std::string &node, const std::string &changeId)
            -> std::optional<operator_answer>;
    //! Version that a node serves; nothing if it does not answer.
    auto versionOf(const std::string &node) -> std::optional<std::uint64_t>;
    auto leader(const std::string &node) -> std::string;
    //! Upstreams that a node's view shows as ejected; nothing if it does not answer.
    auto ejectedUpstreams(const std::string &node) -> std::optional<std::size_t>;
    auto isReady(const std::string &node) -> bool;

    //! Applies a set and waits until all nodes are ready.
    auto applyAndWait(const std::string &declaration) -> void;

private:
    auto writeSettings(const node_place &place) -> void;
    auto get(const std::string &node, const std::string &path) -> std::optional<operator_answer>;
    [[nodiscard]] auto placeOf(const std::string &node) const -> const node_place &;

    std::string m_network;
    std::filesystem::path m_folder;
    std::vector<node_place> m_nodes;
    std::map<std::string, testsupport::child_process> m_processes;
    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard{
            boost::asio::make_work_guard(m_context)};
    std::unique_ptr<faultproxy::proxy> m_proxy;
    std::thread m_proxyThread;
};

//! Repeats `condition` until it is true; fails the test after a generous limit.
auto waitUntil(const char *what, const std::function<bool()> &condition) -> void;

//! Number in a flat JSON object; nothing if it is absent.
auto jsonNumber(const std::string &body, const std::string &name) -> std::optional<std::uint64_t>;
auto jsonText(const std::string &body, const std::string &name) -> std::string;

} // namespace hawthornpick::processtest
