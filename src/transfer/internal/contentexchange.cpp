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
    auto &pending = position->second;
    pending.lastWantedAt = now;
    for (const auto &source : sources) {
        const bool isKnown = std::find(pending.sources.begin(), pending.sources.end(), source)
                             != pending.sources.end();
        if (!isKnown && pending.sources.size() < MAX_SOURCES) {
            pending.sources.push_back(source);
        } else if (!isKnown) {
            pending.sources[m_random.below(MAX_SOURCES)] = source;
        }
    }
    return isNew ? sendRequest(digest, pending, now) : messages{};
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
        return handleRequest(from, payload);
    }
    return kind == REPLY_KIND ? handleReply(from, payload, now) : messages{};
}

auto content_exchange::tick(base::time_point now) -> messages
{
    messages outgoing;
    std::erase_if(m_fetches, [now](const auto &entry) {
        return now - entry.second.lastWantedAt > INTEREST_TIME;
    });
    for (auto &[digest, pending] : m_fetches) {
        if (now - pending.requestedAt < RETRY_TIME) {
            continue;
        }
        ++pending.nextSource;
        pending.notFoundCount = 0;
        const auto requests = sendRequest(digest, pending, now);
        outgoing.insert(outgoing.end(), requests.begin(), requests.end());
    }
    return outgoing;
}

auto content_exchange::sendRequest(const base::digest256 &digest, fetch &pending,
                                   base::time_point now) -> messages
{
    wire::request request;
    request.digest = base::toBytes(digest);
    request.offset = static_cast<std::int64_t>(pending.receivedBytes.size());
    if (pending.baseDigest && !pending.baseDigest->empty()) {
        request.bases.push_back(*pending.baseDigest);
    } else if (!pending.baseDigest && !pending.fullOnly) {
        for (const auto &base : m_store.newest(MAX_BASES)) {
            request.bases.push_back(base::toBytes(base));
        }
    }
    pending.requestedAt = now;
    const auto &source = pending.sources[pending.nextSource % pending.sources.size()];
    return {toMessage(source, REQUEST_KIND, request)};
}

auto content_exchange::handleRequest(const base::node_id &from, std::string_view payload)
        -> messages
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
            bytes = findOrMakeDelta(*base, *digest);
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

auto content_exchange::handleReply(const base::node_id &from, std::string_view payload,
                                   base::time_point now) -> messages
{
    const auto reply = base::decodeThrift<wire::reply>(payload);
    const auto digest = reply ? base::digestFromBytes(reply->digest) : std::nullopt;
    const auto position = digest ? m_fetches.find(*digest) : m_fetches.end();
    if (position == m_fetches.end()) {
        return {};
    }
    auto &pending = position->second;
    if (!reply->found) {
        const bool isCurrentSource =
                pending.sources[pending.nextSource % pending.sources.size()] == from;
        if (!isCurrentSource || ++pending.notFoundCount >= pending.sources.size()) {
            return {};
        }
        ++pending.nextSource;
        return sendRequest(*digest, pending, now);
    }
    const auto total = static_cast<std::uint64_t>(reply->total);
    const bool isBaseValid = reply->base.empty() || base::digestFromBytes(reply->base);
    if (total > MAX_CONTENT_BYTES || !isBaseValid) {
        return {};
    }
    if (!pending.baseDigest || *pending.baseDigest != reply->base || pending.totalBytes != total) {
        // This peer sends a delta against another base, whose parts cannot be combined with those
        // received so far. The fetch restarts at offset 0.
        if (reply->offset != 0) {
            pending.baseDigest.reset();
            pending.receivedBytes.clear();
            return sendRequest(*digest, pending, now);
        }
        pending.baseDigest = reply->base;
        pending.totalBytes = total;
        pending.receivedBytes.clear();
    }
    if (static_cast<std::uint64_t>(reply->offset) != pending.receivedBytes.size()) {
        return {};
    }
    pending.receivedBytes += reply->bytes;
    if (pending.receivedBytes.size() < pending.totalBytes) {
        return reply->bytes.empty() ? messages{} : sendRequest(*digest, pending, now);
    }
    return completeFetch(*digest, pending, now);
}

auto content_exchange::completeFetch(const base::digest256 &digest, fetch &pending,
                                     base::time_point now) -> messages
{
    std::optional<std::string> content;
    if (pending.baseDigest->empty()) {
        content = std::move(pending.receivedBytes);
    } else if (const auto base = m_store.find(*base::digestFromBytes(*pending.baseDigest))) {
        content = applyDelta(*base, pending.receivedBytes);
    }
    if (content && base::sha256(*content) == digest) {
        m_fetches.erase(digest);
        m_store.put(digest, std::make_shared<const std::string>(std::move(*content)));
        return {};
    }
    // The delta was corrupted, the base was evicted from the store, or the peer runs another
    // version. The content is requested in full from the next source.
    pending.fullOnly = true;
    pending.baseDigest.reset();
    pending.receivedBytes.clear();
    ++pending.nextSource;
    return sendRequest(digest, pending, now);
}

auto content_exchange::findOrMakeDelta(const base::digest256 &base, const base::digest256 &target)
        -> content_pointer
{
    for (const auto &cached : m_deltaCache) {
        if (cached.base == base && cached.target == target) {
            return cached.delta;
        }
    }
    auto delta = std::make_shared<const std::string>(
            makeDelta(*m_store.find(base), *m_store.find(target)));
    if (m_deltaCache.size() >= MAX_CACHED_DELTAS) {
        m_deltaCache.erase(m_deltaCache.begin());
    }
    m_deltaCache.push_back({base, target, delta});
    return delta;
}

} // namespace hawthornpick::transfer
