#include "app/internal/controlplane.h"

#include "app/internal/evacuationcheck.h"
#include "base/log.h"
#include "base/random.h"

#include <stdexcept>

namespace hawthornpick::app {

namespace {

using messages = std::vector<base::outgoing_message>;

auto localNode(const config::settings &settings, base::incarnation incarnation)
        -> membership::local_node
{
    return {settings.node,          incarnation,
            settings.host,          settings.region,
            settings.failureDomain, settings.advertisedPeerAddress};
}

auto seedNodes(const config::settings &settings) -> std::vector<membership::seed_node>
{
    std::vector<membership::seed_node> seeds;
    for (const auto &seed : settings.seeds) {
        if (seed.id != settings.node) {
            seeds.push_back({seed.id, seed.address});
        }
    }
    return seeds;
}

auto regionsOf(const config::settings &settings) -> std::vector<base::region_id>
{
    std::vector<base::region_id> regions;
    for (const auto &[region, witnesses] : settings.witnesses) {
        regions.push_back(region);
    }
    return regions;
}

auto replicasOf(const config::settings &settings) -> atmostonce::replica_map
{
    atmostonce::replica_map replicas;
    for (const auto &[region, witnesses] : settings.witnesses) {
        for (const auto &witness : witnesses) {
            replicas[region].push_back(witness.id);
        }
    }
    return replicas;
}

auto openStorage(const config::settings &settings) -> std::optional<control::storage>
{
    if (settings.dataFolder.empty()) {
        return std::nullopt;
    }
    auto opened = control::file_storage::open(settings.dataFolder);
    if (!opened) {
        throw std::runtime_error("data folder " + settings.dataFolder + ": "
                                 + opened.error().detail);
    }
    return control::storage(std::move(*opened));
}

auto configuredAddresses(const config::settings &settings)
        -> std::map<base::node_id, membership::endpoint>
{
    std::map<base::node_id, membership::endpoint> addresses;
    const auto addNodes = [&addresses](const std::vector<config::named_node> &nodes) {
        for (const auto &node : nodes) {
            addresses.emplace(node.id, node.address);
        }
    };
    addNodes(settings.seeds);
    addNodes(settings.controllers);
    for (const auto &[region, witnesses] : settings.witnesses) {
        addNodes(witnesses);
    }
    return addresses;
}

auto toAnswer(const control::in_force &answer) -> operators::change_answer
{
    return {operators::change_state::InForce, answer.version.version,
            base::toHex(answer.version.digest), ""};
}

auto toAnswer(const control::rejected &answer) -> operators::change_answer
{
    auto reason = std::string(control::reasonName(answer.reason));
    if (!answer.detail.empty()) {
        reason += ": " + answer.detail;
    }
    return {operators::change_state::Rejected, answer.winner.version,
            base::toHex(answer.winner.digest), std::move(reason)};
}

auto toAnswer(const control::unknown_yet & /*answer*/) -> operators::change_answer
{
    return {operators::change_state::Undecided, 0, "", "the result of the change is not known yet"};
}

auto toOperatorAnswer(const control::change_answer &answer) -> operators::change_answer
{
    return std::visit([](const auto &alternative) { return toAnswer(alternative); }, answer);
}

} // namespace

control_plane::control_plane(const config::settings &settings, const peer::link_identity &identity,
                             base::metrics &metrics)
    : m_settings(settings), m_configuredAddresses(configuredAddresses(settings)),
      m_controlThread(1), m_config(std::make_shared<const config::snapshot>()),
      m_directory(localNode(settings, identity.incarnation), seedNodes(settings), {},
                  base::systemSeed(), base::clock::now()),
      m_runtime(
              *m_controlThread.contexts().front(), identity, settings.peerAddress,
              [this](const base::node_id &node) { return resolve(node); }, metrics),
      m_controlNode(createControlNode(identity.incarnation)),
      m_rateLimits(limitsDependencies(), base::systemSeed(), postFunction()),
      m_atMostOnce(atMostOnceDependencies(identity.incarnation))
{
    registerReceivers();
}

control_plane::~control_plane()
{
    stop();
}

auto control_plane::createControlNode(base::incarnation incarnation)
        -> std::unique_ptr<control::control_node>
{
    auto created = control::control_node::create(
            control::optionsFrom(m_settings, incarnation, base::systemSeed()),
            openStorage(m_settings), m_config, [this] { return livePeers(); }, base::clock::now());
    if (!created) {
        throw std::runtime_error("data folder " + m_settings.dataFolder + ": "
                                 + created.error().detail);
    }
    return std::move(*created);
}

auto control_plane::atMostOnceDependencies(base::incarnation incarnation)
        -> atmostonce::atmostonce_dependencies
{
    return {m_settings.node, incarnation, replicasOf(m_settings),
            base::random_source(base::systemSeed()), postFunction()};
}

auto control_plane::limitsDependencies() -> limits::allocator_dependencies
{
    return {m_settings.node,
            m_settings.region,
            regionsOf(m_settings),
            [this] { return m_directory.view().load(); },
            [this] { return m_config.load(); },
            [this](const std::string &name, base::time_point now) {
                return m_controlNode->leases().epoch(name, now);
            },
            [this](const std::string &name, bool wanted) { setLeaseWanted(name, wanted); },
            base::random_source(base::systemSeed())};
}

auto control_plane::postFunction() -> limits::post_function
{
    return [this](std::function<messages(base::time_point)> task) {
        m_runtime.post(std::move(task));
    };
}

auto control_plane::registerReceivers() -> void
{
    m_controlNode->registerWith(m_runtime);
    m_runtime.onMessage(base::channel::Membership,
                        [this](const auto &from, auto payload, auto now) {
                            return m_directory.receive(from, payload, now);
                        });
    m_runtime.onTick([this](auto now) { return m_directory.tick(now); });
    m_runtime.onMessage(base::channel::Rate, [this](const auto &from, auto payload, auto now) {
        return m_rateLimits.receive(from, payload, now);
    });
    m_runtime.onTick([this](auto now) { return m_rateLimits.tick(now); });
    m_runtime.onMessage(base::channel::Fence, [this](const auto &from, auto payload, auto now) {
        return m_atMostOnce.receiveFence(from, payload, now);
    });
    m_runtime.onMessage(base::channel::Idempotency,
                        [this](const auto &from, auto payload, auto now) {
                            return m_atMostOnce.receiveIdempotency(from, payload, now);
                        });
    m_runtime.onTick([this](auto now) { return m_atMostOnce.tick(now); });
}

auto control_plane::registerHealthControl(health_control &health) -> void
{
    m_health = &health;
    m_runtime.onMessage(base::channel::Arbiter,
                        [&health](const auto &from, auto payload, auto now) {
                            return health.receiveArbiter(from, payload, now);
                        });
    m_runtime.onMessage(base::channel::Baseline,
                        [&health](const auto &from, auto payload, auto now) {
                            return health.receiveBaseline(from, payload, now);
                        });
    m_runtime.onMessage(base::channel::CrashReport,
                        [&health](const auto &from, auto payload, auto now) {
                            return health.receiveCrashReport(from, payload, now);
                        });
    m_runtime.onTick([&health](auto now) { return health.tick(now); });
}

auto control_plane::holdsLease(const std::string &name, base::time_point now) const -> bool
{
    return m_controlNode->leases().holds(name, now);
}

auto control_plane::setLeaseWanted(const std::string &name, bool wanted) -> void
{
    if (wanted) {
        m_controlNode->leases().want(name);
    } else {
        m_controlNode->leases().release(name);
    }
}

auto control_plane::start() -> void
{
    m_runtime.start();
    m_controlThread.start();
}

auto control_plane::stop() -> void
{
    m_controlThread.stop();
}

auto control_plane::deliver(const base::node_id &from, base::channel kind, std::string payload)
        -> void
{
    m_runtime.deliver(from, kind, std::move(payload));
}

auto control_plane::publishUpstreams(std::vector<membership::upstream_entry> entries) -> void
{
    m_runtime.post([this, entries = std::move(entries)](base::time_point now) {
        for (const auto &entry : entries) {
            if (entry.state == membership::upstream_state::Gone) {
                m_directory.withdraw(entry.id, now);
            } else {
                m_directory.publish(entry, now);
            }
            m_directory.setEjected(entry.id, entry.ejected, now);
        }
        if (m_health != nullptr) {
            m_health->setUpstreams(entries, now);
        }
        return messages{};
    });
}

auto control_plane::leave() -> void
{
    m_runtime.post([this](base::time_point now) {
        m_directory.leave(now);
        return messages{};
    });
}

auto control_plane::fleet() const -> const base::snapshot_cell<membership::view> &
{
    return m_directory.view();
}

auto control_plane::isCurrent() const -> bool
{
    return m_controlNode->isCurrent(base::clock::now());
}

auto control_plane::resolve(const base::node_id &node) const -> std::optional<membership::endpoint>
{
    const auto announced = m_directory.endpointOf(node);
    if (announced) {
        return announced;
    }
    const auto configured = m_configuredAddresses.find(node);
    if (configured == m_configuredAddresses.end()) {
        return std::nullopt;
    }
    return configured->second;
}

auto control_plane::livePeers() const -> std::vector<base::node_id>
{
    std::vector<base::node_id> peers;
    for (const auto &node : m_directory.view().load()->nodes()) {
        if (node.id != m_settings.node && node.state == membership::node_state::Alive) {
            peers.push_back(node.id);
        }
    }
    return peers;
}

auto control_plane::applyChange(operators::change_request request,
                                std::function<void(operators::change_answer)> done) -> void
{
    control::change_request change;
    change.changeId = std::move(request.changeId);
    change.base = request.baseVersion;
    change.content = config::encode(request.set);
    change.digest = base::sha256(change.content);
    m_runtime.post([this, change = std::move(change), done = std::move(done)](auto now) mutable {
        return m_controlNode->apply(
                std::move(change), [done](const auto &answer) { done(toOperatorAnswer(answer)); },
                now);
    });
}

auto control_plane::readHistory(std::function<void(std::vector<operators::history_entry>)> done)
        -> void
{
    m_runtime.post([this, done = std::move(done)](base::time_point now) {
        return m_controlNode->status(
                [done](const std::optional<control::control_status> &status) {
                    std::vector<operators::history_entry> entries;
                    for (const auto &change : status.value_or(control::control_status{}).history) {
                        entries.push_back({change.version.version,
                                           base::toHex(change.version.digest), change.changeId});
                    }
                    done(std::move(entries));
                },
                now);
    });
}

auto control_plane::readStatus(std::function<void(operators::control_status)> done) -> void
{
    m_runtime.post([this, done = std::move(done)](base::time_point now) {
        return m_controlNode->status(
                [this, done](const std::optional<control::control_status> &status) {
                    operators::control_status result;
                    result.isController = m_controlNode->ownController() != nullptr;
                    result.isConfirmed = status.has_value();
                    if (status) {
                        result.leader = status->leader.str();
                        result.acceptedVersion = status->accepted.version;
                        result.inForceVersion = status->inForce;
                        result.voters = status->voters;
                        result.learners = status->learners;
                    }
                    done(std::move(result));
                },
                now);
    });
}

auto control_plane::replaceController(const base::node_id &removed, const base::node_id &added,
                                      std::function<void(std::string)> done) -> void
{
    m_runtime.post([this, removed, added, done = std::move(done)](base::time_point now) {
        const auto changeId = "replace-" + base::toHex(base::secureRandomBytes(8));
        return m_controlNode->replaceController(
                removed, added, changeId,
                [done](const control::change_answer &answer) {
                    const auto result = toOperatorAnswer(answer);
                    const bool isInForce = result.state == operators::change_state::InForce;
                    done(isInForce ? "" : result.reason);
                },
                now);
    });
}

auto control_plane::operatorAccess() -> operators::fleet_access
{
    operators::fleet_access access;
    access.apply = [this](operators::change_request request, auto done) {
        applyChange(std::move(request), std::move(done));
    };
    access.changeResult = [this](const std::string &changeId, auto done) {
        m_runtime.post([this, changeId, done = std::move(done)](base::time_point now) {
            return m_controlNode->changeResult(
                    changeId, [done](const auto &answer) { done(toOperatorAnswer(answer)); }, now);
        });
    };
    access.history = [this](auto done) {
        readHistory(std::move(done));
    };
    access.status = [this](auto done) {
        readStatus(std::move(done));
    };
    access.replaceController = [this](const auto &removed, const auto &added, auto done) {
        replaceController(removed, added, std::move(done));
    };
    access.configuration = [this] {
        return m_config.load();
    };
    access.isCurrent = [this] {
        return isCurrent();
    };
    access.view = [this] {
        return m_directory.view().load();
    };
    access.evacuationRefusal = [this](const base::failure_domain_id &failureDomain, bool starts) {
        const auto configuration = m_config.load();
        const evacuation_check check{
                config::evacuationsOf(configuration->set(), configuration->version()),
                m_directory.view().load(),
                {}};
        const auto refusal = check.refusalOf(failureDomain, starts);
        return refusal ? refusal->detail : std::string();
    };
    return access;
}

} // namespace hawthornpick::app
