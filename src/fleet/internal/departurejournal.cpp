#include "fleet/departurejournal.h"

#include <algorithm>

namespace hawthornpick::fleet {

namespace {

// Leaves out all that changes without a change of the departures, so that it causes no write.
auto departuresOf(const node_record &record) -> node_record
{
    const auto stays = [](const membership::upstream_entry &item) {
        return !item.isLeaving;
    };
    node_record kept;
    kept.entry = record.entry;
    kept.entry.state = membership::node_state::Dead;
    kept.generation = record.generation;
    kept.isHub = record.isHub;
    kept.formerUpstreams = record.formerUpstreams;
    std::erase_if(kept.entry.upstreams, stays);
    std::erase_if(kept.formerUpstreams, stays);
    return kept;
}

} // namespace

auto departure_journal::onLoaded(std::string_view content, base::time_point now)
        -> std::vector<node_record>
{
    m_loadedAt = now;
    return decodeRecords(content);
}

auto departure_journal::update(const record_table &records, base::time_point now) -> void
{
    if (m_cursor == records.cursor()) {
        return;
    }
    m_cursor = records.cursor();
    std::vector<node_record> departures;
    for (const auto &record : records.departures()) {
        if (!isUnheard(record, now)) {
            departures.push_back(departuresOf(record));
        }
    }
    if (departures != m_departures) {
        m_departures = std::move(departures);
        ++m_revision;
    }
}

// A record that only the file tells of has no sequence.
auto departure_journal::isUnheard(const node_record &record, base::time_point now) const -> bool
{
    return record.sequence == 0 && record.entry.state == membership::node_state::Dead && m_loadedAt
           && now - *m_loadedAt >= UNHEARD_RETENTION;
}

auto departure_journal::takeWrite() -> std::optional<departure_write>
{
    if (!m_loadedAt || m_isWriteInProgress || m_writtenRevision == m_revision) {
        return std::nullopt;
    }
    m_isWriteInProgress = true;
    return departure_write{m_revision, encodeRecords(m_departures)};
}

auto departure_journal::onWritten(std::uint64_t revision) -> messages
{
    m_isWriteInProgress = false;
    m_writtenRevision = revision;
    messages out;
    std::erase_if(m_deferredAnswers, [&out, revision](auto &item) {
        if (item.second.requiredRevision > revision) {
            return false;
        }
        out.push_back(std::move(item.second.answer));
        return true;
    });
    return out;
}

auto departure_journal::sendWhenDurable(base::outgoing_message answer) -> messages
{
    if (m_loadedAt && m_writtenRevision == m_revision) {
        return {std::move(answer)};
    }
    const auto receiver = answer.to;
    m_deferredAnswers.insert_or_assign(receiver, deferred_answer{m_revision, std::move(answer)});
    return {};
}

} // namespace hawthornpick::fleet
