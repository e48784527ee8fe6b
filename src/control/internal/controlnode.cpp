#include "control/controlnode.h"

#include "base/digest.h"

#include <algorithm>

namespace hawthornpick::control {

namespace {

// A chain of messages within one node is short; the bound ends an unforeseen loop.
constexpr int MAX_LOCAL_ROUNDS = 64;

auto append(control_node::messages &out, control_node::messages batch) -> void
{
    out.insert(out.end(), std::make_move_iterator(batch.begin()),
               std::make_move_iterator(batch.end()));
}

auto idsOf(const std::vector<config::named_node> &nodes) -> std::vector<base::node_id>
{
    std::vector<base::node_id> out;
    out.reserve(nodes.size());
    for (const auto &node : nodes) {
        out.push_back(node.id);
    }
    return out;
}

auto placeOf(const control_node_options &options) -> lease::node_place
{
    const auto witnesses = options.witnesses.find(options.region);
    return {options.self, options.region, options.incarnation,
            witnesses == options.witnesses.end() ? std::vector<base::node_id>{}
                                                 : witnesses->second};
}

auto randomFor(const control_node_options &options, std::string_view purpose) -> base::random_source
{
    return base::random_source(base::hash64(purpose, options.seed));
}

} // namespace

auto optionsFrom(const config::settings &settings, base::incarnation incarnation,
                 std::uint64_t seed) -> control_node_options
{
    control_node_options out;
    out.self = settings.node;
    out.region = settings.region;
    out.incarnation = incarnation;
    out.controllers = idsOf(settings.controllers);
    for (const auto &[region, witnesses] : settings.witnesses) {
        out.witnesses[region] = idsOf(witnesses);
    }
    out.seed = seed;
    return out;
}

auto control_node::create(control_node_options options, std::optional<storage> disk,
                          config::snapshot_cell &cell, distributor::peers_function peers,
                          base::time_point now) -> storage_result<std::unique_ptr<control_node>>
{
    std::unique_ptr<control_node> node(new control_node(options, cell, std::move(peers), now));
    if (!disk) {
        return node;
    }
    replica_options replicaOptions{options.self, options.controllers};
    replicaOptions.compactAfterEntries = options.compactAfterEntries;
    auto created =
            controller::create(std::move(replicaOptions), options.witnesses, std::move(*disk),
                               node->m_exchange, randomFor(options, "replica"), now);
    if (!created) {
        return tl::unexpected(created.error());
    }
    node->m_controller = std::move(*created);
    return node;
}

control_node::control_node(const control_node_options &options, config::snapshot_cell &cell,
                           distributor::peers_function peers, base::time_point now)
    : m_self(options.self), m_exchange(m_store, randomFor(options, "exchange")),
      m_currency(placeOf(options), randomFor(options, "currency")),
      m_leases(placeOf(options), randomFor(options, "leases")),
      m_operators(options.controllers, m_exchange, randomFor(options, "operators")),
      m_distributor(cell, m_currency, m_exchange, std::move(peers),
                    randomFor(options, "distributor"))
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

auto control_node::receive(const base::node_id &from, base::channel kind, std::string_view payload,
                           base::time_point now) -> messages
{
    return finish(dispatch(from, kind, payload, now), now);
}

auto control_node::dispatch(const base::node_id &from, base::channel kind, std::string_view payload,
                            base::time_point now) -> messages
{
    messages out;
    switch (kind) {
    case base::channel::Distribution:
        out = m_exchange.receive(from, payload, now);
        break;
    case base::channel::Currency:
        out = m_currency.receive(from, payload, now);
        for (auto &[region, witness] : m_witnesses) {
            append(out, witness->receive(from, payload, now));
        }
        break;
    case base::channel::Lease:
        out = m_leases.receive(from, payload, now);
        for (auto &[region, witness] : m_witnesses) {
            append(out, witness->receiveLease(from, payload, now));
        }
        break;
    case base::channel::Consensus:
        out = m_operators.receive(from, payload, now);
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
    append(out, m_currency.tick(now));
    append(out, m_leases.tick(now));
    append(out, m_operators.tick(now));
    for (auto &[region, witness] : m_witnesses) {
        append(out, witness->tick(now));
    }
    if (m_controller) {
        append(out, m_controller->tick(now));
    }
    return finish(std::move(out), now);
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

// Delivers messages of the node to itself; returns those to others.
auto control_node::finish(messages batch, base::time_point now) -> messages
{
    messages out;
    append(batch, advance(now));
    for (int i = 0; i < MAX_LOCAL_ROUNDS && !batch.empty(); ++i) {
        messages local;
        for (auto &item : batch) {
            (item.to == m_self ? local : out).push_back(std::move(item));
        }
        batch.clear();
        for (const auto &item : local) {
            append(batch, dispatch(m_self, item.kind, item.payload, now));
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
    return finish(m_operators.apply(std::move(change), std::move(done), now), now);
}

auto control_node::changeResult(const std::string &changeId, change_callback done,
                                base::time_point now) -> messages
{
    return finish(m_operators.changeResult(changeId, std::move(done), now), now);
}

auto control_node::status(status_callback done, base::time_point now) -> messages
{
    return finish(m_operators.status(std::move(done), now), now);
}

auto control_node::replaceController(const base::node_id &oldNode, const base::node_id &newNode,
                                     const std::string &changeId, change_callback done,
                                     base::time_point now) -> messages
{
    return finish(m_operators.replaceController(oldNode, newNode, changeId, std::move(done), now),
                  now);
}

} // namespace hawthornpick::control
