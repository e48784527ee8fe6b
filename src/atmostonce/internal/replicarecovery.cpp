#include "atmostonce/internal/replicastate.h"

#include "base/thriftcodec.h"

#include <algorithm>
#include <utility>

namespace hawthornpick::atmostonce {

namespace {

constexpr std::size_t TARGET_PAGE_BYTES = 16UL * 1024;
// Size of a copied record without its key and answer, rounded up.
constexpr std::size_t RECORD_OVERHEAD_BYTES = 120;
constexpr base::duration COPY_RETRY_INTERVAL = std::chrono::milliseconds(200);
// A source that replied "recovering" is asked again after this time; its older reply no longer
// counts.
constexpr base::duration RECOVERING_REPLY_VALIDITY = std::chrono::seconds(2);

} // namespace

auto replica_state::makeCopyPage(const base::node_id &from, const message &request,
                                 base::time_point now) -> message
{
    // Replies to clients carry this incarnation, so that they discard votes of earlier ones.
    auto &newest = m_newestIncarnations[from.str()];
    newest = std::max(newest, request.sender_incarnation);
    if (m_recovering) {
        return reply(request, message_kind::Recovering);
    }
    auto page = reply(request, message_kind::CopyPage);
    page.key = request.key;
    page.__set_page({});
    std::size_t bytes = 0;
    auto stored = m_records.upper_bound(request.key);
    for (; stored != m_records.end() && bytes < TARGET_PAGE_BYTES; ++stored) {
        if (now >= stored->second.expires) {
            continue;
        }
        wire::copied_record copy;
        copy.key = stored->first;
        copy.promised = stored->second.promised;
        copy.accepted = stored->second.accepted;
        copy.value = stored->second.value;
        copy.age_ms = base::toMilliseconds(now - stored->second.acceptedAt);
        bytes += copy.key.size() + copy.value.answer.size() + RECORD_OVERHEAD_BYTES;
        page.page.push_back(std::move(copy));
    }
    page.__set_last_page(stored == m_records.end());
    return page;
}

auto replica_state::applyPage(const base::node_id &from, const message &page, base::time_point now)
        -> messages
{
    const auto found = m_copySources.find(from);
    // The ballot round of a copy request and its reply is the incarnation of the requester.
    const bool addressedToThisIncarnation =
            page.number.round == static_cast<std::int64_t>(m_settings.incarnation);
    if (!m_recovering || found == m_copySources.end() || !addressedToThisIncarnation) {
        return {};
    }
    auto &source = found->second;
    for (const auto &[node, incarnation] : page.incarnations) {
        auto &newest = m_newestIncarnations[node];
        newest = std::max(newest, incarnation);
    }
    if (kindOf(page) == message_kind::Recovering) {
        source.recoveringReplyAt = now;
        return {};
    }
    if (source.done || page.key != source.cursor) {
        return {};
    }
    for (const auto &copy : page.page) {
        mergeCopy(copy, now);
    }
    source.done = page.last_page;
    if (!page.page.empty()) {
        source.cursor = page.page.back().key;
    }
    updateRecovering(now);
    if (source.done || !m_recovering) {
        return {};
    }
    return {makeCopyRequest(from, source, now)};
}

auto replica_state::mergeCopy(const wire::copied_record &copy, base::time_point now) -> void
{
    auto &stored = m_records[copy.key];
    if (isLowerBallot(stored.promised, copy.promised)) {
        stored.promised = copy.promised;
    }
    // Copied promises are retained as long as this replica's own ones (PROMISE_RETENTION).
    stored.expires = std::max(stored.expires, now + std::chrono::minutes(2));
    if (isLowerBallot(stored.accepted, copy.accepted)) {
        storeAccepted(stored, copy.accepted, copy.value, now - base::milliseconds(copy.age_ms));
    }
}

auto replica_state::makeCopyRequest(const base::node_id &to, copy_source &source,
                                    base::time_point now) -> base::outgoing_message
{
    source.requestedAt = now;
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
    updateRecovering(now);
    messages out;
    for (auto &[node, source] : m_copySources) {
        if (m_recovering && !source.done && now - source.requestedAt >= COPY_RETRY_INTERVAL) {
            out.push_back(makeCopyRequest(node, source, now));
        }
    }
    return out;
}

auto replica_state::updateRecovering(base::time_point now) -> void
{
    const auto isDone = [](const auto &source) {
        return source.second.done;
    };
    const auto hasAnswered = [now](const auto &source) {
        const auto replyAt = source.second.recoveringReplyAt;
        return source.second.done || (replyAt && now - *replyAt < RECOVERING_REPLY_VALIDITY);
    };
    const auto doneCount = std::count_if(m_copySources.begin(), m_copySources.end(), isDone);
    const auto neededCount = std::min(m_settings.replicas.size() / 2 + 1, m_copySources.size());
    const bool copied = static_cast<std::size_t>(doneCount) >= neededCount;
    const bool coldStart = m_startedAt && now - *m_startedAt >= m_settings.coldStartWait
                           && std::all_of(m_copySources.begin(), m_copySources.end(), hasAnswered);
    m_recovering = !copied && !coldStart;
}

} // namespace hawthornpick::atmostonce
