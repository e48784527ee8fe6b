#include "atmostonce/internal/replicastate.h"

#include "base/thriftcodec.h"

#include <algorithm>
#include <utility>

namespace hawthornpick::atmostonce {

namespace {

constexpr std::size_t PAGE_BYTES = 16UL * 1024;
// Bytes of a copied record besides its key and answer, rounded up.
constexpr std::size_t RECORD_BYTES = 120;
constexpr base::duration COPY_RETRY = std::chrono::milliseconds(200);
// A source that said "recovering" is asked again after this time; older statements don't count.
constexpr base::duration STATEMENT_LIFE = std::chrono::seconds(2);

} // namespace

auto replica_state::servePage(const base::node_id &from, const message &request,
                              base::time_point now) -> message
{
    // From here on clients learn that votes of the sender's earlier incarnations are lost.
    auto &known = m_incarnations[from.str()];
    known = std::max(known, request.sender_incarnation);
    if (m_recovering) {
        return reply(request, message_kind::Recovering);
    }
    auto page = reply(request, message_kind::CopyPage);
    page.key = request.key;
    page.__set_page({});
    std::size_t bytes = 0;
    auto item = m_records.upper_bound(request.key);
    for (; item != m_records.end() && bytes < PAGE_BYTES; ++item) {
        if (now >= item->second.expires) {
            continue;
        }
        wire::copied_record copy;
        copy.key = item->first;
        copy.promised = item->second.promised;
        copy.accepted = item->second.accepted;
        copy.value = item->second.value;
        copy.age_ms = base::toMilliseconds(now - item->second.acceptedAt);
        bytes += copy.key.size() + copy.value.answer.size() + RECORD_BYTES;
        page.page.push_back(std::move(copy));
    }
    page.__set_last_page(item == m_records.end());
    return page;
}

auto replica_state::takePage(const base::node_id &from, const message &page, base::time_point now)
        -> messages
{
    const auto found = m_sources.find(from);
    // The ballot of a copy request is the incarnation that asked.
    const bool expected = page.number.round == static_cast<std::int64_t>(m_settings.incarnation);
    if (!m_recovering || found == m_sources.end() || !expected) {
        return {};
    }
    auto &source = found->second;
    for (const auto &[node, incarnation] : page.incarnations) {
        auto &known = m_incarnations[node];
        known = std::max(known, incarnation);
    }
    if (kindOf(page) == message_kind::Recovering) {
        source.recoveringAt = now;
        return {};
    }
    if (source.done || page.key != source.cursor) {
        return {};
    }
    for (const auto &copy : page.page) {
        merge(copy, now);
    }
    source.done = page.last_page;
    if (!page.page.empty()) {
        source.cursor = page.page.back().key;
    }
    finishIfCopied(now);
    if (source.done || !m_recovering) {
        return {};
    }
    return {copyRequest(from, source, now)};
}

auto replica_state::merge(const wire::copied_record &copy, base::time_point now) -> void
{
    auto &item = m_records[copy.key];
    if (lower(item.promised, copy.promised)) {
        item.promised = copy.promised;
    }
    // A promise is kept for as long as one that this replica made itself.
    item.expires = std::max(item.expires, now + std::chrono::minutes(2));
    if (lower(item.accepted, copy.accepted)) {
        store(item, copy.accepted, copy.value, now - base::milliseconds(copy.age_ms));
    }
}

auto replica_state::copyRequest(const base::node_id &to, copy_source &source, base::time_point now)
        -> base::outgoing_message
{
    source.askedAt = now;
    message request;
    request.kind = static_cast<std::int8_t>(message_kind::CopyRequest);
    request.key = source.cursor;
    request.number.round = static_cast<std::int64_t>(m_settings.incarnation);
    request.__set_region(m_settings.region.str());
    request.__set_sender_incarnation(static_cast<std::int64_t>(m_settings.incarnation));
    return {to, base::channel::Idempotency, base::encodeThrift(request)};
}

auto replica_state::tickRecovery(base::time_point now) -> messages
{
    if (!m_startedAt) {
        m_startedAt = now;
    }
    finishIfCopied(now);
    messages out;
    for (auto &[node, source] : m_sources) {
        if (m_recovering && !source.done && now - source.askedAt >= COPY_RETRY) {
            out.push_back(copyRequest(node, source, now));
        }
    }
    return out;
}

auto replica_state::finishIfCopied(base::time_point now) -> void
{
    const auto isDone = [](const auto &source) {
        return source.second.done;
    };
    const auto answers = [now](const auto &source) {
        const auto at = source.second.recoveringAt;
        return source.second.done || (at && now - *at < STATEMENT_LIFE);
    };
    const auto done = std::count_if(m_sources.begin(), m_sources.end(), isDone);
    const auto needed = std::min(m_settings.replicas.size() / 2 + 1, m_sources.size());
    const bool copied = static_cast<std::size_t>(done) >= needed;
    const bool coldStart = m_startedAt && now - *m_startedAt >= m_settings.coldStartWait
                           && std::all_of(m_sources.begin(), m_sources.end(), answers);
    m_recovering = !copied && !coldStart;
}

} // namespace hawthornpick::atmostonce
