#include "src/control/tests/controlfleet.h"

#include <algorithm>

namespace hawthornpick::control {

namespace {

constexpr int WITNESSES_IN_REGION = 4;

auto nodeName(const char *region, int number) -> base::node_id
{
    return base::node_id(std::string(region) + std::to_string(number));
}

} // namespace

control_fleet::control_fleet(std::uint64_t seed, fleet_options options)
    : m_options(options), m_network(seed, options.faults), m_random(seed * 7919 + 1)
{
    for (const char *region : {"a", "b"}) {
        for (int i = 1; i <= m_options.nodesPerRegion; ++i) {
            m_ids.push_back(nodeName(region, i));
            m_regions[m_ids.back()] = base::region_id(region);
        }
        auto &witnesses = m_witnesses[base::region_id(region)];
        for (int i = 1; i <= WITNESSES_IN_REGION; ++i) {
            witnesses.push_back(nodeName(region, i));
        }
    }
    m_witnesses[base::region_id("a")].push_back(nodeName("b", 5));
    m_witnesses[base::region_id("b")].push_back(nodeName("a", 5));
    const int firstNumber = m_options.separateControllers ? 6 : 3;
    const int secondNumber = m_options.separateControllers ? 7 : 5;
    const std::vector<base::node_id> controllerNodes{
            nodeName("a", firstNumber), nodeName("b", firstNumber), nodeName("a", secondNumber),
            nodeName("b", secondNumber), nodeName("a", secondNumber + 1)};
    m_controllers.assign(controllerNodes.begin(), controllerNodes.begin() + m_options.controllers);
    for (const auto &id : m_controllers) {
        m_disks[id] = std::make_shared<memory_disk>();
    }
    for (const auto &id : m_ids) {
        m_nodes[id].clockRate = 1.0 + m_options.clockSkew * (2 * m_random.unit() - 1);
        start(id);
    }
}

auto control_fleet::localTime(const node_state &state) -> base::time_point
{
    const auto ticks = static_cast<double>(m_network.now().time_since_epoch().count());
    return base::time_point(
            base::duration(static_cast<base::duration::rep>(ticks * state.clockRate)));
}

auto control_fleet::start(const base::node_id &id) -> void
{
    auto &state = m_nodes[id];
    control_node_options options{id,
                                 m_regions[id],
                                 ++m_incarnation,
                                 m_controllers,
                                 m_witnesses,
                                 m_random.bits(),
                                 m_options.compactAfterEntries};
    std::optional<storage> logStorage;
    if (const auto found = m_disks.find(id); found != m_disks.end()) {
        found->second->failsSync = false;
        logStorage = memory_storage(found->second);
    }
    state.cell = std::make_shared<config::snapshot_cell>(std::make_shared<config::snapshot>());
    state.publishedVersion = 0;
    state.checkedCommitIndex = 0;
    auto peers = [this, id] {
        auto otherNodes = m_ids;
        std::erase(otherNodes, id);
        return otherNodes;
    };
    auto created = control_node::create(options, std::move(logStorage), *state.cell, peers,
                                        localTime(state));
    if (!created) {
        recordViolation("storage of " + id.str() + " cannot be loaded: " + created.error().detail);
        return;
    }
    state.node = std::move(*created);
    attach(id, state);
}

auto control_fleet::attach(const base::node_id &id, node_state &state) -> void
{
    m_network.attach(
            id,
            [this, &state](const auto &from, auto kind, auto payload, auto) {
                ++state.traffic.receivedMessages;
                state.traffic.receivedBytes += payload.size();
                return countSent(state, state.node->receive(from, kind, payload, localTime(state)));
            },
            [this, &state](auto) { return countSent(state, state.node->tick(localTime(state))); });
}

auto control_fleet::countSent(node_state &state, const control_node::messages &sent)
        -> const control_node::messages &
{
    for (const auto &message : sent) {
        ++state.traffic.sentMessages;
        state.traffic.sentBytes += message.payload.size();
    }
    return sent;
}

auto control_fleet::crash(const base::node_id &id) -> void
{
    m_network.crash(id);
    m_network.resume(id);
    m_nodes[id].node.reset();
}

auto control_fleet::wipeDisk(const base::node_id &id) -> void
{
    crash(id);
    m_disks[id] = std::make_shared<memory_disk>();
}

auto control_fleet::disconnectRegions() -> void
{
    for (const auto &from : m_ids) {
        for (const auto &to : m_ids) {
            if (m_regions[from] != m_regions[to]) {
                m_network.cut(from, to);
            }
        }
    }
}

auto control_fleet::isolate(const base::node_id &id) -> void
{
    for (const auto &other : m_ids) {
        m_network.cut(id, other);
        m_network.cut(other, id);
    }
}

auto control_fleet::endAllFaults() -> void
{
    m_network.healAll();
    m_network.setFaults({});
    for (const auto &id : m_ids) {
        m_network.resume(id);
        const auto found = m_disks.find(id);
        const bool hasFailedDisk = found != m_disks.end() && found->second->failsSync;
        if (!isUp(id) || hasFailedDisk) {
            crash(id);
            start(id);
        }
    }
}

auto control_fleet::run(base::duration span) -> void
{
    m_network.run(span, [this] { checkInvariants(); });
}

auto control_fleet::contentOf(const std::string &changeId) const -> std::string
{
    auto set = m_baseSet;
    config::organisation organisation;
    organisation.id = base::organisation_id("!" + changeId);
    organisation.rate = 10;
    set.organisations.insert(set.organisations.begin(), organisation);
    return config::encode(set);
}

auto control_fleet::apply(const base::node_id &entryNode, const std::string &changeId,
                          base::config_version base) -> void
{
    if (!isUp(entryNode)) {
        return;
    }
    auto content = contentOf(changeId);
    const auto digest = base::sha256(content);
    m_baseVersions.try_emplace(changeId, base);
    auto &state = m_nodes[entryNode];
    m_network.send(entryNode,
                   state.node->apply(
                           {changeId, base, digest, std::move(content)},
                           [this, changeId](const auto &answer) { recordAnswer(changeId, answer); },
                           localTime(state)));
}

auto control_fleet::requestResult(const base::node_id &entryNode, const std::string &changeId)
        -> void
{
    if (!isUp(entryNode)) {
        return;
    }
    auto &state = m_nodes[entryNode];
    m_network.send(entryNode,
                   state.node->changeResult(
                           changeId,
                           [this, changeId](const auto &answer) { recordAnswer(changeId, answer); },
                           localTime(state)));
}

auto control_fleet::replaceController(const base::node_id &entryNode, const base::node_id &oldNode,
                                      const base::node_id &newNode, const std::string &changeId)
        -> void
{
    if (!isUp(entryNode)) {
        return;
    }
    auto &state = m_nodes[entryNode];
    m_network.send(entryNode, state.node->replaceController(
                                      oldNode, newNode, changeId,
                                      [this, changeId](const auto &answer) {
                                          if (!std::holds_alternative<unknown_yet>(answer)) {
                                              m_answers.insert_or_assign(changeId, answer);
                                          }
                                      },
                                      localTime(state)));
}

auto control_fleet::recordAnswer(const std::string &changeId, const change_answer &answer) -> void
{
    if (std::holds_alternative<unknown_yet>(answer)) {
        return;
    }
    const auto [firstAnswer, isNew] = m_answers.try_emplace(changeId, answer);
    if (!isNew && firstAnswer->second != answer) {
        recordViolation("two different answers for change " + changeId);
    }
    if (const auto *inForce = std::get_if<in_force>(&answer)) {
        m_newestInForce = std::max(m_newestInForce, inForce->version.version);
        const auto record = m_acceptedVersions.find(inForce->version.version);
        if (record == m_acceptedVersions.end() || record->second.changeId != changeId) {
            recordViolation("a change that was not accepted was reported as in force: " + changeId);
        }
    }
}

auto control_fleet::answer(const std::string &changeId) const -> std::optional<change_answer>
{
    const auto found = m_answers.find(changeId);
    return found == m_answers.end() ? std::nullopt : std::optional(found->second);
}

auto control_fleet::newestAccepted() const -> base::config_version
{
    return m_acceptedVersions.empty() ? 0 : m_acceptedVersions.rbegin()->first;
}

auto control_fleet::servedVersion(const base::node_id &id) -> std::optional<base::config_version>
{
    auto &state = m_nodes[id];
    if (!state.node || !state.node->isCurrent(localTime(state))) {
        return std::nullopt;
    }
    return state.cell->load()->version();
}

auto control_fleet::isInForceEverywhere(base::config_version version) -> bool
{
    return std::all_of(m_ids.begin(), m_ids.end(),
                       [&](const auto &id) { return servedVersion(id) == version; });
}

auto control_fleet::isAnyNodeServing() -> bool
{
    return std::any_of(m_ids.begin(), m_ids.end(),
                       [&](const auto &id) { return servedVersion(id).has_value(); });
}

auto control_fleet::leader() const -> base::node_id
{
    for (const auto &id : m_controllers) {
        const auto &state = m_nodes.at(id);
        if (state.node && state.node->ownController()->log().isReady()) {
            return id;
        }
    }
    return {};
}

auto control_fleet::hasLeader() const -> bool
{
    return !leader().empty();
}

auto control_fleet::checkInvariants() -> void
{
    for (auto &[id, state] : m_nodes) {
        if (state.node) {
            const auto *ownController = state.node->ownController();
            if (ownController != nullptr) {
                checkController(id, state, *ownController);
            }
        }
    }
    for (auto &[id, state] : m_nodes) {
        if (state.node) {
            checkNode(id, state);
        }
    }
}

auto control_fleet::checkNode(const base::node_id &id, node_state &state) -> void
{
    const auto version = state.cell->load()->version();
    if (version < state.publishedVersion) {
        recordViolation(id.str() + " published an older version after version "
                        + std::to_string(state.publishedVersion));
    }
    state.publishedVersion = version;
    // Stricter than the specified limit of 3 s: once a version is in force, no node may serve an
    // older one.
    if (version < m_newestInForce && state.node->isCurrent(localTime(state))) {
        recordViolation(id.str() + " serves version " + std::to_string(version) + " although "
                        + std::to_string(m_newestInForce) + " is in force");
    }
}

auto control_fleet::checkController(const base::node_id &id, node_state &state,
                                    const controller &ownController) -> void
{
    const auto &stored = m_disks.at(id)->synced;
    if (!stored.votedFor.empty()) {
        const auto [vote, isNew] =
                m_votesByDiskAndTerm.try_emplace({stored.disk, stored.term}, stored.votedFor);
        if (!isNew && vote->second != stored.votedFor) {
            recordViolation(id.str() + " voted twice in term " + std::to_string(stored.term));
        }
    }
    const auto &ownReplica = ownController.log();
    if (ownReplica.role() == replica_role::Leader) {
        const auto [leader, isNew] = m_leadersByTerm.try_emplace(ownReplica.term(), id);
        if (!isNew && leader->second != id) {
            recordViolation("two leaders in term " + std::to_string(ownReplica.term()));
        }
    }
    if (ownReplica.commitIndex() != state.checkedCommitIndex) {
        state.checkedCommitIndex = ownReplica.commitIndex();
        m_newestInForce = std::max(m_newestInForce, ownReplica.state().inForce());
        checkHistory(ownController);
    }
}

auto control_fleet::checkHistory(const controller &ownController) -> void
{
    for (const auto &accepted : ownController.log().state().history()) {
        const auto [record, isNew] = m_acceptedVersions.try_emplace(
                accepted.version.version,
                accepted_record{accepted.changeId, accepted.version.digest});
        if (!isNew) {
            if (record->second.changeId != accepted.changeId
                || record->second.digest != accepted.version.digest) {
                recordViolation("two controllers accepted different changes as version "
                                + std::to_string(accepted.version.version));
            }
            continue;
        }
        const auto previous = record == m_acceptedVersions.begin() ? 0 : std::prev(record)->first;
        if (m_baseVersions[accepted.changeId] != previous) {
            recordViolation(
                    "change " + accepted.changeId
                    + " was accepted although its base version was not the previous version");
        }
        const auto earlierAnswer = m_answers.find(accepted.changeId);
        if (earlierAnswer != m_answers.end()
            && std::holds_alternative<rejected>(earlierAnswer->second)) {
            recordViolation("rejected change " + accepted.changeId + " was accepted");
        }
    }
}

auto control_fleet::recordViolation(const std::string &text) -> void
{
    const auto timeMs = base::toMilliseconds(m_network.now().time_since_epoch());
    m_violations.push_back(text + " at " + std::to_string(timeMs) + " ms");
}

} // namespace hawthornpick::control
