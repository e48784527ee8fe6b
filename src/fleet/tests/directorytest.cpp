#include "fleet/deputy.h"
#include "fleet/hub.h"
#include "fleet/reporter.h"
#include "tests/support/virtualnetwork.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cmath>
#include <memory>
#include <set>
#include <sys/resource.h>

using namespace hawthornpick;
using std::chrono::milliseconds;

namespace {

auto endpointOf(int index) -> membership::endpoint
{
    return {"10.0.0." + std::to_string(index + 1), 7000};
}

auto nodeIdOf(int index) -> base::node_id
{
    return fleet::nodeIdOf(endpointOf(index));
}

auto makeRecord(int index, bool isHub, int regionCount = 2) -> fleet::node_record
{
    fleet::node_record record;
    record.entry.id = nodeIdOf(index);
    record.entry.peerAddress = endpointOf(index);
    record.entry.region = base::region_id("r" + std::to_string(index % regionCount));
    record.entry.failureDomain =
            base::failure_domain_id("d" + std::to_string(index % (2 * regionCount)));
    record.generation = 1;
    record.isHub = isHub;
    return record;
}

auto makeUpstream(const std::string &id) -> membership::upstream_entry
{
    membership::upstream_entry entry;
    entry.id = base::upstream_id(id);
    entry.service = base::service_id("s");
    entry.slots = 4;
    entry.state = membership::upstream_state::Ready;
    return entry;
}

auto makeLeftUpstream(const std::string &id, base::incarnation incarnation)
        -> membership::upstream_entry
{
    auto entry = makeUpstream(id);
    entry.state = membership::upstream_state::Gone;
    entry.isLeaving = true;
    entry.incarnation = incarnation;
    return entry;
}

//! Fleet usage from which the only organisation of these tests counts as near its limit.
constexpr double NEAR_LIMIT_REQUESTS = 100.0;

auto isNearLimit(const base::organisation_id & /*organisation*/, const base::rate_usage &usage)
        -> bool
{
    return usage.admitted >= NEAR_LIMIT_REQUESTS;
}

//! A node with its reporter, its deputy and, if it has one, its hub, and the last values that the
//! reporter passed to its callbacks.
struct directory_node
{
    std::unique_ptr<fleet::reporter> reporter;
    std::unique_ptr<fleet::hub> hub;
    std::unique_ptr<fleet::deputy> deputy;
    membership::view_pointer view = std::make_shared<const membership::view>();
    base::config_version version = 0;
    base::evacuation_list evacuations;
    base::usage_map totals;
    double coverage = 1.0;
    base::usage_map usage;
    base::usage_map changedUsage;
    base::node_id currentHub;
    //! Newest evidence of crashes that the node has received.
    std::map<std::uint64_t, base::crash_evidence> crashes;
    //! Upstreams of former processes that the node has been told of.
    std::vector<membership::upstream_entry> formerUpstreams;
    //! True if the node has been told all that is known of former processes.
    bool hasCompleteDirectory = false;
    bool isFresh = true;
    int lateAnswerCount = 0;
    //! True for a hub that runs the version before gateways.
    bool isFormer = false;
    //! File of departures, which outlives restarts.
    std::string disk;
};

//! Takes from a message what the version before gateways didn't know; returns nothing for one that
//! it couldn't read.
struct former_version
{
    using result = std::optional<fleet::message>;

    auto operator()(fleet::report content) const -> result
    {
        return content.senderVersion ? std::nullopt : result(content);
    }
    auto operator()(fleet::report_answer content) const -> result
    {
        content.stored.reset();
        return content;
    }
    auto operator()(fleet::sync_request content) const -> result
    {
        if (content.senderVersion) {
            return std::nullopt;
        }
        return fleet::sync_request{content.sender,
                                   content.cursor,
                                   {content.localUsages.usages},
                                   content.localNodeCount};
    }
    auto operator()(fleet::sync_answer content) const -> result
    {
        fleet::sync_answer known{content.cursor, content.records, std::nullopt,
                                 content.regionNodeCount, content.isDirectoryComplete};
        if (content.regionUsages) {
            known.regionUsages = fleet::usage_changes{content.regionUsages->usages};
        }
        return known;
    }
    auto operator()(fleet::usage_update content) const -> result
    {
        return fleet::usage_update{{content.usages.usages}, content.isFromHub};
    }
    template <typename Content>
    auto operator()(Content content) const -> result
    {
        return content;
    }
};

//! Payload bytes that were delivered, by the place of the receiver.
struct distance_bytes
{
    double ownDomain = 0.0;
    double ownRegion = 0.0;
    double otherRegion = 0.0;
};

//! Nodes in a virtual network; the first `hubCount` of them are hubs. Nodes whose indices are equal
//! modulo the number of regions share a region, and modulo twice that number a failure domain.
class directory_fleet
{
public:
    //! `contacts` are the hubs that all nodes know at their start.
    directory_fleet(int nodeCount, int hubCount, const std::vector<int> &contacts = {0, 1, 2},
                    int regionCount = 2)
        : m_network(11, {0.02, 0.02}), m_regionCount(regionCount), m_nodes(nodeCount)
    {
        for (const int contact : contacts) {
            m_contacts.push_back(nodeIdOf(contact));
        }
        for (int i = 0; i < nodeCount; ++i) {
            startNode(i, i < hubCount, 1);
        }
    }

    //! Starts a node, or restarts it with new decision objects.
    auto startNode(int index, bool isHub, std::uint64_t generation) -> void
    {
        auto &node = m_nodes.at(index);
        auto record = makeRecord(index, isHub, m_regionCount);
        record.generation = generation;
        fleet::reporter_callbacks callbacks;
        callbacks.onView = [&node](membership::view_pointer view) {
            node.view = std::move(view);
        };
        callbacks.onDocument = [&node](const fleet::config_document &document) {
            node.version = document.version;
        };
        node.evacuations = {};
        callbacks.onEvacuations = [&node](const base::evacuation_list &evacuations) {
            CHECK_TEXT(evacuations.revision > node.evacuations.revision, "the list went back");
            node.evacuations = evacuations;
        };
        callbacks.onTotals = [&node](const base::usage_map &totals, double coverage) {
            node.totals = totals;
            node.coverage = coverage;
        };
        callbacks.currentUsages = [&node] {
            return node.usage;
        };
        callbacks.onTotalsNearLimit = [&node](const base::usage_map &totals, double /*coverage*/) {
            for (const auto &[organisation, usage] : totals) {
                node.totals[organisation] = usage;
            }
        };
        callbacks.changedUsages = [&node] {
            return std::exchange(node.changedUsage, {});
        };
        callbacks.onCrashRecords = [&node](const std::vector<base::crash_record> &records) {
            for (const auto &record : records) {
                auto &known = node.crashes[record.fingerprint];
                known = std::max(known, record.evidence);
            }
        };
        node.formerUpstreams.clear();
        node.hasCompleteDirectory = false;
        callbacks.onFormerUpstreams =
                [&node](const std::vector<membership::upstream_entry> &former) {
                    node.formerUpstreams.insert(node.formerUpstreams.end(), former.begin(),
                                                former.end());
                };
        callbacks.onDirectoryComplete = [&node] {
            node.hasCompleteDirectory = true;
        };
        callbacks.onStored = [] {
        };
        callbacks.onHubChanged = [&node](const base::node_id &hub, bool /*isDeputy*/) {
            node.currentHub = hub;
        };
        callbacks.onLateAnswer = [&node](const base::node_id & /*from*/,
                                         base::duration /*answerTime*/) {
            ++node.lateAnswerCount;
        };
        node.reporter = std::make_unique<fleet::reporter>(record, m_contacts, callbacks);
        node.hub.reset();
        node.deputy = std::make_unique<fleet::deputy>(m_network.random().bits(), *node.reporter,
                                                      isNearLimit);
        if (isHub) {
            node.hub = std::make_unique<fleet::hub>(
                    fleet::hub_options{.contacts = m_contacts,
                                       .bootId = m_network.random().bits(),
                                       .keepsDepartures = true},
                    *node.reporter, [&node](base::time_point) { return node.isFresh; },
                    isNearLimit);
            node.hub->onDeparturesLoaded(node.disk, m_network.now());
        }
        attach(index);
    }

    auto node(int index) -> directory_node & { return m_nodes.at(index); }
    auto network() -> testsupport::virtual_network & { return m_network; }
    auto run(milliseconds span) -> void { m_network.run(span); }

    auto isHub(const base::node_id &id) const -> bool
    {
        const auto hasIdAndHub = [&id, this](const directory_node &item) {
            return item.hub && nodeIdOf(static_cast<int>(&item - m_nodes.data())) == id;
        };
        return std::any_of(m_nodes.begin(), m_nodes.end(), hasIdAndHub);
    }

    //! Mean control payload bytes that each node sent per second during `span`.
    auto bytesPerSecondAndNode(milliseconds span) -> double
    {
        const auto bytesBefore = m_network.sentBytes();
        run(span);
        return static_cast<double>(m_network.sentBytes() - bytesBefore) / base::toSeconds(span)
               / static_cast<double>(m_nodes.size());
    }

    //! Number of directory messages received from a node of another region so far.
    auto interRegionMessageCount() const -> int { return m_interRegionMessageCount; }

    auto interRegionBytes() const -> std::size_t { return m_interRegionBytes; }

    auto deliveredBytes() const -> const distance_bytes & { return m_deliveredBytes; }

    //! Hubs that sent a request to another region since `clearAskers`, by the two regions.
    auto askers() const -> const std::map<std::string, std::set<int>> & { return m_askers; }
    auto clearAskers() -> void { m_askers.clear(); }

    auto publish(int hub, base::config_version version) -> void
    {
        auto out = node(hub).hub->publish({version, "content"}, m_network.now());
        m_network.send(nodeIdOf(hub), out);
    }

    //! Tells a hub of committed evacuations, as its quorum member does.
    auto commitEvacuations(int hub, const base::evacuation_list &evacuations) -> void
    {
        node(hub).reporter->learnEvacuations(evacuations);
        m_network.send(nodeIdOf(hub), node(hub).hub->publishEvacuations(m_network.now()));
    }

    //! Cuts a node off from all hubs, or joins it with them again.
    auto setCutFromHubs(int index, bool isCut) -> void
    {
        for (int i = 0; i < static_cast<int>(m_nodes.size()); ++i) {
            if (m_nodes.at(i).hub && isCut) {
                m_network.cut(nodeIdOf(index), nodeIdOf(i));
                m_network.cut(nodeIdOf(i), nodeIdOf(index));
            }
        }
        if (!isCut) {
            m_network.healAll();
        }
    }

    //! Publishes the upstreams of a node; returns true if hubs have stored them within a second.
    auto storeUpstreams(int index, std::vector<membership::upstream_entry> upstreams) -> bool
    {
        auto &reporter = *node(index).reporter;
        reporter.setUpstreams(std::move(upstreams));
        const auto sequence = reporter.self().sequence;
        m_network.send(nodeIdOf(index), reporter.requestStorage(m_network.now()));
        for (int i = 0; i < 40 && !reporter.isStored(sequence); ++i) {
            run(milliseconds(25));
        }
        return reporter.isStored(sequence);
    }

    //! Returns true if a restarted node has been told that an upstream of its predecessor left.
    auto hasBeenToldOfDeparture(int index, const std::string &upstream,
                                base::incarnation incarnation) -> bool
    {
        const auto &former = node(index).formerUpstreams;
        return std::any_of(former.begin(), former.end(), [&](const auto &item) {
            return item.id.str() == upstream && item.incarnation == incarnation && item.isLeaving;
        });
    }

    auto upstreamCountSeenBy(int index) -> std::size_t
    {
        return node(index).view->upstreamsOf(base::service_id("s")).size();
    }

private:
    auto attach(int index) -> void
    {
        auto &node = m_nodes.at(index);
        const auto place = makeRecord(index, false, m_regionCount).entry;
        const auto receive = [this, &node, place](const base::node_id &from, base::channel /*kind*/,
                                                  std::string_view payload, base::time_point now) {
            auto content = fleet::decodeMessage(payload);
            countDelivered(placeOf(from), place, payload.size(), fleet::kindName(*content));
            if (node.isFormer) {
                content = std::visit(former_version{}, *content);
            }
            if (!content) {
                return std::vector<base::outgoing_message>();
            }
            auto out = node.reporter->receive(from, *content, now);
            auto hubMessages = node.hub ? node.hub->receive(from, *content, now)
                                        : node.deputy->receive(from, *content, now);
            out.insert(out.end(), hubMessages.begin(), hubMessages.end());
            return asSentBy(node, std::move(out));
        };
        const auto tick = [&node](base::time_point now) {
            auto out = node.reporter->tick(now);
            auto hubMessages = node.hub ? node.hub->tick(now) : node.deputy->tick(now);
            out.insert(out.end(), hubMessages.begin(), hubMessages.end());
            if (auto write = node.hub ? node.hub->takeDepartureWrite() : std::nullopt) {
                node.disk = write->content;
                auto answers = node.hub->onDeparturesWritten(write->revision);
                out.insert(out.end(), answers.begin(), answers.end());
            }
            return asSentBy(node, std::move(out));
        };
        m_network.attach(nodeIdOf(index), receive, tick);
    }

    static auto asSentBy(const directory_node &node, std::vector<base::outgoing_message> messages)
            -> std::vector<base::outgoing_message>
    {
        for (auto &item : messages) {
            const auto content = std::visit(former_version{}, *fleet::decodeMessage(item.payload));
            if (node.isFormer && content) {
                item.payload = fleet::encodeMessage(*content);
            }
        }
        return messages;
    }

    auto indexOf(const base::node_id &id) const -> int
    {
        int index = 0;
        while (nodeIdOf(index) != id) {
            ++index;
        }
        return index;
    }

    auto placeOf(const base::node_id &id) const -> membership::node_entry
    {
        return makeRecord(indexOf(id), false, m_regionCount).entry;
    }

    auto countDelivered(const membership::node_entry &from, const membership::node_entry &to,
                        std::size_t bytes, std::string_view kind) -> void
    {
        if (from.region == to.region) {
            const bool isOwnDomain = from.failureDomain == to.failureDomain;
            (isOwnDomain ? m_deliveredBytes.ownDomain : m_deliveredBytes.ownRegion) +=
                    static_cast<double>(bytes);
            return;
        }
        ++m_interRegionMessageCount;
        m_interRegionBytes += bytes;
        m_deliveredBytes.otherRegion += static_cast<double>(bytes);
        if (kind == "sync_request") {
            m_askers[from.region.str() + to.region.str()].insert(indexOf(from.id));
        }
    }

    testsupport::virtual_network m_network;
    int m_regionCount;
    distance_bytes m_deliveredBytes;
    std::map<std::string, std::set<int>> m_askers;
    int m_interRegionMessageCount = 0;
    std::size_t m_interRegionBytes = 0;
    std::vector<directory_node> m_nodes;
    std::vector<base::node_id> m_contacts;
};

//! Checks that a restarted node has been told of all departures.
auto checkKnowsDepartures(directory_fleet &fleet, int node,
                          const std::vector<membership::upstream_entry> &departures,
                          std::uint64_t seed) -> void
{
    for (const auto &departed : departures) {
        const auto place = "seed " + std::to_string(seed) + ", upstream " + departed.id.str();
        CHECK_TEXT(fleet.hasBeenToldOfDeparture(node, departed.id.str(), departed.incarnation),
                   place.c_str());
    }
}

} // namespace

TEST_GROUP(directory){};

// Guards against nodes that only learn of the nodes at the three contacts: the upstreams of every
// node reach all nodes through their hubs.
TEST(directory, propagatesUpstreamsToAllNodesFromThreeContacts)
{
    directory_fleet fleet(12, 5);
    fleet.run(milliseconds(2500));
    for (int i = 5; i < 12; ++i) {
        fleet.node(i).reporter->setUpstreams({makeUpstream("u" + std::to_string(i))});
    }
    fleet.run(milliseconds(3000));
    for (int i = 0; i < 12; ++i) {
        CHECK_EQUAL(7, fleet.upstreamCountSeenBy(i));
    }
}

// Guards against a node that reports to a distant hub while a nearer one is up.
TEST(directory, prefersTheNearestHub)
{
    directory_fleet fleet(12, 5);
    fleet.run(milliseconds(5000));
    // Hubs 0 and 4 share the failure domain of node 8.
    const auto hub = fleet.node(8).currentHub;
    CHECK(hub == nodeIdOf(0) || hub == nodeIdOf(4));
    STRCMP_EQUAL(nodeIdOf(3).str().c_str(), fleet.node(11).currentHub.str().c_str());
}

// Guards against a node that stays with a hub that may have missed committed versions: with seven
// of eight hubs stale, each node finds the fresh one within the time that a version may take.
TEST(directory, findsTheFreshHubAmongStaleHubs)
{
    directory_fleet fleet(14, 8);
    fleet.run(milliseconds(4000));
    for (int i = 0; i < 7; ++i) {
        fleet.node(i).isFresh = false;
    }
    fleet.publish(7, 9);
    fleet.run(milliseconds(1500));
    for (int i = 8; i < 14; ++i) {
        CHECK_EQUAL(9, fleet.node(i).version);
    }
}

// Guards against a node that stays with a deputy and keeps an old version after it was cut off from
// the hubs, because their answers take longer than a probe waits.
TEST(directory, returnsToHubsThatAnswerLaterThanAProbeWaits)
{
    directory_fleet fleet(8, 3);
    fleet.run(milliseconds(4000));
    fleet.setCutFromHubs(7, true);
    fleet.run(milliseconds(3000));
    CHECK(!fleet.isHub(fleet.node(7).currentHub));
    fleet.network().setFaults({0.02, 0.02, milliseconds(90), milliseconds(110)});
    fleet.setCutFromHubs(7, false);
    fleet.run(milliseconds(1500));
    for (int hub = 0; hub < 3; ++hub) {
        fleet.publish(hub, 5);
    }
    fleet.run(milliseconds(2500));
    CHECK_EQUAL(5, fleet.node(7).version);
    CHECK(fleet.isHub(fleet.node(7).currentHub));
}

// Guards against nodes that keep an old version because they drop each answer of a hub with the
// document in it, while the answers take longer than a report waits.
TEST(directory, learnsVersionsFromAnswersThatTakeLongerThanAReportWaits)
{
    directory_fleet fleet(8, 3);
    fleet.run(milliseconds(4000));
    fleet.network().setFaults({0.02, 0.02, milliseconds(240), milliseconds(260)});
    fleet.run(milliseconds(4000));
    for (base::config_version version = 1; version <= 5; ++version) {
        for (int hub = 0; hub < 3; ++hub) {
            fleet.publish(hub, version);
        }
        fleet.run(milliseconds(2500));
        for (int i = 3; i < 8; ++i) {
            CHECK_EQUAL(version, fleet.node(i).version);
        }
    }
}

// Guards against a version that counts as the newest one without the answer of a fresh hub that has
// no newer one.
TEST(directory, confirmsVersionsByFreshHubsOnly)
{
    directory_fleet fleet(8, 3);
    fleet.run(milliseconds(4000));
    const auto isConfirmed = [&fleet](milliseconds age) {
        return fleet.network().now() - fleet.node(6).reporter->confirmation().time <= age;
    };
    CHECK(isConfirmed(milliseconds(1000)));
    for (int hub = 0; hub < 3; ++hub) {
        fleet.node(hub).isFresh = false;
    }
    fleet.run(milliseconds(3000));
    CHECK(!isConfirmed(milliseconds(2500)));
    fleet.node(2).isFresh = true;
    fleet.publish(2, 3);
    fleet.run(milliseconds(2000));
    CHECK(isConfirmed(milliseconds(1000)));
    CHECK_EQUAL(3, fleet.node(6).version);
    fleet.setCutFromHubs(6, true);
    fleet.run(milliseconds(3000));
    CHECK(!isConfirmed(milliseconds(2500)));
}

// Guards against a committed version that reaches nodes only with the answer to their next report.
TEST(directory, pushesCommittedVersions)
{
    directory_fleet fleet(8, 3);
    fleet.run(milliseconds(4000));
    for (int i = 0; i < 3; ++i) {
        fleet.publish(i, 4);
    }
    fleet.run(milliseconds(60));
    int updatedNodeCount = 0;
    for (int i = 0; i < 8; ++i) {
        updatedNodeCount += fleet.node(i).version == 4 ? 1 : 0;
    }
    CHECK(updatedNodeCount >= 6);
}

// Guards against a node that stays unknown after a restart with a lower generation, because its
// host's clock was set back: the record of the restarted node replaces the earlier one.
TEST(directory, acceptsRecordsAfterARestartWithALowerGeneration)
{
    directory_fleet fleet(8, 3);
    fleet.run(milliseconds(3000));
    fleet.startNode(6, false, 100);
    fleet.run(milliseconds(2000));
    fleet.startNode(6, false, 50);
    fleet.run(milliseconds(1000));
    fleet.node(6).reporter->setUpstreams({makeUpstream("late")});
    fleet.run(milliseconds(3000));
    CHECK_EQUAL(1, fleet.upstreamCountSeenBy(7));
}

// Guards against limits that are divided by the demand of only some of the nodes: the totals cover
// the nodes of all hubs.
TEST(directory, sumsUpUsageOverAllHubs)
{
    directory_fleet fleet(10, 4);
    fleet.network().setFaults({});
    const base::organisation_id organisation("o");
    for (int i = 4; i < 10; ++i) {
        fleet.node(i).usage[organisation] = {2.0, 5.0};
    }
    fleet.run(milliseconds(6000));
    for (int i = 4; i < 10; ++i) {
        DOUBLES_EQUAL(12.0, fleet.node(i).totals[organisation].demand, 1e-9);
        DOUBLES_EQUAL(30.0, fleet.node(i).totals[organisation].admitted, 1e-9);
    }
}

// Guards against usage that counts several times while the quorum group has no leader, which makes
// limits seem exhausted: all hubs are stale and nodes probe the others, but each node's usage must
// still count once.
TEST(directory, countsUsageOnceWhileAllHubsAreStale)
{
    directory_fleet fleet(24, 8);
    fleet.network().setFaults({});
    const base::organisation_id organisation("o");
    for (int i = 8; i < 24; ++i) {
        fleet.node(i).usage[organisation] = {2.0, 5.0};
    }
    fleet.run(milliseconds(6000));
    for (int step = 0; step < 100; ++step) {
        for (int i = 0; i < 8; ++i) {
            fleet.node(i).isFresh = step >= 40;
        }
        fleet.run(milliseconds(50));
        for (int i = 8; i < 24; ++i) {
            DOUBLES_EQUAL(32.0, fleet.node(i).totals[organisation].demand, 0.1);
            DOUBLES_EQUAL(80.0, fleet.node(i).totals[organisation].admitted, 0.1);
        }
    }
}

// Guards against usage that counts twice, at a stopped hub and at the hubs to which its nodes have
// switched: the total stays below 1.5 times the actual demand and is correct again after 3 s.
TEST(directory, countsUsageOnceAfterAHubStops)
{
    directory_fleet fleet(24, 8);
    fleet.network().setFaults({});
    const base::organisation_id organisation("o");
    for (int i = 8; i < 24; ++i) {
        fleet.node(i).usage[organisation] = {2.0, 5.0};
    }
    fleet.run(milliseconds(6000));
    fleet.network().crash(nodeIdOf(0));
    fleet.network().crash(nodeIdOf(3));
    for (int step = 0; step < 160; ++step) {
        fleet.run(milliseconds(50));
        for (int i = 8; i < 24; ++i) {
            const auto demand = fleet.node(i).totals[organisation].demand;
            CHECK(demand < 48.0);
            if (step >= 60) {
                DOUBLES_EQUAL(32.0, demand, 0.1);
            }
        }
    }
}

// Guards against limits that are not divided by demand while all hubs are down, possibly for hours:
// deputies sum up the usage of all nodes, and the nodes return to the hubs after their restart.
TEST(directory, sumsUpUsageAtDeputiesWhileAllHubsAreDown)
{
    directory_fleet fleet(24, 8);
    const base::organisation_id organisation("o");
    for (int i = 8; i < 24; ++i) {
        fleet.node(i).usage[organisation] = {2.0, 5.0};
    }
    fleet.run(milliseconds(6000));
    for (int i = 0; i < 8; ++i) {
        fleet.network().crash(nodeIdOf(i));
    }
    fleet.run(milliseconds(5000));
    double meanDemand = 0.0;
    for (int step = 0; step < 200; ++step) {
        fleet.run(milliseconds(50));
        for (int i = 8; i < 24; ++i) {
            meanDemand += fleet.node(i).totals[organisation].demand / (200.0 * 16.0);
            CHECK(fleet.node(i).totals[organisation].demand <= 32.0 * 1.25);
        }
    }
    // The tolerance allows for the datagrams that this network loses.
    DOUBLES_EQUAL(32.0, meanDemand, 32.0 * 0.1);
    fleet.node(12).reporter->setUpstreams({makeUpstream("late")});
    fleet.run(milliseconds(3000));
    CHECK_EQUAL(1, fleet.upstreamCountSeenBy(20));
    for (int i = 0; i < 8; ++i) {
        fleet.startNode(i, true, 2);
    }
    fleet.run(milliseconds(5000));
    for (int i = 8; i < 24; ++i) {
        CHECK(fleet.isHub(fleet.node(i).currentHub));
        CHECK(!fleet.node(i).deputy->isActive());
    }
}

// Guards against a restarted hub that takes the few nodes that have reported to it for the whole
// fleet: the coverage is never higher than the share of the nodes whose usage is in the totals.
TEST(directory, reportsLowCoverageRightAfterARestartOfAllHubs)
{
    directory_fleet fleet(24, 8);
    fleet.network().setFaults({});
    const base::organisation_id organisation("o");
    for (int i = 8; i < 24; ++i) {
        fleet.node(i).usage[organisation] = {2.0, 5.0};
    }
    fleet.run(milliseconds(6000));
    for (int i = 0; i < 8; ++i) {
        fleet.network().crash(nodeIdOf(i));
        fleet.startNode(i, true, 2);
    }
    for (int step = 0; step < 100; ++step) {
        fleet.run(milliseconds(50));
        for (int i = 8; i < 24; ++i) {
            auto &node = fleet.node(i);
            CHECK(node.coverage <= node.totals[organisation].demand / 32.0 + 0.01);
        }
    }
    DOUBLES_EQUAL(1.0, fleet.node(12).coverage, 1e-9);
}

// Guards against a limit that both sides of a partition use in full: the coverage on each side is
// the share of the nodes on that side, so that both together never exceed 1.
TEST(directory, coversOnlyTheOwnSideOfAPartition)
{
    directory_fleet fleet(24, 8);
    fleet.network().setFaults({});
    fleet.run(milliseconds(6000));
    // Cuts 12 of the 16 entry nodes off from all hubs, in both directions.
    for (int i = 8; i < 20; ++i) {
        for (int hub = 0; hub < 8; ++hub) {
            fleet.network().cut(nodeIdOf(i), nodeIdOf(hub));
            fleet.network().cut(nodeIdOf(hub), nodeIdOf(i));
        }
    }
    fleet.run(milliseconds(6000));
    for (int step = 0; step < 100; ++step) {
        fleet.run(milliseconds(50));
        CHECK(fleet.node(8).coverage + fleet.node(22).coverage <= 1.0 + 1e-9);
    }
    DOUBLES_EQUAL(0.75, fleet.node(8).coverage, 0.07);
    DOUBLES_EQUAL(0.25, fleet.node(22).coverage, 0.07);
}

// Guards against traffic between regions that grows quadratically with the number of hubs: each hub
// queries one hub of the other region in each interval.
TEST(directory, queriesOneHubOfTheOtherRegion)
{
    directory_fleet fleet(24, 8);
    fleet.network().setFaults({});
    fleet.run(milliseconds(6000));
    const auto countBefore = fleet.interRegionMessageCount();
    fleet.run(milliseconds(5000));
    // 20 intervals, 8 hubs, one request and one answer each.
    CHECK(fleet.interRegionMessageCount() - countBefore <= 20 * 8 * 2);
}

namespace {

constexpr int TRAFFIC_HUBS = 11;
constexpr int TRAFFIC_NODES = 70;
constexpr int TRAFFIC_REGIONS = 3;
//! Bytes a second that `whatCrossesRegionsCrossesOnce` measured before hubs left other regions to
//! gateways.
constexpr double IDLE_CROSSING_WITHOUT_GATEWAYS = 48'080.0;
constexpr double CHANGING_CROSSING_WITHOUT_GATEWAYS = 52'896.0;
//! A tick until the report, two exchanges between hubs, and the report of another node; and the
//! resolution of the measurement.
constexpr milliseconds MAX_SPREAD_TIME = milliseconds(50) + 2 * fleet::hub::SYNC_INTERVAL
                                         + fleet::reporter::REPORT_INTERVAL + milliseconds(50);
//! A hub that doesn't answer another region was replaced in this time before there were gateways.
constexpr milliseconds MAX_FAILOVER_TIME =
        MAX_SPREAD_TIME + (fleet::hub::MAX_UNANSWERED_REQUESTS + 1) * fleet::hub::SYNC_INTERVAL;

//! A fleet in three regions, with usage of many organisations, most of it seldom.
class traffic_fleet : public directory_fleet
{
public:
    traffic_fleet() : directory_fleet(TRAFFIC_NODES, TRAFFIC_HUBS, {0, 1, 2}, TRAFFIC_REGIONS)
    {
        network().setFaults({});
        for (int i = TRAFFIC_HUBS; i < TRAFFIC_NODES; ++i) {
            for (int organisation = 0; organisation < 20; ++organisation) {
                node(i).usage[organisationOf(organisation)] = {0.25 + 0.01 * organisation, 1.0};
            }
            node(i).reporter->setUpstreams({makeUpstream("10.0.0.1:7000/i-" + std::to_string(i))});
        }
        run(milliseconds(6000));
    }

    //! Changes the usage of some organisations at each of `count` nodes.
    auto changeUsage(int count) -> void
    {
        for (int i = 0; i < count; ++i) {
            auto &changed =
                    node(TRAFFIC_HUBS
                         + static_cast<int>(m_usageRandom.below(TRAFFIC_NODES - TRAFFIC_HUBS)));
            for (int step = 0; step < 5; ++step) {
                const auto organisation = organisationOf(static_cast<int>(m_usageRandom.below(20)));
                auto &usage = changed.usage[organisation];
                usage = {0.2 + 0.01 * static_cast<double>(m_usageRandom.below(100)),
                         static_cast<double>(m_usageRandom.below(5))};
                changed.changedUsage[organisation] = usage;
            }
        }
    }

    //! Bytes a second that were delivered in ten seconds with `changesPerStep` nodes whose usage
    //! changes in each 100 ms.
    auto measure(int changesPerStep) -> distance_bytes
    {
        const auto before = deliveredBytes();
        for (int step = 0; step < 100; ++step) {
            changeUsage(changesPerStep);
            run(milliseconds(100));
        }
        const auto &after = deliveredBytes();
        return {(after.ownDomain - before.ownDomain) / 10.0,
                (after.ownRegion - before.ownRegion) / 10.0,
                (after.otherRegion - before.otherRegion) / 10.0};
    }

    //! Publishes a new upstream beside a node and returns the time until all nodes but `without`
    //! know it.
    auto timeToReachAll(int from, const std::set<int> &without = {}) -> milliseconds
    {
        const auto name = base::upstream_id("probe-" + std::to_string(++m_probeCount));
        node(from).reporter->setUpstreams({makeUpstream(name.str())});
        const auto isKnownAt = [&](int index) {
            const auto places = node(index).view->upstreamsOf(base::service_id("s"));
            return std::any_of(places.begin(), places.end(),
                               [&](const auto &place) { return place.upstream->id == name; });
        };
        milliseconds elapsed{0};
        for (int i = TRAFFIC_HUBS; i < TRAFFIC_NODES && elapsed < milliseconds(30'000);) {
            if (without.contains(i) || isKnownAt(i)) {
                ++i;
                continue;
            }
            run(milliseconds(10));
            elapsed += milliseconds(10);
        }
        return elapsed;
    }

    //! Returns the hub of `region` that asks `other`, or -1 if none or several do.
    auto gatewayOf(int region, int other) -> int
    {
        clearAskers();
        run(milliseconds(600));
        const auto found =
                askers().find("r" + std::to_string(region) + "r" + std::to_string(other));
        return found == askers().end() || found->second.size() != 1 ? -1 : *found->second.begin();
    }

    //! Entry nodes that report to a hub.
    auto nodesOf(int hub) -> std::set<int>
    {
        std::set<int> nodes;
        for (int i = TRAFFIC_HUBS; i < TRAFFIC_NODES; ++i) {
            if (node(i).currentHub == nodeIdOf(hub)) {
                nodes.insert(i);
            }
        }
        return nodes;
    }

    //! Returns an entry node of a region that doesn't report to `hub`.
    auto nodeOf(int region, int hub) -> int
    {
        const auto excluded = nodesOf(hub);
        int index = TRAFFIC_HUBS;
        while (index % TRAFFIC_REGIONS != region || excluded.contains(index)) {
            ++index;
        }
        return index;
    }

    auto cutRegion(int region) -> void
    {
        for (int i = 0; i < TRAFFIC_NODES; ++i) {
            for (int j = 0; j < TRAFFIC_NODES; ++j) {
                if (i % TRAFFIC_REGIONS == region && j % TRAFFIC_REGIONS != region) {
                    network().cut(nodeIdOf(i), nodeIdOf(j));
                    network().cut(nodeIdOf(j), nodeIdOf(i));
                }
            }
        }
    }

    //! Checks that each node knows the usage of all nodes and that no hub counts as dead.
    auto checkKnowsAll() -> void
    {
        for (int organisation = 0; organisation < 20; ++organisation) {
            double demand = 0.0;
            for (int i = TRAFFIC_HUBS; i < TRAFFIC_NODES; ++i) {
                demand += node(i).usage[organisationOf(organisation)].demand;
            }
            for (int i = TRAFFIC_HUBS; i < TRAFFIC_NODES; ++i) {
                DOUBLES_EQUAL(demand, node(i).totals[organisationOf(organisation)].demand, 0.3);
                DOUBLES_EQUAL(1.0, node(i).coverage, 1e-9);
            }
        }
        for (int i = 0; i < TRAFFIC_NODES; ++i) {
            for (int hub = 0; hub < TRAFFIC_HUBS; ++hub) {
                const auto *record = node(i).reporter->records().find(nodeIdOf(hub));
                CHECK(record != nullptr && record->isAliveHub());
            }
        }
    }

    static auto organisationOf(int index) -> base::organisation_id
    {
        return base::organisation_id("organisation-" + std::to_string(index));
    }

private:
    int m_probeCount = 0;
    base::random_source m_usageRandom{3};
};

auto print(const char *name, const distance_bytes &bytes) -> void
{
    UT_PRINT((std::string(name) + ": bytes a second to the own domain "
              + std::to_string(std::lround(bytes.ownDomain)) + ", the own region "
              + std::to_string(std::lround(bytes.ownRegion)) + ", other regions "
              + std::to_string(std::lround(bytes.otherRegion)))
                     .c_str());
}

} // namespace

// Guards against control traffic that crosses regions again and again.
TEST(directory, whatCrossesRegionsCrossesOnce)
{
    traffic_fleet fleet;
    const auto idle = fleet.measure(0);
    print("unchanged usage", idle);
    const auto changing = fleet.measure(20);
    print("changing usage", changing);
    // Half of what crossed when each hub asked each other region.
    CHECK(idle.otherRegion <= IDLE_CROSSING_WITHOUT_GATEWAYS / 2.0);
    CHECK(changing.otherRegion <= CHANGING_CROSSING_WITHOUT_GATEWAYS / 2.0);
    fleet.run(milliseconds(3000));
    fleet.checkKnowsAll();
}

// Guards against an upstream that becomes known, or is known to leave, later than with an exchange
// between each hub and the other regions.
TEST(directory, changesReachAllNodesWithinTheIntervals)
{
    traffic_fleet fleet;
    for (int probe = 0; probe < 12; ++probe) {
        fleet.run(milliseconds(37 * probe));
        CHECK_COMPARE(fleet.timeToReachAll(TRAFFIC_HUBS + 5 * probe).count(), <=,
                      MAX_SPREAD_TIME.count());
    }
}

// Guards against hubs that learn of evacuations later because they leave other regions to a
// gateway: an exchange in the region of the hub that knows them and one with that region are
// enough.
TEST(directory, evacuationsReachAllHubsThroughGateways)
{
    traffic_fleet fleet;
    for (int hub = 0; hub < TRAFFIC_HUBS; ++hub) {
        fleet.run(milliseconds(37 * hub));
        const base::evacuation_list list{static_cast<std::uint64_t>(hub) + 1, {}};
        fleet.commitEvacuations(hub, list);
        fleet.run(2 * fleet::hub::SYNC_INTERVAL + milliseconds(50));
        for (int i = 0; i < TRAFFIC_HUBS; ++i) {
            CHECK(fleet.node(i).evacuations == list);
        }
    }
}

// Guards against a region that learns nothing while its gateway is dead, paused, or cut off from
// the other hubs of its region, from the other region, or from both, in one direction.
TEST(directory, failedGatewayIsReplaced)
{
    enum class fault { Crash, Pause, CutFromPeers, CutToRegion, CutFromRegion };
    for (const auto kind : {fault::Crash, fault::Pause, fault::CutFromPeers, fault::CutToRegion,
                            fault::CutFromRegion}) {
        traffic_fleet fleet;
        const int gateway = fleet.gatewayOf(0, 1);
        CHECK(gateway >= 0);
        const auto id = nodeIdOf(gateway);
        const int from = fleet.nodeOf(1, gateway);
        if (kind == fault::Crash) {
            fleet.network().crash(id);
        } else if (kind == fault::Pause) {
            fleet.network().pause(id);
        }
        const int cutRegion = kind == fault::CutFromPeers ? 0 : 1;
        for (int hub = cutRegion; hub < TRAFFIC_HUBS; hub += TRAFFIC_REGIONS) {
            if (kind == fault::CutFromPeers || kind == fault::CutToRegion) {
                fleet.network().cut(id, nodeIdOf(hub));
            } else if (kind == fault::CutFromRegion) {
                fleet.network().cut(nodeIdOf(hub), id);
            }
        }
        const auto name = "fault " + std::to_string(static_cast<int>(kind));
        const auto time = fleet.timeToReachAll(from, fleet.nodesOf(gateway));
        CHECK_TEXT(time <= MAX_FAILOVER_TIME, (name + ": " + std::to_string(time.count())).c_str());
        // Also while the fault lasts.
        fleet.run(milliseconds(4000));
        const auto later = fleet.timeToReachAll(from, fleet.nodesOf(gateway));
        CHECK_TEXT(later <= MAX_SPREAD_TIME, (name + ": " + std::to_string(later.count())).c_str());
        fleet.network().healAll();
        fleet.network().resume(id);
        if (kind == fault::Crash) {
            fleet.startNode(gateway, true, 2);
        }
        fleet.run(milliseconds(4000));
        CHECK_EQUAL_TEXT(gateway, fleet.gatewayOf(0, 1), name.c_str());
        fleet.checkKnowsAll();
    }
}

// Guards against a region that stays apart after it was cut off, or whose hubs all restarted.
TEST(directory, regionReturnsAfterACutAndAfterARestartOfItsHubs)
{
    traffic_fleet fleet;
    fleet.cutRegion(2);
    fleet.run(milliseconds(25'000));
    fleet.network().healAll();
    CHECK_COMPARE(fleet.timeToReachAll(TRAFFIC_HUBS).count(), <=, MAX_FAILOVER_TIME.count());
    fleet.run(milliseconds(3000));
    fleet.checkKnowsAll();
    for (int hub = 1; hub < TRAFFIC_HUBS; hub += TRAFFIC_REGIONS) {
        fleet.startNode(hub, true, 2);
    }
    fleet.run(milliseconds(5000));
    CHECK_COMPARE(fleet.timeToReachAll(TRAFFIC_HUBS).count(), <=, MAX_SPREAD_TIME.count());
    fleet.checkKnowsAll();
    CHECK(fleet.gatewayOf(1, 0) >= 0);
}

// Guards against hubs of two versions that don't understand each other, and against what a hub
// loses that goes back to the former version.
TEST(directory, hubsOfTheFormerVersionTakePart)
{
    traffic_fleet fleet;
    for (const int firstFormer : {0, 4, 11}) {
        for (int hub = 0; hub < TRAFFIC_HUBS; ++hub) {
            const bool isFormer = hub >= firstFormer;
            if (std::exchange(fleet.node(hub).isFormer, isFormer) != isFormer) {
                fleet.startNode(hub, true, 2 + static_cast<std::uint64_t>(firstFormer));
            }
        }
        fleet.run(milliseconds(6000));
        for (int probe = 0; probe < 6; ++probe) {
            CHECK_COMPARE(fleet.timeToReachAll(TRAFFIC_HUBS + 7 * probe).count(), <=,
                          MAX_SPREAD_TIME.count());
        }
        fleet.checkKnowsAll();
    }
}

// Guards against hubs that count as dead 20 s after they stopped reporting to another hub, which
// learned of that by another message than it waited for; and against nodes that don't count as
// dead because their hub restarted.
TEST(directory, hubsThatMoveStayAlive)
{
    traffic_fleet fleet;
    for (int second = 0; second < 60; ++second) {
        for (int hub = 0; hub < TRAFFIC_HUBS; ++hub) {
            fleet.node(hub).isFresh = second > 20 || hub % 4 == second % 4;
        }
        fleet.run(milliseconds(1000));
        for (int hub = 0; hub < TRAFFIC_HUBS; ++hub) {
            const auto *record =
                    fleet.node(TRAFFIC_NODES - 1).reporter->records().find(nodeIdOf(hub));
            CHECK(record->isAliveHub());
        }
    }
    const auto lostNode = nodeIdOf(TRAFFIC_NODES - 2);
    const auto hub = fleet.node(TRAFFIC_NODES - 2).currentHub;
    fleet.network().crash(lostNode);
    for (int i = 0; i < TRAFFIC_HUBS; ++i) {
        if (nodeIdOf(i) == hub) {
            fleet.startNode(i, true, 2);
        }
    }
    fleet.run(fleet::hub::NODE_TIMEOUT + milliseconds(5000));
    CHECK(fleet.node(TRAFFIC_HUBS).reporter->records().find(lostNode)->entry.state
          == membership::node_state::Dead);
}

// Guards against a node that loses the directory or its configuration version while all hubs are
// down.
TEST(directory, keepsDirectoryAndVersionWhileAllHubsAreDown)
{
    directory_fleet fleet(8, 3);
    fleet.run(milliseconds(2000));
    fleet.node(5).reporter->setUpstreams({makeUpstream("u5")});
    fleet.publish(0, 3);
    fleet.publish(1, 3);
    fleet.publish(2, 3);
    fleet.run(milliseconds(2000));
    for (int i = 0; i < 3; ++i) {
        fleet.network().crash(nodeIdOf(i));
    }
    fleet.run(milliseconds(30'000));
    CHECK_EQUAL(1, fleet.upstreamCountSeenBy(7));
    CHECK_EQUAL(3, fleet.node(7).version);
}

namespace {

//! Control traffic that a node of the design size may cause.
constexpr double MAX_CONTROL_BYTES_PER_S = 4000.0;

} // namespace

// Guards against a storm of whole directories: nodes that hear no hub probe one after the other,
// and hubs that hear the probes must not answer each with the directory.
TEST(directory, probesOfPartitionedNodesStaySmall)
{
    constexpr int HUB_COUNT = 12;
    constexpr int NODE_COUNT = 200;
    directory_fleet fleet(NODE_COUNT, HUB_COUNT);
    fleet.run(milliseconds(6000));
    for (int i = HUB_COUNT; i < NODE_COUNT; i += 3) {
        for (int hub = 0; hub < HUB_COUNT; ++hub) {
            fleet.network().cut(nodeIdOf(hub), nodeIdOf(i));
        }
    }
    CHECK(fleet.bytesPerSecondAndNode(milliseconds(8000)) <= MAX_CONTROL_BYTES_PER_S);
    fleet.network().healAll();
    CHECK(fleet.bytesPerSecondAndNode(milliseconds(5000)) <= MAX_CONTROL_BYTES_PER_S);
    for (int i = HUB_COUNT; i < NODE_COUNT; ++i) {
        CHECK(fleet.isHub(fleet.node(i).currentHub));
    }
}

// Guards against whole directories that are sent again and again while nodes move between hubs that
// are stale in turn, as around repeated elections.
TEST(directory, movingBetweenHubsTransfersOnlyDifferences)
{
    constexpr int HUB_COUNT = 12;
    directory_fleet fleet(200, HUB_COUNT);
    fleet.run(milliseconds(6000));
    for (int election = 0; election < 6; ++election) {
        for (int hub = 0; hub < HUB_COUNT; ++hub) {
            fleet.node(hub).isFresh = hub % 3 == election % 3;
        }
        const auto bytes = fleet.bytesPerSecondAndNode(milliseconds(2000));
        CHECK_TEXT(bytes <= MAX_CONTROL_BYTES_PER_S, std::to_string(bytes).c_str());
    }
}

// Guards against nodes that fetch the growing directory from contacts in another region when all
// nodes start: each node must learn the hubs of its region there, and the rest from these.
TEST(directory, startCostsLittleTrafficBetweenRegions)
{
    constexpr int HUB_COUNT = 12;
    constexpr int NODE_COUNT = 200;
    directory_fleet fleet(NODE_COUNT, HUB_COUNT, {0, 2, 4});
    for (int step = 0; step < 8; ++step) {
        for (int i = HUB_COUNT; i < NODE_COUNT; ++i) {
            if (i % 8 == step) {
                fleet.node(i).reporter->setUpstreams({makeUpstream("u" + std::to_string(i))});
            }
        }
        fleet.run(milliseconds(400));
    }
    fleet.run(milliseconds(2000));
    for (int i = 0; i < NODE_COUNT; ++i) {
        CHECK_EQUAL(NODE_COUNT - HUB_COUNT, fleet.upstreamCountSeenBy(i));
    }
    const auto message = std::to_string(fleet.interRegionBytes());
    // Each hub gets each record twice, with and without its upstream; each node gets the hubs once.
    constexpr std::size_t RECORD_BYTES = 110;
    constexpr std::size_t MAX_BYTES =
            (2 * HUB_COUNT * NODE_COUNT + NODE_COUNT * HUB_COUNT / 2) * RECORD_BYTES;
    CHECK_TEXT(fleet.interRegionBytes() <= MAX_BYTES, message.c_str());
}

// Guards against a node that gets no directory because the hubs of its region are known but can't
// be reached: a hub of the other region then serves it in full.
TEST(directory, distantHubServesNodesWithoutAReachableNearHub)
{
    constexpr int HUB_COUNT = 8;
    directory_fleet fleet(24, HUB_COUNT);
    for (int hub = 1; hub < HUB_COUNT; hub += 2) {
        for (int i = HUB_COUNT + 1; i < 24; i += 2) {
            fleet.network().cut(nodeIdOf(hub), nodeIdOf(i));
        }
    }
    fleet.run(milliseconds(8000));
    for (int i = HUB_COUNT; i < 24; ++i) {
        fleet.node(i).reporter->setUpstreams({makeUpstream("u" + std::to_string(i))});
    }
    fleet.publish(0, 3);
    fleet.publish(2, 3);
    fleet.publish(4, 3);
    fleet.publish(6, 3);
    fleet.run(milliseconds(5000));
    for (int i = HUB_COUNT; i < 24; ++i) {
        CHECK_EQUAL(24 - HUB_COUNT, fleet.upstreamCountSeenBy(i));
        CHECK_EQUAL(3, fleet.node(i).version);
    }
}

// Guards against records of hubs that never stop changing: a hub has one record, also while it
// reports to other hubs in turn, so its generation stays that of its start.
TEST(directory, recordsOfHubsSettleWhileHubsMove)
{
    constexpr int HUB_COUNT = 8;
    directory_fleet fleet(20, HUB_COUNT);
    for (int second = 0; second < 12; ++second) {
        for (int hub = 0; hub < HUB_COUNT; ++hub) {
            fleet.node(hub).isFresh = hub % 3 == second % 3;
        }
        fleet.run(milliseconds(1000));
    }
    for (int hub = 0; hub < HUB_COUNT; ++hub) {
        CHECK_EQUAL(1, fleet.node(19).reporter->records().find(nodeIdOf(hub))->generation);
    }
}

// Guards against a change that a node misses because it compares directories: a record that changed
// while the node reported elsewhere arrives after its return.
TEST(directory, changesArriveAfterAMoveBetweenHubs)
{
    directory_fleet fleet(24, 6);
    fleet.network().setFaults({});
    fleet.run(milliseconds(4000));
    const auto firstHub = fleet.node(8).currentHub;
    fleet.network().crash(firstHub);
    fleet.run(milliseconds(3000));
    CHECK(fleet.node(8).currentHub != firstHub);
    for (int round = 0; round < 5; ++round) {
        const auto name = "u" + std::to_string(round);
        fleet.node(20 + round % 3).reporter->setUpstreams({makeUpstream(name)});
        fleet.run(milliseconds(2500));
        bool isKnown = false;
        for (const auto &place : fleet.node(8).view->upstreamsOf(base::service_id("s"))) {
            isKnown = isKnown || place.upstream->id == base::upstream_id(name);
        }
        CHECK(isKnown);
        for (int hub = 0; hub < 6; ++hub) {
            if (nodeIdOf(hub) != firstHub) {
                fleet.node(hub).isFresh = hub % 2 == round % 2;
            }
        }
    }
}

// Guards against a limit that is exceeded because all nodes learn of a jump in usage only with
// their next reports: near the limit, usage reaches all nodes within 400 ms.
TEST(directory, usageNearALimitReachesAllNodesAtOnce)
{
    constexpr int HUB_COUNT = 8;
    constexpr int NODE_COUNT = 40;
    directory_fleet fleet(NODE_COUNT, HUB_COUNT);
    fleet.network().setFaults({});
    const base::organisation_id organisation("o");
    for (int i = HUB_COUNT; i < NODE_COUNT; ++i) {
        fleet.node(i).usage[organisation] = {1.0, 1.0};
    }
    fleet.run(milliseconds(6000));
    for (int jump = 0; jump < 10; ++jump) {
        for (int i = HUB_COUNT; i < NODE_COUNT; ++i) {
            fleet.node(i).usage[organisation].admitted += 10.0;
            fleet.node(i).changedUsage = fleet.node(i).usage;
        }
        fleet.run(milliseconds(500 + 17 * jump));
        const double expected = (1.0 + 10.0 * (jump + 1)) * (NODE_COUNT - HUB_COUNT);
        for (int i = HUB_COUNT; i < NODE_COUNT; ++i) {
            DOUBLES_EQUAL(expected, fleet.node(i).totals[organisation].admitted, 0.1);
        }
    }
}

// Guards against evidence of crashing requests that is lost with a message, a hub or a restart: all
// entry nodes have it within three seconds, also while deputies replace the hubs, and a restarted
// node gets it again.
TEST(directory, crashRecordsReachAllEntryNodes)
{
    directory_fleet fleet(24, 8);
    const auto countInformed = [&fleet](std::uint64_t fingerprint) {
        int count = 0;
        for (int i = 8; i < 24; ++i) {
            count += fleet.node(i).crashes[fingerprint].crashes == 2 ? 1 : 0;
        }
        return count;
    };
    fleet.run(milliseconds(6000));
    fleet.network().setFaults({0.1, 0.1});
    fleet.network().crash(fleet.node(12).currentHub);
    fleet.node(12).reporter->setCrashRecords({{77, {0, 2}}});
    fleet.run(milliseconds(3000));
    CHECK_EQUAL(15, countInformed(77));
    for (int i = 0; i < 8; ++i) {
        fleet.network().crash(nodeIdOf(i));
    }
    fleet.run(milliseconds(5000));
    fleet.node(13).reporter->setCrashRecords({{78, {0, 2}}});
    fleet.run(milliseconds(3000));
    CHECK_EQUAL(15, countInformed(78));
    for (int i = 0; i < 8; ++i) {
        fleet.startNode(i, true, 2);
    }
    fleet.node(20).crashes.clear();
    fleet.startNode(20, false, 2);
    fleet.run(milliseconds(5000));
    CHECK_EQUAL(2, fleet.node(20).crashes[77].crashes);
    CHECK_EQUAL(2, fleet.node(20).crashes[78].crashes);
}

// Guards against evidence of crashing requests that costs a connection between nodes: the record of
// a node with as many as it publishes fits a datagram.
TEST(directory, recordWithCrashesFitsADatagram)
{
    constexpr std::size_t MAX_DATAGRAM_BYTES = 1200;
    constexpr std::uint64_t PUBLISHED_COUNT = 16;
    auto record = makeRecord(1, false);
    record.entry.upstreams = {makeUpstream("10.0.0.2:7000/i-76e77ecba1")};
    for (std::uint64_t i = 0; i < PUBLISHED_COUNT; ++i) {
        record.crashRecords.push_back({~i, {3, 3}});
    }
    const auto bytes = fleet::encodeMessage(fleet::report{record, {}, 1, {}, false});
    CHECK(bytes.size() <= MAX_DATAGRAM_BYTES);
    const auto decoded = fleet::decodeMessage(bytes);
    CHECK(decoded && std::get<fleet::report>(*decoded).sender.crashRecords == record.crashRecords);
    record.crashRecords.resize(fleet::node_record::MAX_CRASH_RECORDS + 1, {5, {0, 1}});
    const auto cut =
            fleet::decodeMessage(fleet::encodeMessage(fleet::report{record, {}, 1, {}, false}));
    CHECK_EQUAL(fleet::node_record::MAX_CRASH_RECORDS,
                std::get<fleet::report>(*cut).sender.crashRecords.size());
}

// Guards against one odd record that ends the process, hides the other records of its message, or
// is used: an id that is no endpoint, or a state or number of slots out of range.
TEST(directory, ignoresOddRecordsOnly)
{
    auto odd = makeRecord(1, false);
    fleet::report_answer answer;
    answer.records = {makeRecord(0, false)};
    for (const char *id : {"", "nowhere", "10.0.0.1:0", "10.0.0.1:99999"}) {
        odd.entry.id = base::node_id(id);
        answer.records.push_back(odd);
    }
    odd = makeRecord(1, false);
    odd.entry.state = static_cast<membership::node_state>(77);
    answer.records.push_back(odd);
    odd = makeRecord(1, false);
    odd.entry.upstreams = {makeUpstream("u")};
    odd.entry.upstreams.front().state = static_cast<membership::upstream_state>(-3);
    answer.records.push_back(odd);
    odd.entry.upstreams = {makeUpstream("u")};
    odd.entry.upstreams.front().slots = 0xffffffff;
    answer.records.push_back(odd);
    answer.records.push_back(makeRecord(2, false));
    const auto decoded = fleet::decodeMessage(fleet::encodeMessage(answer));
    CHECK(decoded.has_value());
    const auto &records = std::get<fleet::report_answer>(*decoded).records;
    CHECK_EQUAL(2, records.size());
    CHECK(records.front().entry.id == nodeIdOf(0));
    CHECK(records.back().entry.id == nodeIdOf(2));
}

namespace {

auto peakMemoryKilobytes() -> long
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

} // namespace

// Guards against bytes that decode into more memory than they have: a list that announces far more
// elements than its message holds.
TEST(directory, refusesMessagesWithImpossibleSizes)
{
    auto bytes = fleet::encodeMessage(fleet::sync_answer{{1, 1}, {makeRecord(0, false)}, {}, 0});
    // The header of the list of records: one element of type struct.
    const auto position = bytes.find('\x1c');
    CHECK(position != std::string::npos);
    // Five million records.
    bytes.replace(position, 1, std::string("\xfc\xc0\x96\xb1\x02", 5));
    const auto memoryBefore = peakMemoryKilobytes();
    CHECK(!fleet::decodeMessage(bytes));
    CHECK(peakMemoryKilobytes() - memoryBefore < 65'536);
    CHECK(!fleet::decodeMessage(std::string(100'000, '\x1c')));
    base::random_source random(5);
    for (int i = 0; i < 20'000; ++i) {
        auto mutated =
                fleet::encodeMessage(fleet::sync_answer{{1, 1}, {makeRecord(0, false)}, {}, 0});
        mutated.at(random.below(mutated.size())) = static_cast<char>(random.below(256));
        fleet::decodeMessage(mutated);
    }
}

// Guards against a process that starts and isn't told which upstreams of its predecessor left.
TEST(directory, tellsARestartedNodeWhichUpstreamsLeft)
{
    directory_fleet fleet(8, 3);
    fleet.run(milliseconds(3000));
    fleet.node(6).reporter->setUpstreams({makeLeftUpstream("left", 7), makeUpstream("ready")});
    fleet.run(milliseconds(1000));
    fleet.startNode(6, false, 2);
    fleet.run(milliseconds(1500));
    CHECK(fleet.node(6).hasCompleteDirectory);
    CHECK(fleet.hasBeenToldOfDeparture(6, "left", 7));
    CHECK(!fleet.hasBeenToldOfDeparture(6, "ready", 0));
}

// Guards against the same after the loss of all hubs: the other nodes tell them what they know.
TEST(directory, tellsARestartedNodeWhichUpstreamsLeftAfterARestartOfAllHubs)
{
    directory_fleet fleet(8, 3);
    fleet.run(milliseconds(3000));
    fleet.node(6).reporter->setUpstreams({makeLeftUpstream("left", 7)});
    fleet.run(milliseconds(1500));
    fleet.network().crash(nodeIdOf(6));
    for (int i = 0; i < 3; ++i) {
        fleet.startNode(i, true, 2);
    }
    fleet.startNode(6, false, 2);
    fleet.run(milliseconds(6000));
    CHECK(fleet.node(6).hasCompleteDirectory);
    CHECK(fleet.hasBeenToldOfDeparture(6, "left", 7));
}

// Guards against a hub that has just started and answers as if it knew of no departures.
TEST(directory, hubThatHasJustStartedDoesNotClaimACompleteDirectory)
{
    directory_fleet fleet(4, 1, {0});
    fleet.run(fleet::hub::DIRECTORY_COLLECTION_TIME - milliseconds(100));
    for (int i = 1; i < 4; ++i) {
        CHECK(!fleet.node(i).hasCompleteDirectory);
    }
    fleet.run(milliseconds(1000));
    for (int i = 1; i < 4; ++i) {
        CHECK(fleet.node(i).hasCompleteDirectory);
    }
}

// Guards against a stored departure that is forgotten when all processes of the fleet end at once
// and one hub loses its disk.
TEST(directory, keepsStoredDeparturesThroughRestartsOfTheWholeFleet)
{
    constexpr int NODE = 7;
    constexpr int HUBS = 3;
    constexpr int NODES = 9;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        base::random_source random(seed);
        directory_fleet fleet(NODES, HUBS);
        fleet.network().setFaults({0.05, 0.05});
        fleet.run(milliseconds(4000));
        std::vector<membership::upstream_entry> stored;
        for (std::uint64_t generation = 2; generation < 8; ++generation) {
            const auto added = makeLeftUpstream("u" + std::to_string(generation), generation);
            auto upstreams = stored;
            upstreams.push_back(added);
            if (fleet.storeUpstreams(NODE, upstreams)) {
                stored.push_back(added);
            }
            const auto wiped = static_cast<int>(random.below(HUBS));
            fleet.node(wiped).disk.clear();
            for (int i = 0; i < NODES; ++i) {
                fleet.network().crash(nodeIdOf(i));
            }
            fleet.run(milliseconds(random.below(200)));
            for (int i = 0; i < NODES; ++i) {
                fleet.startNode(i, i < HUBS, generation);
            }
            fleet.run(milliseconds(3000));
            checkKnowsDepartures(fleet, NODE, stored, seed);
        }
        CHECK(stored.size() >= 5);
    }
}

// Guards against a departure that counts as stored and is forgotten: one node restarts again and
// again, each time together with a hub, with messages lost and hubs cut off.
TEST(directory, keepsStoredDeparturesThroughRestarts)
{
    constexpr int NODE = 7;
    constexpr int HUBS = 3;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        base::random_source random(seed);
        directory_fleet fleet(9, HUBS);
        fleet.network().setFaults({0.05, 0.05});
        fleet.run(milliseconds(4000));
        std::vector<membership::upstream_entry> stored;
        for (std::uint64_t generation = 2; generation < 12; ++generation) {
            const auto added = makeLeftUpstream("u" + std::to_string(generation), generation);
            auto upstreams = stored;
            upstreams.push_back(added);
            if (fleet.storeUpstreams(NODE, upstreams)) {
                stored.push_back(added);
            }
            const auto hub = static_cast<int>(random.below(HUBS));
            fleet.network().crash(nodeIdOf(hub));
            fleet.network().crash(nodeIdOf(NODE));
            fleet.run(milliseconds(random.below(600)));
            fleet.startNode(hub, true, generation);
            fleet.startNode(NODE, false, generation);
            fleet.run(milliseconds(3000));
            checkKnowsDepartures(fleet, NODE, stored, seed);
        }
        CHECK(stored.size() >= 8);
    }
}

// Guards against a list of evacuations that reaches only the nodes of the hub that committed it, or
// that arrives later than with the next report.
TEST(directory, pushesEvacuations)
{
    directory_fleet fleet(12, 4);
    fleet.run(milliseconds(3000));
    const base::evacuation_list list{3, {{base::failure_domain_id("d1"), 5}}};
    for (int hub = 0; hub < 4; ++hub) {
        fleet.commitEvacuations(hub, list);
    }
    fleet.run(milliseconds(10));
    int pushed = 0;
    for (int i = 0; i < 12; ++i) {
        pushed += fleet.node(i).evacuations == list ? 1 : 0;
    }
    CHECK(pushed >= 10);
    fleet.run(milliseconds(2000));
    for (int i = 0; i < 12; ++i) {
        CHECK(fleet.node(i).evacuations == list);
    }
}

// Guards against nodes that keep an older list, or return to one, while hubs restart without
// knowledge, nodes are cut off and only one hub learns what was committed. Once the faults are
// over, all nodes know the newest list that a running node knew.
TEST(directory, spreadsTheNewestEvacuationsUnderRandomFaults)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        directory_fleet fleet(12, 4);
        base::random_source random(seed * 104'729);
        std::uint64_t revision = 0;
        std::uint64_t generation = 1;
        for (int step = 0; step < 20; ++step) {
            const int hub = static_cast<int>(random.below(4));
            const int node = static_cast<int>(random.below(12));
            switch (random.below(4)) {
            case 0:
                fleet.commitEvacuations(hub,
                                        {++revision, {{base::failure_domain_id("d"), revision}}});
                break;
            case 1:
                fleet.startNode(node, node < 4, ++generation);
                break;
            case 2:
                fleet.setCutFromHubs(node, true);
                break;
            default:
                fleet.setCutFromHubs(node, false);
                break;
            }
            fleet.run(milliseconds(random.below(1500)));
        }
        fleet.setCutFromHubs(0, false);
        std::uint64_t newest = 0;
        for (int i = 0; i < 12; ++i) {
            newest = std::max(newest, fleet.node(i).evacuations.revision);
        }
        fleet.run(milliseconds(15'000));
        for (int i = 0; i < 12; ++i) {
            const auto place = "seed " + std::to_string(seed) + ", node " + std::to_string(i);
            CHECK_TEXT(fleet.node(i).evacuations.revision == newest, place.c_str());
        }
    }
}

// Guards against nodes that don't learn of evacuations while no hub can be reached: deputies pass
// them on.
TEST(directory, deputiesPassOnEvacuations)
{
    directory_fleet fleet(12, 3);
    fleet.run(milliseconds(3000));
    for (int hub = 0; hub < 3; ++hub) {
        fleet.network().crash(nodeIdOf(hub));
    }
    fleet.run(milliseconds(1000));
    fleet.node(5).reporter->learnEvacuations({7, {}});
    fleet.run(milliseconds(12'000));
    for (int i = 3; i < 12; ++i) {
        CHECK_EQUAL(7U, fleet.node(i).evacuations.revision);
    }
}

// Guards against a restarted node that misses most of the directory for good: the answer to a
// report of its former process comes late, with only what that process lacked, and the new process
// takes over the position that the former one had reached.
TEST(directory, restartedNodeGetsTheWholeDirectoryAfterALateAnswerToItsFormerProcess)
{
    directory_fleet fleet(8, 1, {0});
    fleet.run(milliseconds(2500));
    for (int i = 1; i < 8; ++i) {
        fleet.node(i).reporter->setUpstreams({makeUpstream("u" + std::to_string(i))});
    }
    fleet.run(milliseconds(3000));
    const auto node = nodeIdOf(6);
    const auto hub = nodeIdOf(0);
    const auto now = fleet.network().now();
    fleet::report formerReport;
    formerReport.sender = fleet.node(6).reporter->self();
    formerReport.cursor = fleet.node(0).hub->records().cursor();
    formerReport.sentAt = now;
    const auto lateAnswer = fleet.node(0).hub->receive(node, formerReport, now);
    fleet.run(milliseconds(100));
    fleet.network().cut(hub, node);
    fleet.startNode(6, false, 2);
    fleet.run(milliseconds(100));
    fleet.network().healAll();
    fleet.network().send(hub, lateAnswer);
    fleet.run(milliseconds(10));
    const bool hadCompleteDirectory = fleet.node(6).hasCompleteDirectory;
    fleet.run(milliseconds(3000));
    CHECK_EQUAL(6, fleet.upstreamCountSeenBy(6));
    CHECK(fleet.node(6).hasCompleteDirectory);
    CHECK(!hadCompleteDirectory);
}

// Guards against the same for a restarted hub and the late answer of another hub.
TEST(directory, restartedHubGetsTheWholeDirectoryAfterALateAnswerToItsFormerProcess)
{
    directory_fleet fleet(12, 4);
    fleet.run(milliseconds(2500));
    for (int i = 4; i < 12; ++i) {
        fleet.node(i).reporter->setUpstreams({makeUpstream("u" + std::to_string(i))});
    }
    fleet.run(milliseconds(4000));
    // Hubs 0 and 2 are in one region.
    const auto restarted = nodeIdOf(2);
    auto &other = *fleet.node(0).hub;
    int changedNode = 4;
    while (fleet.node(changedNode).currentHub != nodeIdOf(0)) {
        ++changedNode;
    }
    const auto formerCursor = other.records().cursor();
    fleet.node(changedNode).reporter->setUpstreams({makeUpstream("changed")});
    fleet.run(milliseconds(700));
    fleet::sync_request formerRequest;
    formerRequest.sender = fleet.node(2).reporter->self();
    formerRequest.cursor = formerCursor;
    const auto lateAnswer = other.receive(restarted, formerRequest, fleet.network().now());
    CHECK_EQUAL(1, lateAnswer.size());
    fleet.network().cut(nodeIdOf(0), restarted);
    fleet.startNode(2, true, 2);
    fleet.run(milliseconds(100));
    fleet.network().healAll();
    fleet.network().send(nodeIdOf(0), lateAnswer);
    fleet.run(milliseconds(4000));
    const auto &records = fleet.node(2).hub->records();
    for (int i = 4; i < 12; ++i) {
        const auto *record = records.find(nodeIdOf(i));
        CHECK(record != nullptr);
        CHECK(!record->entry.upstreams.empty());
    }
}
