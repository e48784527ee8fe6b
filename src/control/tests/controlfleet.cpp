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
    const int first = m_options.separateControllers ? 6 : 3;
    const int second = m_options.separateControllers ? 7 : 5;
    const std::vector<base::node_id> candidates{nodeName("a", first), nodeName("b", first),
                                                nodeName("a", second), nodeName("b", second),
                                                nodeName("a", second + 1)};
    m_controllers.assign(candidates.begin(), candidates.begin() + m_options.controllers);
    for (const auto &id : m_controllers) {
        m_disks[id] = std::make_shared<memory_disk>();
    }
    for (const auto &id : m_ids) {
        m_hosts[id].clockRate = 1.0 + m_options.clockSkew * (2 * m_random.unit() - 1);
        start(id);
    }
}

auto control_fleet::local(const host &item) -> base::time_point
{
    const auto ticks = static_cast<double>(m_network.now().time_since_epoch().count());
    return base::time_point(
            base::duration(static_cast<base::duration::rep>(ticks * item.clockRate)));
}

auto control_fleet::start(const base::node_id &id) -> void
{
    auto &item = m_hosts[id];
    control_node_options options{id,
                                 m_regions[id],
                                 ++m_life,
                                 m_controllers,
                                 m_witnesses,
                                 m_random.bits(),
                                 m_options.compactAfterEntries};
    std::optional<storage> disk;
    if (const auto found = m_disks.find(id); found != m_disks.end()) {
        found->second->failsSync = false;
        disk = memory_storage(found->second);
    }
    item.cell = std::make_shared<config::snapshot_cell>(std::make_shared<config::snapshot>());
    item.seen = 0;
    item.checkedCommit = 0;
    auto peers = [this, id] {
        auto others = m_ids;
        std::erase(others, id);
        return others;
    };
    auto created = control_node::create(options, std::move(disk), *item.cell, peers, local(item));
    if (!created) {
        violate("storage of " + id.str() + " cannot be loaded: " + created.error().detail);
        return;
    }
    item.node = std::move(*created);
    attach(id, item);
}

auto control_fleet::attach(const base::node_id &id, host &item) -> void
{
    m_network.attach(
            id,
            [this, &item](const auto &from, auto kind, auto payload, auto) {
                ++item.traffic.receivedMessages;
                item.traffic.receivedBytes += payload.size();
                return count(item, item.node->receive(from, kind, payload, local(item)));
            },
            [this, &item](auto) { return count(item, item.node->tick(local(item))); });
}

auto control_fleet::count(host &item, const control_node::messages &sent)
        -> const control_node::messages &
{
    for (const auto &message : sent) {
        ++item.traffic.sentMessages;
        item.traffic.sentBytes += message.payload.size();
    }
    return sent;
}

auto control_fleet::crash(const base::node_id &id) -> void
{
    m_network.crash(id);
    m_network.resume(id);
    m_hosts[id].node.reset();
}

auto control_fleet::wipe(const base::node_id &id) -> void
{
    crash(id);
    m_disks[id] = std::make_shared<memory_disk>();
}

auto control_fleet::cutRegions() -> void
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
        const bool hasBrokenDisk = found != m_disks.end() && found->second->failsSync;
        if (!isUp(id) || hasBrokenDisk) {
            crash(id);
            start(id);
        }
    }
}

auto control_fleet::run(base::duration span) -> void
{
    m_network.run(span, [this] { check(); });
}

auto control_fleet::contentOf(const std::string &changeId) const -> std::string
{
    auto set = m_baseSet;
    config::organisation item;
    item.id = base::organisation_id("!" + changeId);
    item.rate = 10;
    set.organisations.insert(set.organisations.begin(), item);
    return config::encode(set);
}

auto control_fleet::apply(const base::node_id &via, const std::string &changeId,
                          base::config_version base) -> void
{
    if (!isUp(via)) {
        return;
    }
    auto content = contentOf(changeId);
    const auto digest = base::sha256(content);
    m_bases.try_emplace(changeId, base);
    auto &item = m_hosts[via];
    m_network.send(via,
                   item.node->apply(
                           {changeId, base, digest, std::move(content)},
                           [this, changeId](const auto &answer) { checkAnswer(changeId, answer); },
                           local(item)));
}

auto control_fleet::ask(const base::node_id &via, const std::string &changeId) -> void
{
    if (!isUp(via)) {
        return;
    }
    auto &item = m_hosts[via];
    m_network.send(via,
                   item.node->changeResult(
                           changeId,
                           [this, changeId](const auto &answer) { checkAnswer(changeId, answer); },
                           local(item)));
}

auto control_fleet::replace(const base::node_id &via, const base::node_id &oldNode,
                            const base::node_id &newNode, const std::string &changeId) -> void
{
    if (!isUp(via)) {
        return;
    }
    auto &item = m_hosts[via];
    m_network.send(via, item.node->replaceController(
                                oldNode, newNode, changeId,
                                [this, changeId](const auto &answer) {
                                    if (!std::holds_alternative<unknown_yet>(answer)) {
                                        m_answers.insert_or_assign(changeId, answer);
                                    }
                                },
                                local(item)));
}

auto control_fleet::checkAnswer(const std::string &changeId, const change_answer &answer) -> void
{
    if (std::holds_alternative<unknown_yet>(answer)) {
        return;
    }
    const auto [first, isNew] = m_answers.try_emplace(changeId, answer);
    if (!isNew && first->second != answer) {
        violate("two different answers for change " + changeId);
    }
    if (const auto *force = std::get_if<in_force>(&answer)) {
        m_inForce = std::max(m_inForce, force->version.version);
        const auto fact = m_accepted.find(force->version.version);
        if (fact == m_accepted.end() || fact->second.changeId != changeId) {
            violate("in force was reported for a change that was not accepted: " + changeId);
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
    return m_accepted.empty() ? 0 : m_accepted.rbegin()->first;
}

auto control_fleet::servedVersion(const base::node_id &id) -> std::optional<base::config_version>
{
    auto &item = m_hosts[id];
    if (!item.node || !item.node->isCurrent(local(item))) {
        return std::nullopt;
    }
    return item.cell->load()->version();
}

auto control_fleet::isInForceEverywhere(base::config_version version) -> bool
{
    return std::all_of(m_ids.begin(), m_ids.end(),
                       [&](const auto &id) { return servedVersion(id) == version; });
}

auto control_fleet::servesAnywhere() -> bool
{
    return std::any_of(m_ids.begin(), m_ids.end(),
                       [&](const auto &id) { return servedVersion(id).has_value(); });
}

auto control_fleet::leader() const -> base::node_id
{
    for (const auto &id : m_controllers) {
        const auto &item = m_hosts.at(id);
        if (item.node && item.node->ownController()->log().isReady()) {
            return id;
        }
    }
    return {};
}

auto control_fleet::hasLeader() const -> bool
{
    return !leader().empty();
}

auto control_fleet::check() -> void
{
    for (auto &[id, item] : m_hosts) {
        if (item.node) {
            const auto *own = item.node->ownController();
            if (own != nullptr) {
                checkController(id, item, *own);
            }
        }
    }
    for (auto &[id, item] : m_hosts) {
        if (item.node) {
            checkNode(id, item);
        }
    }
}

auto control_fleet::checkNode(const base::node_id &id, host &item) -> void
{
    const auto version = item.cell->load()->version();
    if (version < item.seen) {
        violate(id.str() + " went back from version " + std::to_string(item.seen));
    }
    item.seen = version;
    // Stricter than the stated bound of 3 s: "in force" means that no node serves an older version.
    if (version < m_inForce && item.node->isCurrent(local(item))) {
        violate(id.str() + " serves version " + std::to_string(version) + " although "
                + std::to_string(m_inForce) + " is in force");
    }
}

auto control_fleet::checkController(const base::node_id &id, host &item, const controller &own)
        -> void
{
    const auto &disk = m_disks.at(id)->synced;
    if (!disk.votedFor.empty()) {
        const auto [vote, isNew] = m_votes.try_emplace({disk.disk, disk.term}, disk.votedFor);
        if (!isNew && vote->second != disk.votedFor) {
            violate(id.str() + " voted twice in term " + std::to_string(disk.term));
        }
    }
    const auto &log = own.log();
    if (log.role() == replica_role::Leader) {
        const auto [leader, isNew] = m_leaders.try_emplace(log.term(), id);
        if (!isNew && leader->second != id) {
            violate("two leaders in term " + std::to_string(log.term()));
        }
    }
    if (log.commitIndex() != item.checkedCommit) {
        item.checkedCommit = log.commitIndex();
        m_inForce = std::max(m_inForce, log.state().inForce());
        checkHistory(own);
    }
}

auto control_fleet::checkHistory(const controller &own) -> void
{
    for (const auto &item : own.log().state().history()) {
        const auto [fact, isNew] = m_accepted.try_emplace(
                item.version.version, accepted_fact{item.changeId, item.version.digest});
        if (!isNew) {
            if (fact->second.changeId != item.changeId
                || fact->second.digest != item.version.digest) {
                violate("two histories for version " + std::to_string(item.version.version));
            }
            continue;
        }
        const auto previous = fact == m_accepted.begin() ? 0 : std::prev(fact)->first;
        if (m_bases[item.changeId] != previous) {
            violate("change " + item.changeId + " was accepted under another base version");
        }
        const auto earlier = m_answers.find(item.changeId);
        if (earlier != m_answers.end() && std::holds_alternative<rejected>(earlier->second)) {
            violate("rejected change " + item.changeId + " was accepted");
        }
    }
}

auto control_fleet::violate(const std::string &text) -> void
{
    const auto at = base::toMilliseconds(m_network.now().time_since_epoch());
    m_violations.push_back(text + " at " + std::to_string(at) + " ms");
}

} // namespace hawthornpick::control
