#include "transfer/contentexchange.h"

#include "base/thriftcodec.h"
#include "transfer/delta.h"
#include "transfer/generated/transferwire_types.h"

#include <algorithm>

namespace hawthornpick::transfer {

namespace {

constexpr char REQUEST_KIND = 1;
constexpr char REPLY_KIND = 2;

template <typename Struct>
auto toMessage(const base::node_id &to, char kind, const Struct &value) -> base::outgoing_message
{
    return {to, base::channel::Distribution, kind + base::encodeThrift(value)};
}

} // namespace

content_exchange::content_exchange(content_store &store, base::random_source random)
    : m_store(store), m_random(random)
{}

auto content_exchange::want(const base::digest256 &digest,
                            const std::vector<base::node_id> &sources, base::time_point now)
        -> messages
{
    if (m_store.find(digest) || sources.empty()) {
        return {};
    }
    const auto [position, isNew] = m_fetches.try_emplace(digest);
    auto &item = position->second;
    item.wantedAt = now;
    for (const auto &source : sources) {
        const bool known =
                std::find(item.sources.begin(), item.sources.end(), source) != item.sources.end();
        if (!known && item.sources.size() < MAX_SOURCES) {
            item.sources.push_back(source);
        } else if (!known) {
            item.sources[m_random.below(MAX_SOURCES)] = source;
        }
    }
    return isNew ? ask(digest, item, now) : messages{};
}

auto content_exchange::receive(const base::node_id &from, std::string_view payload,
                               base::time_point now) -> messages
{
    if (payload.empty()) {
        return {};
    }
    const char kind = payload.front();
    payload.remove_prefix(1);
    if (kind == REQUEST_KIND) {
        return answer(from, payload);
    }
    return kind == REPLY_KIND ? acceptPart(from, payload, now) : messages{};
}

auto content_exchange::tick(base::time_point now) -> messages
{
    messages out;
    std::erase_if(m_fetches,
                  [now](const auto &item) { return now - item.second.wantedAt > INTEREST_TIME; });
    for (auto &[digest, item] : m_fetches) {
        if (now - item.sentAt < RETRY_TIME) {
            continue;
        }
        ++item.nextSource;
        item.refusals = 0;
        const auto batch = ask(digest, item, now);
        out.insert(out.end(), batch.begin(), batch.end());
    }
    return out;
}

auto content_exchange::ask(const base::digest256 &digest, fetch &item, base::time_point now)
        -> messages
{
    wire::request request;
    request.digest = base::toBytes(digest);
    request.offset = static_cast<std::int64_t>(item.bytes.size());
    if (item.base && !item.base->empty()) {
        request.bases.push_back(*item.base);
    } else if (!item.base && !item.withoutBase) {
        for (const auto &base : m_store.newest(MAX_BASES)) {
            request.bases.push_back(base::toBytes(base));
        }
    }
    item.sentAt = now;
    const auto &source = item.sources[item.nextSource % item.sources.size()];
    return {toMessage(source, REQUEST_KIND, request)};
}

auto content_exchange::answer(const base::node_id &from, std::string_view payload) -> messages
{
    const auto request = base::decodeThrift<wire::request>(payload);
    const auto digest = request ? base::digestFromBytes(request->digest) : std::nullopt;
    if (!digest) {
        return {};
    }
    wire::reply reply;
    reply.digest = request->digest;
    auto bytes = m_store.find(*digest);
    for (std::size_t i = 0; bytes && i < std::min(request->bases.size(), MAX_BASES); ++i) {
        const auto base = base::digestFromBytes(request->bases[i]);
        if (base && m_store.find(*base)) {
            bytes = deltaFor(*base, *digest);
            reply.base = request->bases[i];
            break;
        }
    }
    const auto offset = static_cast<std::uint64_t>(request->offset);
    if (bytes && offset <= bytes->size()) {
        reply.found = true;
        reply.total = static_cast<std::int64_t>(bytes->size());
        reply.offset = request->offset;
        reply.bytes = bytes->substr(offset, PART_BYTES);
    }
    return {toMessage(from, REPLY_KIND, reply)};
}

auto content_exchange::acceptPart(const base::node_id &from, std::string_view payload,
                                  base::time_point now) -> messages
{
    const auto reply = base::decodeThrift<wire::reply>(payload);
    const auto digest = reply ? base::digestFromBytes(reply->digest) : std::nullopt;
    const auto position = digest ? m_fetches.find(*digest) : m_fetches.end();
    if (position == m_fetches.end()) {
        return {};
    }
    auto &item = position->second;
    if (!reply->found) {
        const bool wasAsked = item.sources[item.nextSource % item.sources.size()] == from;
        if (!wasAsked || ++item.refusals >= item.sources.size()) {
            return {};
        }
        ++item.nextSource;
        return ask(*digest, item, now);
    }
    const auto total = static_cast<std::uint64_t>(reply->total);
    const bool baseIsDigest = reply->base.empty() || base::digestFromBytes(reply->base);
    if (total > MAX_CONTENT_BYTES || !baseIsDigest) {
        return {};
    }
    if (!item.base || *item.base != reply->base || item.total != total) {
        // Another peer may have another base; its parts do not continue those received so far.
        if (reply->offset != 0) {
            item.base.reset();
            item.bytes.clear();
            return ask(*digest, item, now);
        }
        item.base = reply->base;
        item.total = total;
        item.bytes.clear();
    }
    if (static_cast<std::uint64_t>(reply->offset) != item.bytes.size()) {
        return {};
    }
    item.bytes += reply->bytes;
    if (item.bytes.size() < item.total) {
        return reply->bytes.empty() ? messages{} : ask(*digest, item, now);
    }
    return finish(*digest, item, now);
}

auto content_exchange::finish(const base::digest256 &digest, fetch &item, base::time_point now)
        -> messages
{
    std::optional<std::string> content;
    if (item.base->empty()) {
        content = std::move(item.bytes);
    } else if (const auto base = m_store.find(*base::digestFromBytes(*item.base))) {
        content = applyDelta(*base, item.bytes);
    }
    if (content && base::sha256(*content) == digest) {
        m_fetches.erase(digest);
        m_store.put(digest, std::make_shared<const std::string>(std::move(*content)));
        return {};
    }
    // A damaged delta, a forgotten base or a peer of another version: the next try is in full.
    item.withoutBase = true;
    item.base.reset();
    item.bytes.clear();
    ++item.nextSource;
    return ask(digest, item, now);
}

auto content_exchange::deltaFor(const base::digest256 &base, const base::digest256 &target)
        -> content_pointer
{
    for (const auto &item : m_deltas) {
        if (item.base == base && item.target == target) {
            return item.bytes;
        }
    }
    auto bytes = std::make_shared<const std::string>(
            makeDelta(*m_store.find(base), *m_store.find(target)));
    if (m_deltas.size() >= MAX_CACHED_DELTAS) {
        m_deltas.erase(m_deltas.begin());
    }
    m_deltas.push_back({base, target, bytes});
    return bytes;
}

} // namespace hawthornpick::transfer
