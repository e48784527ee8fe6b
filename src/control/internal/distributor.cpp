#include "control/distributor.h"

#include "base/log.h"

namespace hawthornpick::control {

namespace {

// Interval at which more peers are asked for a content that is missing.
constexpr base::milliseconds REQUEST_INTERVAL{200};

} // namespace

distributor::distributor(config::snapshot_cell &snapshotCell,
                         lease::currency_client &currencyClient,
                         transfer::content_exchange &exchange, peers_function peers,
                         base::random_source random)
    : m_snapshotCell(snapshotCell), m_currencyClient(currencyClient), m_exchange(exchange),
      m_peers(std::move(peers)), m_random(random),
      m_publishedVersion(snapshotCell.load()->version())
{}

auto distributor::poll(base::time_point now) -> messages
{
    const auto &newest = m_currencyClient.newestHeard();
    if (newest.version <= m_publishedVersion || newest.version == m_undecodableVersion) {
        return {};
    }
    if (const auto content = m_exchange.store().find(newest.digest)) {
        publish(newest, content);
        return {};
    }
    if (m_requestedVersion == newest.version && now - m_requestedAt < REQUEST_INTERVAL) {
        return {};
    }
    m_requestedVersion = newest.version;
    m_requestedAt = now;
    return m_exchange.want(newest.digest, chooseSources(), now);
}

auto distributor::publish(const lease::version_id &version,
                          const transfer::content_pointer &content) -> void
{
    auto configSet = config::decode(*content);
    if (!configSet) {
        // The leader decodes each set before it proposes it, so this happens only if the leader
        // runs a program version whose format differs.
        m_undecodableVersion = version.version;
        base::log(base::log_level::Error, "an accepted configuration cannot be decoded",
                  {{"version", version.version}});
        return;
    }
    m_snapshotCell.store(
            std::make_shared<const config::snapshot>(version.version, std::move(*configSet)));
    m_publishedVersion = version.version;
    m_currencyClient.setVersion(m_publishedVersion);
}

auto distributor::chooseSources() -> std::vector<base::node_id>
{
    std::vector<base::node_id> chosen{m_currencyClient.heardFrom()};
    const auto peers = m_peers();
    for (std::size_t i = 0; i < RANDOM_SOURCE_COUNT && !peers.empty(); ++i) {
        chosen.push_back(peers[m_random.below(peers.size())]);
    }
    return chosen;
}

} // namespace hawthornpick::control
