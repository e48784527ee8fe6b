#include "fleet/hub.h"

#include <set>

namespace hawthornpick::fleet {

namespace {

auto addTo(base::usage_map &sum, const base::usage_map &part) -> void
{
    for (const auto &[organisation, usage] : part) {
        auto &total = sum[organisation];
        total.demand += usage.demand;
        total.admitted += usage.admitted;
    }
}

} // namespace

hub::hub(hub_options options, node_record self, std::function<bool(base::time_point)> isFresh,
         over_limit_function isOverLimit)
    : m_options(std::move(options)), m_self(std::move(self)), m_isFresh(std::move(isFresh)),
      m_isOverLimit(std::move(isOverLimit)), m_records(m_options.boot)
{
    m_self.isHub = true;
    m_records.merge(m_self);
}

auto hub::receive(const base::node_id &from, const message &content, base::time_point now)
        -> messages
{
    if (const auto *item = std::get_if<report>(&content)) {
        return onReport(from, *item, now);
    }
    if (const auto *item = std::get_if<sync_request>(&content)) {
        return onSync(from, *item, now);
    }
    if (const auto *item = std::get_if<sync_answer>(&content)) {
        onSyncAnswer(from, *item);
    }
    return {};
}

auto hub::tick(base::time_point now) -> messages
{
    if (now < m_syncAt) {
        return {};
    }
    m_syncAt = now + SYNC_INTERVAL;
    forgetSilentNodes(now);
    return syncAll(now);
}

auto hub::publish(config_document document, base::time_point now) -> messages
{
    m_document = std::move(document);
    messages out;
    for (const auto &[node, state] : m_reporters) {
        if (now - state.heardAt <= NOTICE_TIME) {
            out.push_back(toMessage(node, config_notice{m_document}));
        }
    }
    return out;
}

auto hub::leave(base::time_point now) -> messages
{
    m_self.entry.state = membership::node_state::Leaving;
    ++m_self.sequence;
    m_records.merge(m_self);
    return syncAll(now);
}

auto hub::onReport(const base::node_id &from, const report &content, base::time_point now)
        -> messages
{
    report_answer answer;
    const auto *known = m_records.find(from);
    if (known != nullptr && known->generation > content.self.generation) {
        // The host's clock went back before the node restarted.
        answer.knownGeneration = known->generation;
    }
    m_records.merge(content.self);
    m_reporters[from] = {now, content.usages};
    answer.mark = m_records.mark();
    answer.isWhole = content.known.boot != m_options.boot;
    answer.records = m_records.changedSince(content.known);
    answer.isFresh = m_isFresh(now);
    if (m_document.version > content.version) {
        answer.document = m_document;
    }
    answer.totals = totalsFor(content.usages, now);
    return {toMessage(from, answer)};
}

auto hub::onSync(const base::node_id &from, const sync_request &content, base::time_point now)
        -> messages
{
    m_records.merge(content.self);
    auto &peer = m_peers[from];
    peer.heardAt = now;
    peer.usages = content.usages;
    const auto records = m_records.changedSince(content.known);
    if (records.empty()) {
        return {};
    }
    return {toMessage(from, sync_answer{m_records.mark(), records})};
}

auto hub::onSyncAnswer(const base::node_id &from, const sync_answer &content) -> void
{
    m_peers[from].known = content.mark;
    for (const auto &record : content.records) {
        if (record.entry.id == m_self.entry.id) {
            // Another process of this host used a higher generation.
            if (record.isNewerThan(m_self)) {
                m_self.generation = record.generation + 1;
                m_records.merge(m_self);
            }
            continue;
        }
        if (m_records.merge(record)) {
            // A newer record from elsewhere shows that the node reports to another hub.
            m_reporters.erase(record.entry.id);
        }
    }
}

auto hub::syncAll(base::time_point now) -> messages
{
    std::set<base::node_id> targets(m_options.contacts.begin(), m_options.contacts.end());
    m_records.forEach([&targets](const node_record &record) {
        if (record.isHub && record.entry.state == membership::node_state::Alive) {
            targets.insert(record.entry.id);
        }
    });
    targets.erase(m_self.entry.id);
    const auto usages = ownUsage(now);
    messages out;
    for (const auto &target : targets) {
        out.push_back(toMessage(target, sync_request{m_self, m_peers[target].known, usages}));
    }
    return out;
}

auto hub::forgetSilentNodes(base::time_point now) -> void
{
    for (auto item = m_reporters.begin(); item != m_reporters.end();) {
        if (now - item->second.heardAt < NODE_LIFE) {
            ++item;
            continue;
        }
        auto record = *m_records.find(item->first);
        record.entry.state = membership::node_state::Dead;
        ++record.sequence;
        m_records.merge(record);
        item = m_reporters.erase(item);
    }
}

auto hub::ownUsage(base::time_point now) const -> base::usage_map
{
    base::usage_map sum;
    for (const auto &[node, state] : m_reporters) {
        if (now - state.heardAt <= DEMAND_LIFE) {
            addTo(sum, state.usages);
        }
    }
    return sum;
}

auto hub::totalsFor(const base::usage_map &wanted, base::time_point now) const -> base::usage_map
{
    auto sum = ownUsage(now);
    for (const auto &[node, peer] : m_peers) {
        if (now - peer.heardAt <= DEMAND_LIFE) {
            addTo(sum, peer.usages);
        }
    }
    std::erase_if(sum, [&](const auto &item) {
        return !wanted.contains(item.first) && !m_isOverLimit(item.first, item.second);
    });
    return sum;
}

} // namespace hawthornpick::fleet
