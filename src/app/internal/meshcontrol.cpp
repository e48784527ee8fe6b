#include "app/internal/meshcontrol.h"

#include "app/internal/evacuationcheck.h"
#include "base/compression.h"
#include "base/log.h"
#include "base/random.h"
#include "config/declaration.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

namespace hawthornpick::app {

namespace {

//! Below the one second after which operators try another node.
constexpr base::milliseconds QUORUM_TIMEOUT{900};
//! A quorum member that has not heard from the leader for longer than this may lack a committed
//! version. Together with the report interval this bounds the delay until a node learns of one.
constexpr base::milliseconds MAX_LEADER_CONTACT_AGE{1000};
//! Below the one second after which upstreams repeat an announcement.
constexpr base::milliseconds DEPARTURE_TIMEOUT{800};
//! Folder within the data folder, because its file has a log and a lock of its own.
constexpr const char *DEPARTURE_FOLDER = "/departures";

//! Time after its confirmation for which a version counts as the newest one. Together with the age
//! of what the hub knew, it is below the time within which a version must be in force everywhere;
//! it covers the loss of one report.
constexpr base::milliseconds MAX_CONFIRMATION_AGE{1400};
//! Least time between log lines about late answers of hubs.
constexpr base::milliseconds LATE_ANSWER_LOG_INTERVAL{10'000};

auto resolve(const base::node_id &node) -> std::optional<membership::endpoint>
{
    return membership::parseEndpoint(node.str());
}

auto joinErrors(const std::vector<config::diagnostic> &errors) -> std::string
{
    std::string text;
    for (const auto &error : errors) {
        text += (text.empty() ? "" : "; ") + error.section + " " + error.key + ": " + error.message;
    }
    return text;
}

auto unavailableEvacuation(const quorum::group_answer &answer) -> evacuation_answer
{
    const auto *unavailable = std::get_if<quorum::group_unavailable>(&answer);
    return {evacuation_outcome::Unavailable,
            unavailable != nullptr
                    ? unavailable->detail + "; repeat the order"
                    : "the leader doesn't know evacuations; upgrade all nodes with a data folder"};
}

} // namespace

mesh_control::mesh_control(boost::asio::io_context &context, const config::mesh_settings &settings,
                           const mesh_adapter &adapter, const peer::link_identity &identity,
                           base::metrics &metrics, mesh_control_callbacks callbacks)
    : m_context(context), m_peerPort(settings.peerPort), m_ownNode(identity.node),
      m_applyChange(adapter.applyChange), m_parseDocument(adapter.parseDocument),
      m_callbacks(std::move(callbacks)),
      m_runtime(context, identity, settings.peerListenAddress, resolve, metrics),
      m_traffic(metrics),
      m_lateAnswers(metrics.counter("directory_late_answers_total",
                                    "Answers of hubs that came after the node had stopped to wait "
                                    "for them")),
      m_evacuatedDomains(
              metrics.gauge("evacuated_failure_domains",
                            "Failure domains to which no request is sent by order of an operator")),
      m_failureDomains(settings.failureDomains), m_bootId(base::systemSeed()),
      m_reporter(nodeRecord(settings), seedNodes(settings.seeds), reporterCallbacks()),
      m_deputy(m_bootId, m_reporter, m_callbacks.isNearLimit)
{
    if (!settings.dataFolder.empty()) {
        startQuorum(settings);
    }
    m_runtime.onMessage(
            base::channel::Directory,
            [this](const base::node_id &from, std::string_view payload, base::time_point now) {
                return receiveDirectoryMessage(from, payload, now);
            });
    m_runtime.onTick([this](base::time_point now) { return tick(now); });
    m_runtime.onSent([this](const base::outgoing_message &message) { countSent(message); });
}

auto mesh_control::seedNodes(const std::vector<std::string> &seeds) const
        -> std::vector<base::node_id>
{
    std::vector<base::node_id> nodes;
    nodes.reserve(seeds.size());
    for (const auto &seed : seeds) {
        nodes.push_back(fleet::nodeIdOf({seed, m_peerPort}));
    }
    return nodes;
}

auto mesh_control::nodeRecord(const config::mesh_settings &settings) const -> fleet::node_record
{
    fleet::node_record record;
    record.entry.id = m_ownNode;
    record.entry.host = settings.name.str();
    record.entry.region = settings.region;
    record.entry.failureDomain = settings.failureDomain;
    record.entry.peerAddress = {settings.address, settings.peerPort};
    // The wall clock in milliseconds gives each start of the process its own generation; the hub
    // compensates for a clock that was set back.
    record.generation = base::wallClockMilliseconds();
    record.isHub = !settings.dataFolder.empty();
    return record;
}

auto mesh_control::reporterCallbacks() -> fleet::reporter_callbacks
{
    fleet::reporter_callbacks callbacks;
    callbacks.onView = [this](membership::view_pointer view) {
        m_view = view;
        m_callbacks.onView(std::move(view));
    };
    callbacks.onEvacuations = [this](const base::evacuation_list &evacuations) {
        applyEvacuations(evacuations);
    };
    callbacks.onTotals = m_callbacks.onTotals;
    callbacks.currentUsages = m_callbacks.currentUsages;
    callbacks.onTotalsNearLimit = m_callbacks.onTotalsNearLimit;
    callbacks.changedUsages = m_callbacks.changedUsages;
    callbacks.onCrashRecords = m_callbacks.onCrashRecords;
    callbacks.onDocument = [this](const fleet::config_document &document) {
        applyDocument(document);
    };
    // Posted, because a change of the upstreams calls the reporter again.
    callbacks.onFormerUpstreams = [this](std::vector<membership::upstream_entry> upstreams) {
        boost::asio::post(m_context, [this, upstreams = std::move(upstreams)] {
            m_callbacks.onFormerUpstreams(upstreams);
        });
    };
    callbacks.onDirectoryComplete = [this] {
        boost::asio::post(m_context, [this] {
            m_knowsFormerUpstreams = true;
            m_callbacks.onDirectoryComplete();
            wakeStorageWaits();
        });
    };
    callbacks.onStored = [this] {
        wakeStorageWaits();
    };
    callbacks.onHubChanged = [](const base::node_id &hub, bool isDeputy) {
        base::log(base::log_level::Info, "hub chosen", {{"hub", hub.str()}, {"deputy", isDeputy}});
    };
    callbacks.onLateAnswer = [this](const base::node_id &from, base::duration answerTime) {
        onLateAnswer(from, answerTime);
    };
    return callbacks;
}

auto mesh_control::onLateAnswer(const base::node_id &from, base::duration answerTime) -> void
{
    m_lateAnswers.Increment();
    const auto now = base::clock::now();
    if (now < m_nextLateAnswerLogAt) {
        return;
    }
    m_nextLateAnswerLogAt = now + LATE_ANSWER_LOG_INTERVAL;
    base::log(base::log_level::Warning, "hub answers late",
              {{"hub", from.str()}, {"ms", base::toMilliseconds(answerTime)}});
}

auto mesh_control::startQuorum(const config::mesh_settings &settings) -> void
{
    quorum::quorum_settings quorumSettings;
    quorumSettings.replica.self = m_ownNode;
    quorumSettings.replica.contacts = seedNodes(settings.seeds);
    if (settings.isFirstStart) {
        quorumSettings.replica.firstMembers = quorumSettings.replica.contacts;
        std::sort(quorumSettings.replica.firstMembers.begin(),
                  quorumSettings.replica.firstMembers.end());
    }
    quorumSettings.dataFolder = settings.dataFolder;
    m_hub.emplace(
            fleet::hub_options{.contacts = quorumSettings.replica.contacts,
                               .bootId = m_bootId,
                               .keepsDepartures = true},
            m_reporter,
            [this](base::time_point now) { return m_quorum->isFresh(now, MAX_LEADER_CONTACT_AGE); },
            m_callbacks.isNearLimit);
    m_quorum.emplace(
            std::move(quorumSettings),
            [this](base::config_version version, const std::string &compressedDocument,
                   const quorum::config_change &configChange) {
                return editDocument(version, compressedDocument, configChange);
            },
            base::systemSeed(),
            [this](quorum::quorum_node::task task) { m_runtime.post(std::move(task)); },
            [this](const quorum::value_pointer &value) { onCommitted(value); });
    m_departureStore.emplace(
            settings.dataFolder + DEPARTURE_FOLDER,
            [this](std::string content) {
                m_runtime.post([this, content = std::move(content)](base::time_point now) {
                    m_hub->onDeparturesLoaded(content, now);
                    return messages{};
                });
            },
            [this](std::uint64_t revision) {
                m_runtime.post([this, revision](base::time_point /*now*/) {
                    return m_hub->onDeparturesWritten(revision);
                });
            });
    m_runtime.onMessage(
            base::channel::Quorum,
            [this](const base::node_id &from, std::string_view payload, base::time_point now) {
                return m_quorum->receive(from, payload, now);
            });
}

// Applies a change to the current document and validates the result. Documents are stored and sent
// in compressed form; the current one is empty before the first change.
auto mesh_control::editDocument(base::config_version /*version*/,
                                const std::string &compressedDocument,
                                const quorum::config_change &configChange) const
        -> tl::expected<std::string, std::string>
{
    const auto current =
            compressedDocument.empty() ? std::string() : base::decompress(compressedDocument);
    if (!current) {
        return tl::unexpected(std::string("the current configuration "
                                          "document can't be decompressed"));
    }
    auto document = m_applyChange(*current, configChange);
    if (!document) {
        return document;
    }
    const auto configSet = m_parseDocument(*document);
    if (!configSet) {
        return tl::unexpected(configSet.error());
    }
    if (const auto errors = config::validate(*configSet); !errors.empty()) {
        return tl::unexpected(joinErrors(errors));
    }
    return base::compress(*document);
}

auto mesh_control::receiveDirectoryMessage(const base::node_id &from, std::string_view payload,
                                           base::time_point now) -> messages
{
    const auto content = fleet::decodeMessage(payload);
    if (!content) {
        return {};
    }
    auto outgoing = m_reporter.receive(from, *content, now);
    auto hubMessages = m_hub ? m_hub->receive(from, *content, now)
                             : runDeputy([&] { return m_deputy.receive(from, *content, now); });
    writeDepartures();
    outgoing.insert(outgoing.end(), hubMessages.begin(), hubMessages.end());
    return outgoing;
}

auto mesh_control::runDeputy(const std::function<messages()> &action) -> messages
{
    const bool wasActive = m_deputy.isActive();
    auto outgoing = action();
    if (m_deputy.isActive() != wasActive) {
        base::log(base::log_level::Info, wasActive ? "deputy stopped" : "deputy started", {});
    }
    return outgoing;
}

auto mesh_control::countSent(const base::outgoing_message &message) -> void
{
    const auto *receiver = m_reporter.records().find(message.to);
    const auto distance = receiver == nullptr
                                  ? traffic_distance::OwnRegion
                                  : distanceBetween(m_reporter.self().entry, receiver->entry);
    const auto kind = message.kindName.empty() ? std::string_view("quorum") : message.kindName;
    m_traffic.countSent(kind, distance, message.payload.size());
}

auto mesh_control::tick(base::time_point now) -> messages
{
    if (m_hub) {
        m_traffic.logIfDue(now);
    }
    auto outgoing = m_reporter.tick(now);
    if (!m_hub) {
        auto batch = runDeputy([&] { return m_deputy.tick(now); });
        outgoing.insert(outgoing.end(), batch.begin(), batch.end());
        return outgoing;
    }
    for (auto &batch : {m_hub->tick(now), m_quorum->tick(now)}) {
        outgoing.insert(outgoing.end(), batch.begin(), batch.end());
    }
    writeDepartures();
    return outgoing;
}

auto mesh_control::writeDepartures() -> void
{
    if (auto content = m_hub ? m_hub->takeDepartureWrite() : std::nullopt) {
        m_departureStore->write(std::move(*content));
    }
}

auto mesh_control::onCommitted(const quorum::value_pointer &value) -> void
{
    m_reporter.learnEvacuations(value->evacuations);
    const auto revision = value->evacuations.revision;
    const bool isOrder = revision != std::exchange(m_publishedRevision, revision)
                         && value->version == m_publishedVersion;
    if (isOrder) {
        m_runtime.send(m_hub->publishEvacuations(base::clock::now()));
    }
    if (isOrder || value->version == 0) {
        return;
    }
    m_publishedVersion = value->version;
    const fleet::config_document document{value->version, value->content};
    m_runtime.send(m_hub->publish(document, base::clock::now()));
    applyDocument(document);
}

auto mesh_control::applyDocument(const fleet::config_document &document) -> void
{
    if (document.version <= m_appliedVersion) {
        return;
    }
    const auto text = base::decompress(document.content);
    auto configSet = text ? m_parseDocument(*text)
                          : tl::unexpected(std::string("the document can't be decompressed"));
    if (!configSet) {
        base::log(base::log_level::Error, "committed document can't be read",
                  {{"version", document.version}, {"error", configSet.error()}});
        return;
    }
    m_appliedVersion = document.version;
    base::log(base::log_level::Info, "configuration in force",
              {{"version", document.version},
               {"routes", configSet->routes.size()},
               {"organisations", configSet->organisations.size()}});
    m_callbacks.onConfiguration(
            std::make_shared<const config::snapshot>(document.version, std::move(*configSet)));
}

auto mesh_control::applyEvacuations(const base::evacuation_list &evacuations) -> void
{
    m_evacuatedDomains.Set(static_cast<double>(evacuations.items.size()));
    if (evacuations.items != m_loggedEvacuations) {
        m_loggedEvacuations = evacuations.items;
        std::string domains;
        for (const auto &item : evacuations.items) {
            domains += (domains.empty() ? "" : " ") + item.failureDomain.str() + "@"
                       + std::to_string(item.since);
        }
        base::log(base::log_level::Info, "evacuations in force",
                  {{"domains", domains}, {"revision", evacuations.revision}});
    }
    m_callbacks.onEvacuations(evacuations);
}

auto mesh_control::isConfigurationCurrent(base::time_point now) const -> bool
{
    return m_appliedVersion > 0 && m_appliedVersion == m_reporter.configVersion()
           && now - m_reporter.confirmation().time <= MAX_CONFIRMATION_AGE;
}

auto mesh_control::setUpstreams(std::vector<membership::upstream_entry> upstreams) -> void
{
    m_reporter.setUpstreams(std::move(upstreams));
    m_runtime.send(m_reporter.tick(base::clock::now()));
}

auto mesh_control::awaitUpstreamsStored() -> boost::asio::awaitable<bool>
{
    const auto isDone = [this] {
        return m_knowsFormerUpstreams && m_reporter.isStored(m_reporter.self().sequence);
    };
    const auto deadline = base::clock::now() + DEPARTURE_TIMEOUT;
    if (!isDone()) {
        m_runtime.send(m_reporter.requestStorage(base::clock::now()));
    }
    boost::asio::steady_timer timer(m_context);
    m_storageWaits.insert(&timer);
    while (!isDone() && base::clock::now() < deadline) {
        timer.expires_at(deadline);
        boost::system::error_code cancelled;
        co_await timer.async_wait(
                boost::asio::redirect_error(boost::asio::use_awaitable, cancelled));
    }
    m_storageWaits.erase(&timer);
    co_return isDone();
}

auto mesh_control::wakeStorageWaits() -> void
{
    for (auto *timer : m_storageWaits) {
        timer->cancel();
    }
}

auto mesh_control::setCrashRecords(std::vector<base::crash_record> records) -> void
{
    if (m_reporter.self().crashRecords != records) {
        m_reporter.setCrashRecords(std::move(records));
        m_runtime.send(m_reporter.tick(base::clock::now()));
    }
}

auto mesh_control::setSeeds(const std::vector<std::string> &seeds) -> void
{
    m_reporter.setContacts(seedNodes(seeds));
}

auto mesh_control::leave() -> void
{
    const auto now = base::clock::now();
    m_reporter.setState(membership::node_state::Leaving);
    m_runtime.send(m_reporter.tick(now));
    if (m_hub) {
        m_runtime.send(m_hub->leave(now));
    }
}

auto mesh_control::submitChange(quorum::config_change configChange)
        -> boost::asio::awaitable<quorum::group_answer>
{
    return m_quorum->change(std::move(configChange), QUORUM_TIMEOUT);
}

// An order that another one overtook was not applied; it is checked again and proposed anew.
auto mesh_control::orderEvacuation(base::failure_domain_id failureDomain, bool starts)
        -> boost::asio::awaitable<evacuation_answer>
{
    const auto deadline = base::clock::now() + QUORUM_TIMEOUT;
    for (auto now = base::clock::now(); now < deadline; now = base::clock::now()) {
        if (!m_knowsFormerUpstreams) {
            co_return evacuation_answer{
                    evacuation_outcome::Unavailable,
                    "this node has just started and doesn't know all upstreams yet; repeat the "
                    "order or send it to another node"};
        }
        auto current = co_await m_quorum->readEvacuations(deadline - now);
        auto *evacuations = std::get_if<quorum::current_evacuations>(&current);
        if (evacuations == nullptr) {
            co_return unavailableEvacuation(current);
        }
        const auto revision = evacuations->list.revision;
        const evacuation_check check{std::move(evacuations->list), m_view, m_failureDomains};
        if (auto refusal = check.refusalOf(failureDomain, starts)) {
            co_return std::move(*refusal);
        }
        const quorum::evacuation_order order{m_random.bits(), revision, failureDomain, starts,
                                             base::wallClockMilliseconds()};
        const auto answer = co_await m_quorum->order(order, deadline - base::clock::now());
        if (std::holds_alternative<quorum::order_accepted>(answer)) {
            co_return evacuation_answer{evacuation_outcome::Acknowledged, {}};
        }
        if (!std::holds_alternative<quorum::order_outdated>(answer)) {
            co_return unavailableEvacuation(answer);
        }
    }
    co_return evacuation_answer{
            evacuation_outcome::Unavailable,
            "other orders came first until the time was over; repeat the order"};
}

auto mesh_control::readConfiguration() -> boost::asio::awaitable<quorum::group_answer>
{
    auto answer = co_await m_quorum->read(QUORUM_TIMEOUT);
    auto *document = std::get_if<quorum::current_document>(&answer);
    if (document == nullptr) {
        co_return answer;
    }
    auto text = document->version == 0 ? std::nullopt : base::decompress(document->content);
    if (!text) {
        co_return quorum::group_unavailable{
                "no configuration has been committed, or the committed document "
                "can't be decompressed"};
    }
    document->content = std::move(*text);
    co_return answer;
}

} // namespace hawthornpick::app
