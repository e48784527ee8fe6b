#include "control/distributor.h"

#include "base/log.h"

namespace hawthornpick::control {

namespace {

// How often other peers are added to those that are asked.
constexpr base::milliseconds WANT_INTERVAL{200};

} // namespace

distributor::distributor(config::snapshot_cell &cell, lease::currency_client &currency,
                         transfer::content_exchange &exchange, peers_function peers,
                         base::random_source random)
    : m_cell(cell), m_currency(currency), m_exchange(exchange), m_peers(std::move(peers)),
      m_random(random), m_published(cell.load()->version())
{}

auto distributor::poll(base::time_point now) -> messages
{
    const auto &newest = m_currency.newestHeard();
    if (newest.version <= m_published || newest.version == m_refused) {
        return {};
    }
    if (const auto content = m_exchange.store().find(newest.digest)) {
        publish(newest, content);
        return {};
    }
    if (m_wanted == newest.version && now - m_wantedAt < WANT_INTERVAL) {
        return {};
    }
    m_wanted = newest.version;
    m_wantedAt = now;
    return m_exchange.want(newest.digest, sources(), now);
}

auto distributor::publish(const lease::version_id &version,
                          const transfer::content_pointer &content) -> void
{
    auto set = config::decode(*content);
    if (!set) {
        // The leader decodes each set before it proposes it, so this is a difference in the code.
        m_refused = version.version;
        base::log(base::log_level::Error, "an accepted configuration cannot be decoded",
                  {{"version", version.version}});
        return;
    }
    m_cell.store(std::make_shared<const config::snapshot>(version.version, std::move(*set)));
    m_published = version.version;
    m_currency.setVersion(m_published);
}

auto distributor::sources() -> std::vector<base::node_id>
{
    std::vector<base::node_id> out{m_currency.heardFrom()};
    const auto peers = m_peers();
    for (std::size_t i = 0; i < RANDOM_SOURCES && !peers.empty(); ++i) {
        out.push_back(peers[m_random.below(peers.size())]);
    }
    return out;
}

} // namespace hawthornpick::control
