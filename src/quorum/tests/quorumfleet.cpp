#include "quorum/tests/quorumfleet.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

namespace hawthornpick::testing {

namespace {

//! Time for which a node tries to answer an operator's call.
constexpr base::milliseconds CALL_TIMEOUT{2500};

auto appendText(base::config_version /*version*/, const std::string &current,
                const quorum::config_change &change) -> tl::expected<std::string, std::string>
{
    if (change.body == "invalid") {
        return tl::unexpected(std::string("invalid"));
    }
    return current + change.body;
}

} // namespace

quorum_fleet::quorum_fleet(std::uint64_t seed, int nodeCount, int initialMemberCount)
    : m_network(seed, {0.01, 0.01, std::chrono::microseconds(200), std::chrono::milliseconds(25)}),
      m_callRandom(seed), m_nodeCount(nodeCount)
{
    for (int i = 0; i < initialMemberCount; ++i) {
        m_initialMembers.push_back(nodeName(i));
    }
    for (int i = 0; i < nodeCount; ++i) {
        attach(i, true);
    }
}

auto quorum_fleet::nodeName(int index) -> base::node_id
{
    return base::node_id("n" + std::to_string(index));
}

auto quorum_fleet::attach(int index, bool isFirstStart) -> void
{
    const auto node = nodeName(index);
    quorum::replica_options options{
            node, isFirstStart ? m_initialMembers : std::vector<base::node_id>{}, m_initialMembers};
    m_replicas[node] = std::make_unique<quorum::replica>(
            options, m_disks[node], appendText, base::random_source(m_network.random().bits()),
            m_network.now());
    m_forwarders[node] = std::make_unique<quorum::request_forwarder>(
            node, base::random_source(m_callRandom.bits()));
    m_lastSeenVersions.erase(node);
    m_lastSeenRevisions.erase(node);
    const auto receive = [this, node](const base::node_id &from, base::channel /*kind*/,
                                      std::string_view payload, base::time_point now) {
        auto &replica = *m_replicas.at(node);
        if (auto content = quorum::decodeMessage(payload)) {
            if (auto *request = std::get_if<quorum::operator_request>(&*content)) {
                m_forwarders.at(node)->receive(from, std::move(*request), replica, now);
            } else if (auto *answer = std::get_if<quorum::operator_answer>(&*content)) {
                m_forwarders.at(node)->receive(from, std::move(*answer), now);
            } else {
                replica.receive(from, *content, now);
            }
        }
        deliverResults(node);
        return testsupport::virtual_network::messages{};
    };
    const auto tick = [this, node](base::time_point now) {
        m_replicas.at(node)->tick(now);
        m_network.send(node, m_forwarders.at(node)->advance(*m_replicas.at(node), now));
        deliverResults(node);
        return testsupport::virtual_network::messages{};
    };
    m_network.attach(node, receive, tick);
}

auto quorum_fleet::deliverResults(const base::node_id &node) -> void
{
    auto &replica = *m_replicas.at(node);
    m_network.send(node, replica.takeMessages());
    if (auto job = replica.takeStorageJob()) {
        const auto found = m_nodeWriteLatencies.find(node);
        const auto latency = found == m_nodeWriteLatencies.end() ? m_writeLatency : found->second;
        m_pendingWrites[node] = {std::move(*job), m_network.now() + latency};
    }
    for (const auto &completed : replica.takeCompletedRequests()) {
        const auto key = std::pair(node, completed.requestId);
        if (const auto *accepted = std::get_if<quorum::change_accepted>(&completed.answer)) {
            m_highestAcceptedVersion = std::max(m_highestAcceptedVersion, accepted->version);
            ++m_acceptedCount;
        }
        if (const auto *document = std::get_if<quorum::current_document>(&completed.answer)) {
            const auto pending = m_pendingReads.find(key);
            CHECK_TEXT(pending == m_pendingReads.end()
                               || document->version >= pending->second.minimumVersion,
                       "a confirmed read returned a version older than an accepted change");
        }
        m_pendingReads.erase(key);
        onOrderAnswer(node, completed);
        m_network.send(node, m_forwarders.at(node)->deliver(completed, m_network.now()));
    }
}

// The read that an order is based on must contain each order that was accepted before its start.
auto quorum_fleet::onOrderAnswer(const base::node_id &node,
                                 const quorum::completed_request &completed) -> void
{
    const auto key = std::pair(node, completed.requestId);
    const auto started = m_startedOrders.find(key);
    const auto *read = std::get_if<quorum::current_evacuations>(&completed.answer);
    if (started != m_startedOrders.end() && read != nullptr) {
        auto order = started->second;
        CHECK_TEXT(read->list.revision >= order.baseRevision,
                   "a confirmed read of the evacuations lacked an accepted order");
        order.baseRevision = read->list.revision;
        order.id = m_orders.size() + 1;
        m_orders.push_back(order);
        m_unsentOrders.emplace_back(node, m_orders.size() - 1);
    }
    const auto request = m_orderRequests.find(key);
    if (request != m_orderRequests.end()) {
        onOrderResult(request->second, completed.answer);
    }
    m_startedOrders.erase(key);
    m_orderRequests.erase(key);
}

auto quorum_fleet::onOrderResult(std::size_t order, const quorum::group_answer &answer) -> void
{
    if (std::holds_alternative<quorum::order_accepted>(answer)) {
        m_acceptedOrders.insert(order);
        m_highestAcceptedRevision =
                std::max(m_highestAcceptedRevision, m_orders.at(order).baseRevision + 1);
    }
    if (std::holds_alternative<quorum::order_outdated>(answer)) {
        CHECK_TEXT(!m_acceptedOrders.contains(order)
                           || m_orderByRevision.size() > quorum::MAX_RETAINED_ORDERS,
                   "a repeat of an accepted order was not recognised");
    }
}

auto quorum_fleet::finishWrites() -> void
{
    for (auto write = m_pendingWrites.begin(); write != m_pendingWrites.end();) {
        if (write->second.completesAt > m_network.now()) {
            ++write;
            continue;
        }
        const auto node = write->first;
        const auto job = write->second.job;
        write = m_pendingWrites.erase(write);
        m_disks[node] = job.state;
        if (m_replicas.contains(node)) {
            m_replicas.at(node)->onStatePersisted(job.revision, m_network.now());
            deliverResults(node);
        }
        write = m_pendingWrites.begin();
    }
}

auto quorum_fleet::run(base::milliseconds duration) -> void
{
    m_network.run(duration, [this] {
        finishWrites();
        checkInvariants();
    });
}

// Checks that each version has the same content on all nodes at all times, and that the committed
// version of a running node never decreases.
auto quorum_fleet::checkInvariants() -> void
{
    for (const auto &[node, item] : m_replicas) {
        const auto &value = item->committed();
        if (!value) {
            continue;
        }
        auto &lastSeenVersion = m_lastSeenVersions[node];
        CHECK_TEXT(value->version >= lastSeenVersion,
                   "a node went back to an older committed version");
        lastSeenVersion = value->version;
        const auto known = m_contentByVersion.try_emplace(value->version, value->content).first;
        CHECK_TEXT(known->second == value->content, "one version has two different contents");
        checkOrders(node, *value);
        for (const auto &digest : m_refusedDigests) {
            CHECK_TEXT(!value->hasAcceptedChange(digest), "a refused change is in force");
        }
    }
}

// Checks that the committed orders form one sequence, the same on all nodes at all times, in which
// each order follows the revision that it is based on, and that the list is their result.
auto quorum_fleet::checkOrders(const base::node_id &node, const quorum::group_value &value) -> void
{
    const auto revision = value.evacuations.revision;
    auto &lastSeenRevision = m_lastSeenRevisions[node];
    CHECK_TEXT(revision >= lastSeenRevision, "a node went back to older evacuations");
    if (revision == lastSeenRevision) {
        return;
    }
    lastSeenRevision = revision;
    CHECK_TEXT(value.evacuationOrders.size()
                       == std::min<std::size_t>(revision, quorum::MAX_RETAINED_ORDERS),
               "an order is missing");
    auto itsRevision = revision - value.evacuationOrders.size();
    for (const auto id : value.evacuationOrders) {
        const auto known = m_orderByRevision.try_emplace(++itsRevision, id).first;
        CHECK_TEXT(known->second == id, "a committed order was replaced");
        CHECK_TEXT(m_orders.at(id - 1).baseRevision + 1 == itsRevision,
                   "an order was applied after another one than it is based on");
    }
    std::set<base::failure_domain_id> domains;
    for (std::uint64_t applied = 1; applied <= revision; ++applied) {
        const auto &order = m_orders.at(m_orderByRevision.at(applied) - 1);
        if (order.starts) {
            domains.insert(order.failureDomain);
        } else {
            domains.erase(order.failureDomain);
        }
    }
    CHECK_TEXT(domains.size() == value.evacuations.items.size()
                       && std::all_of(domains.begin(), domains.end(),
                                      [&](const auto &domain) {
                                          return value.evacuations.contains(domain);
                                      }),
               "the list of evacuations is not the result of the orders");
}

auto quorum_fleet::checkAcceptedOrders(const quorum::group_value &value) const -> void
{
    for (const auto index : m_acceptedOrders) {
        const auto revision = m_orders.at(index).baseRevision + 1;
        const auto committed = m_orderByRevision.find(revision);
        CHECK_TEXT(revision <= value.evacuations.revision && committed != m_orderByRevision.end()
                           && committed->second == m_orders.at(index).id,
                   "an accepted order was lost");
    }
}

auto quorum_fleet::start(int index) -> void
{
    attach(index, false);
}

auto quorum_fleet::crash(int index) -> void
{
    const auto node = nodeName(index);
    m_network.crash(node);
    m_replicas.erase(node);
    m_forwarders.erase(node);
    m_pendingWrites.erase(node);
    const auto isOfNode = [&](const auto &item) {
        return item.first.first == node;
    };
    std::erase_if(m_pendingReads, isOfNode);
    std::erase_if(m_startedOrders, isOfNode);
    std::erase_if(m_orderRequests, isOfNode);
}

auto quorum_fleet::crashAndWipeDisk(int index) -> void
{
    crash(index);
    m_disks.erase(nodeName(index));
}

auto quorum_fleet::submit(int index, const quorum::config_change &change) -> bool
{
    if (!isUp(index)) {
        return false;
    }
    const auto node = nodeName(index);
    m_submittedVersions[{node, m_replicas.at(node)->submit(change, m_network.now())}] =
            change.version;
    deliverResults(node);
    return true;
}

auto quorum_fleet::makeNewChange() -> quorum::config_change
{
    quorum::config_change change;
    change.version = ++m_lastSubmittedVersion;
    change.body = "v" + std::to_string(change.version) + " ";
    change.digest = "change-" + std::to_string(change.version);
    m_submittedChanges.push_back(change);
    return change;
}

auto quorum_fleet::submitNewChange(int index) -> bool
{
    return submit(index, makeNewChange());
}

auto quorum_fleet::resubmitChange(int index, std::size_t changeIndex) -> bool
{
    return submit(index, m_submittedChanges.at(changeIndex));
}

auto quorum_fleet::startRead(int index) -> bool
{
    if (!isUp(index)) {
        return false;
    }
    const auto node = nodeName(index);
    const auto requestId = m_replicas.at(node)->read(m_network.now());
    m_pendingReads[{node, requestId}] = {m_highestAcceptedVersion};
    deliverResults(node);
    return true;
}

auto quorum_fleet::startOrder(int index, const std::string &domain, bool starts) -> bool
{
    if (!isUp(index)) {
        return false;
    }
    const auto node = nodeName(index);
    quorum::evacuation_order order;
    order.baseRevision = m_highestAcceptedRevision;
    order.failureDomain = base::failure_domain_id(domain);
    order.starts = starts;
    m_startedOrders[{node, m_replicas.at(node)->readEvacuations(m_network.now())}] = order;
    deliverResults(node);
    return true;
}

auto quorum_fleet::sendUnsentOrders() -> void
{
    for (const auto &[node, order] : std::exchange(m_unsentOrders, {})) {
        if (m_replicas.contains(node)) {
            sendOrder(node, order);
        }
    }
}

auto quorum_fleet::submitOrder(int index, quorum::evacuation_order order) -> void
{
    order.id = m_orders.size() + 1;
    m_orders.push_back(order);
    sendOrder(nodeName(index), m_orders.size() - 1);
}

auto quorum_fleet::resendOrder(int index, std::size_t order) -> bool
{
    if (!isUp(index)) {
        return false;
    }
    sendOrder(nodeName(index), order);
    return true;
}

auto quorum_fleet::sendOrder(const base::node_id &node, std::size_t order) -> void
{
    const auto requestId = m_replicas.at(node)->submitOrder(m_orders.at(order), m_network.now());
    m_orderRequests[{node, requestId}] = order;
    deliverResults(node);
}

auto quorum_fleet::call(const base::node_id &node, quorum::operator_request request,
                        quorum::request_forwarder::answer_function onAnswer) -> void
{
    const auto countAnswer = [this, onAnswer = std::move(onAnswer)](quorum::group_answer answer) {
        if (!std::holds_alternative<quorum::group_unavailable>(answer)) {
            ++m_answeredCallCount;
            onAnswer(std::move(answer));
        }
    };
    m_forwarders.at(node)->submit(std::move(request), m_network.now() + CALL_TIMEOUT, countAnswer);
}

template <typename Predicate>
auto quorum_fleet::isOnAnyDisk(const Predicate &predicate) const -> bool
{
    return std::any_of(m_disks.begin(), m_disks.end(), [&](const auto &disk) {
        return disk.second.value && predicate(*disk.second.value);
    });
}

auto quorum_fleet::callChange(int index) -> bool
{
    if (!isUp(index)) {
        return false;
    }
    const auto change = makeNewChange();
    call(nodeName(index), {.kind = quorum::operator_request_kind::Change, .change = change},
         [this, change](const quorum::group_answer &answer) { onChangeAnswer(change, answer); });
    return true;
}

auto quorum_fleet::onChangeAnswer(const quorum::config_change &change,
                                  const quorum::group_answer &answer) -> void
{
    const bool isRefused = std::holds_alternative<quorum::change_conflict>(answer)
                           || std::holds_alternative<quorum::change_invalid>(answer);
    if (isRefused) {
        m_refusedDigests.insert(change.digest);
        return;
    }
    CHECK_TEXT(std::holds_alternative<quorum::change_accepted>(answer),
               "a change got the answer to another kind of request");
    CHECK_TEXT(isOnAnyDisk([&](const quorum::group_value &value) {
                   return value.hasAcceptedChange(change.digest);
               }),
               "a change was acknowledged that was never made");
    m_highestAcceptedVersion = std::max(m_highestAcceptedVersion, change.version);
}

auto quorum_fleet::callRead(int index) -> bool
{
    if (!isUp(index)) {
        return false;
    }
    call(nodeName(index), {.kind = quorum::operator_request_kind::Read},
         [minimumVersion = m_highestAcceptedVersion](const quorum::group_answer &answer) {
             const auto *document = std::get_if<quorum::current_document>(&answer);
             CHECK_TEXT(document != nullptr, "a read got the answer to another kind of request");
             CHECK_TEXT(document->version >= minimumVersion,
                        "a confirmed read returned a version older than an accepted change");
         });
    return true;
}

auto quorum_fleet::callOrder(int index, const std::string &domain, bool starts) -> bool
{
    if (!isUp(index)) {
        return false;
    }
    const auto node = nodeName(index);
    const auto onRead = [=, this,
                         minimum = m_highestAcceptedRevision](const quorum::group_answer &answer) {
        const auto *read = std::get_if<quorum::current_evacuations>(&answer);
        CHECK_TEXT(read != nullptr, "a read got the answer to another kind of request");
        CHECK_TEXT(read->list.revision >= minimum,
                   "a confirmed read of the evacuations lacked an accepted order");
        const auto number = m_orders.size();
        m_orders.push_back(
                {number + 1, read->list.revision, base::failure_domain_id(domain), starts, 0});
        call(node,
             {.kind = quorum::operator_request_kind::EvacuationOrder, .order = m_orders.back()},
             [this, number](const quorum::group_answer &result) {
                 const bool isAccepted = std::holds_alternative<quorum::order_accepted>(result);
                 CHECK_TEXT(isAccepted || std::holds_alternative<quorum::order_outdated>(result),
                            "an order got the answer to another kind of request");
                 CHECK_TEXT(!isAccepted || isOnAnyDisk([&](const quorum::group_value &value) {
                     return value.hasAcceptedOrder(number + 1);
                 }),
                            "an order was acknowledged that was never made");
                 onOrderResult(number, result);
             });
    };
    call(node, {.kind = quorum::operator_request_kind::EvacuationRead}, onRead);
    return true;
}

auto quorum_fleet::leader() -> int
{
    int found = -1;
    std::uint64_t term = 0;
    for (int i = 0; i < m_nodeCount; ++i) {
        if (isUp(i) && replica(i).isReadyLeader() && replica(i).term() >= term) {
            found = i;
            term = replica(i).term();
        }
    }
    return found;
}

auto quorum_fleet::voters() -> std::vector<quorum::member>
{
    const int index = leader();
    return index < 0 ? std::vector<quorum::member>{} : replica(index).newest()->voters;
}

} // namespace hawthornpick::testing
