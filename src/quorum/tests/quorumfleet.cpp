#include "quorum/tests/quorumfleet.h"

#include <CppUTest/TestHarness.h>

namespace hawthornpick::testing {

namespace {

auto editText(base::config_version /*version*/, const std::string &current,
              const quorum::config_change &change) -> tl::expected<std::string, std::string>
{
    if (change.body == "invalid") {
        return tl::unexpected(std::string("invalid"));
    }
    return current + change.body;
}

} // namespace

quorum_fleet::quorum_fleet(std::uint64_t seed, int nodes, int seeds)
    : m_network(seed, {0.01, 0.01, std::chrono::microseconds(200), std::chrono::milliseconds(25)}),
      m_nodes(nodes)
{
    for (int i = 0; i < seeds; ++i) {
        m_contacts.push_back(name(i));
    }
    for (int i = 0; i < nodes; ++i) {
        attach(i, true);
    }
}

auto quorum_fleet::name(int index) -> base::node_id
{
    return base::node_id("n" + std::to_string(index));
}

auto quorum_fleet::attach(int index, bool isFirstStart) -> void
{
    const auto node = name(index);
    quorum::replica_options options{node, isFirstStart ? m_contacts : std::vector<base::node_id>{},
                                    m_contacts};
    m_replicas[node] = std::make_unique<quorum::replica>(
            options, m_disks[node], editText, base::random_source(m_network.random().bits()),
            m_network.now());
    m_seen.erase(node);
    const auto receive = [this, node](const base::node_id &from, base::channel /*kind*/,
                                      std::string_view payload, base::time_point now) {
        if (const auto content = quorum::decodeMessage(payload)) {
            m_replicas.at(node)->receive(from, *content, now);
        }
        flush(node);
        return testsupport::virtual_network::messages{};
    };
    const auto tick = [this, node](base::time_point now) {
        m_replicas.at(node)->tick(now);
        flush(node);
        return testsupport::virtual_network::messages{};
    };
    m_network.attach(node, receive, tick);
}

auto quorum_fleet::flush(const base::node_id &node) -> void
{
    auto &item = *m_replicas.at(node);
    m_network.send(node, item.takeMessages());
    if (auto job = item.takeStorage()) {
        const auto own = m_diskTimes.find(node);
        const auto time = own == m_diskTimes.end() ? m_diskTime : own->second;
        m_writes[node] = {std::move(*job), m_network.now() + time};
    }
    for (const auto &done : item.takeFinished()) {
        const auto key = std::pair(node, done.ticket);
        if (const auto *accepted = std::get_if<quorum::change_accepted>(&done.answer)) {
            m_accepted = std::max(m_accepted, accepted->version);
            ++m_acceptedCount;
        }
        if (const auto *document = std::get_if<quorum::current_document>(&done.answer)) {
            const auto wanted = m_reads.find(key);
            CHECK_TEXT(wanted == m_reads.end() || document->version >= wanted->second.atLeast,
                       "a confirmed read is older than an accepted change");
        }
        m_reads.erase(key);
    }
}

auto quorum_fleet::finishWrites() -> void
{
    for (auto write = m_writes.begin(); write != m_writes.end();) {
        if (write->second.doneAt > m_network.now()) {
            ++write;
            continue;
        }
        const auto node = write->first;
        const auto job = write->second.job;
        write = m_writes.erase(write);
        m_disks[node] = job.state;
        if (m_replicas.contains(node)) {
            m_replicas.at(node)->persisted(job.ticket, m_network.now());
            flush(node);
        }
        write = m_writes.begin();
    }
}

auto quorum_fleet::run(base::milliseconds span) -> void
{
    m_network.run(span, [this] {
        finishWrites();
        check();
    });
}

// A version has one content for ever, and no node goes back while it runs.
auto quorum_fleet::check() -> void
{
    for (const auto &[node, item] : m_replicas) {
        const auto &value = item->committed();
        if (!value) {
            continue;
        }
        auto &seen = m_seen[node];
        CHECK_TEXT(value->version >= seen, "a node went back to an older version");
        seen = value->version;
        const auto known = m_contents.try_emplace(value->version, value->content).first;
        CHECK_TEXT(known->second == value->content, "one version has two contents");
    }
}

auto quorum_fleet::start(int index) -> void
{
    attach(index, false);
}

auto quorum_fleet::crash(int index) -> void
{
    const auto node = name(index);
    m_network.crash(node);
    m_replicas.erase(node);
    m_writes.erase(node);
    std::erase_if(m_reads, [&](const auto &item) { return item.first.first == node; });
}

auto quorum_fleet::wipe(int index) -> void
{
    crash(index);
    m_disks.erase(name(index));
}

auto quorum_fleet::submit(int index, const quorum::config_change &wanted) -> bool
{
    if (!isUp(index)) {
        return false;
    }
    const auto node = name(index);
    m_submitted[{node, m_replicas.at(node)->submit(wanted, m_network.now())}] = wanted.version;
    flush(node);
    return true;
}

auto quorum_fleet::change(int index) -> bool
{
    quorum::config_change wanted;
    wanted.version = ++m_lastVersion;
    wanted.body = "v" + std::to_string(wanted.version) + " ";
    wanted.digest = "change-" + std::to_string(wanted.version);
    m_changes.push_back(wanted);
    return submit(index, wanted);
}

auto quorum_fleet::repeat(int index, std::size_t which) -> bool
{
    return submit(index, m_changes.at(which));
}

auto quorum_fleet::read(int index) -> bool
{
    if (!isUp(index)) {
        return false;
    }
    const auto node = name(index);
    const auto ticket = m_replicas.at(node)->read(m_network.now());
    m_reads[{node, ticket}] = {m_accepted};
    flush(node);
    return true;
}

auto quorum_fleet::leader() -> int
{
    int found = -1;
    std::uint64_t term = 0;
    for (int i = 0; i < m_nodes; ++i) {
        if (isUp(i) && replica(i).isReady() && replica(i).term() >= term) {
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
