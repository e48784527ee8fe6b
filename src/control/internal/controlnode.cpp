#include "control/controlnode.h"

#include "base/digest.h"

#include <algorithm>

namespace hawthornpick::control {

namespace {

// Objects of one node exchange only a few messages in a row. The limit ends an unforeseen endless
// exchange.
constexpr int MAX_LOCAL_DELIVERY_ROUNDS = 64;

auto append(control_node::messages &out, control_node::messages batch) -> void
{
    out.insert(out.end(), std::make_move_iterator(batch.begin()),
               std::make_move_iterator(batch.end()));
}

auto toNodeIds(const std::vector<config::named_node> &nodes) -> std::vector<base::node_id>
{
    std::vector<base::node_id> ids;
    ids.reserve(nodes.size());
    for (const auto &node : nodes) {
        ids.push_back(node.id);
    }
    return ids;
}

auto toNodePlace(const control_node_options &options) -> lease::node_place
{
    const auto witnesses = options.witnesses.find(options.region);
    return {options.self, options.region, options.incarnation,
            witnesses == options.witnesses.end() ? std::vector<base::node_id>{}
                                                 : witnesses->second};
}

auto makeRandomSource(const control_node_options &options, std::string_view purpose)
        -> base::random_source
{
    return base::random_source(base::hash64(purpose, options.seed));
}

} // namespace

auto optionsFrom(const config::settings &settings, base::incarnation incarnation,
                 std::uint64_t seed) -> control_node_options
{
    control_node_options options;
    options.self = settings.node;
    options.region = settings.region;
    options.incarnation = incarnation;
    options.controllers = toNodeIds(settings.controllers);
    for (const auto &[region, witnesses] : settings.witnesses) {
        options.witnesses[region] = toNodeIds(witnesses);
    }
    options.seed = seed;
    return options;
}

auto control_node::create(control_node_options options, std::optional<storage> logStorage,
                          config::snapshot_cell &snapshotCell, distributor::peers_function peers,
                          base::time_point now) -> storage_result<std::unique_ptr<control_node>>
{
    std::unique_ptr<control_node> node(
            new control_node(options, snapshotCell, std::move(peers), now));
    if (!logStorage) {
        return node;
    }
    replica_options replicaOptions{options.self, options.controllers};
    replicaOptions.compactAfterEntries = options.compactAfterEntries;
    auto created =
            controller::create(std::move(replicaOptions), options.witnesses, std::move(*logStorage),
                               node->m_exchange, makeRandomSource(options, "replica"), now);
    if (!created) {
        return tl::unexpected(created.error());
    }
    node->m_controller = std::move(*created);
    return node;
}

control_node::control_node(const control_node_options &options, config::snapshot_cell &snapshotCell,
                           distributor::peers_function peers, base::time_point now)
    : m_self(options.self), m_exchange(m_contentStore, makeRandomSource(options, "exchange")),
      m_currencyClient(toNodePlace(options), makeRandomSource(options, "currency")),
      m_leaseHolder(toNodePlace(options), makeRandomSource(options, "leases")),
      m_operatorClient(options.controllers, m_exchange, makeRandomSource(options, "operators")),
      m_distributor(snapshotCell, m_currencyClient, m_exchange, std::move(peers),
                    makeRandomSource(options, "distributor"))
{
    for (const auto &[region, witnesses] : options.witnesses) {
        if (std::find(witnesses.begin(), witnesses.end(), m_self) != witnesses.end()) {
            lease::witness_place place{m_self, region, options.incarnation, witnesses,
                                       options.controllers};
            m_witnesses[region] =
                    std::make_unique<lease::witness>(std::move(place), m_exchange, now);
        }
    }
}

auto control_node::ownWitness(const base::region_id &region) const -> const lease::witness *
{
    const auto found = m_witnesses.find(region);
    return found == m_witnesses.end() ? nullptr : found->second.get();
}

auto control_node::receive(const base::node_id &from, base::channel channel,
                           std::string_view payload, base::time_point now) -> messages
{
    return deliverLocalMessages(dispatch(from, channel, payload, now), now);
}

auto control_node::dispatch(const base::node_id &from, base::channel channel,
                            std::string_view payload, base::time_point now) -> messages
{
    messages out;
    switch (channel) {
    case base::channel::Distribution:
        out = m_exchange.receive(from, payload, now);
        break;
    case base::channel::Currency:
        out = m_currencyClient.receive(from, payload, now);
        for (auto &[region, witness] : m_witnesses) {
            append(out, witness->receive(from, payload, now));
        }
        break;
    case base::channel::Lease:
        out = m_leaseHolder.receive(from, payload, now);
        for (auto &[region, witness] : m_witnesses) {
            append(out, witness->receiveLease(from, payload, now));
        }
        break;
    case base::channel::Consensus:
        out = m_operatorClient.receive(from, payload, now);
        if (m_controller) {
            append(out, m_controller->receive(from, payload, now));
        }
        break;
    default:
        break;
    }
    return out;
}

auto control_node::tick(base::time_point now) -> messages
{
    auto out = m_exchange.tick(now);
    append(out, m_currencyClient.tick(now));
    append(out, m_leaseHolder.tick(now));
    append(out, m_operatorClient.tick(now));
    for (auto &[region, witness] : m_witnesses) {
        append(out, witness->tick(now));
    }
    if (m_controller) {
        append(out, m_controller->tick(now));
    }
    return deliverLocalMessages(std::move(out), now);
}

auto control_node::advance(base::time_point now) -> messages
{
    messages out;
    for (auto &[region, witness] : m_witnesses) {
        append(out, witness->poll(now));
    }
    if (m_controller) {
        append(out, m_controller->advance(now));
    }
    append(out, m_distributor.poll(now));
    return out;
}

// Delivers the messages that the node sends to itself, and those that result from them. Returns the
// messages to other nodes.
auto control_node::deliverLocalMessages(messages batch, base::time_point now) -> messages
{
    messages out;
    append(batch, advance(now));
    for (int i = 0; i < MAX_LOCAL_DELIVERY_ROUNDS && !batch.empty(); ++i) {
        messages local;
        for (auto &message : batch) {
            (message.to == m_self ? local : out).push_back(std::move(message));
        }
        batch.clear();
        for (const auto &message : local) {
            append(batch, dispatch(m_self, message.kind, message.payload, now));
        }
        if (!local.empty()) {
            append(batch, advance(now));
        }
    }
    return out;
}

auto control_node::apply(change_request change, change_callback done, base::time_point now)
        -> messages
{
    return deliverLocalMessages(m_operatorClient.apply(std::move(change), std::move(done), now),
                                now);
}

auto control_node::changeResult(const std::string &changeId, change_callback done,
                                base::time_point now) -> messages
{
    return deliverLocalMessages(m_operatorClient.changeResult(changeId, std::move(done), now), now);
}

auto control_node::status(status_callback done, base::time_point now) -> messages
{
    return deliverLocalMessages(m_operatorClient.status(std::move(done), now), now);
}

auto control_node::replaceController(const base::node_id &oldNode, const base::node_id &newNode,
                                     const std::string &changeId, change_callback done,
                                     base::time_point now) -> messages
{
    return deliverLocalMessages(
            m_operatorClient.replaceController(oldNode, newNode, changeId, std::move(done), now),
            now);
}

} // namespace hawthornpick::control
