#pragma once

#include "base/message.h"
#include "base/random.h"
#include "base/time.h"
#include "transfer/contentstore.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornpick::transfer {

//! Replicates contents between nodes over the channel `Distribution`. Fetches a content by its
//! digest from peers, in full or as a delta against a base content that both sides store, and
//! serves the same requests from other nodes. Does no I/O: all members return the messages to send.
//! Thread safety of all members: control thread.
class content_exchange
{
public:
    using messages = std::vector<base::outgoing_message>;

    //! Maximum payload of one reply. Contents and deltas are fetched in parts of this size.
    static constexpr std::size_t PART_BYTES = 64UL * 1024;
    //! A request without an answer is repeated to the next source after this time. Longer than a
    //! round trip between regions plus the transfer of one part over the link between them.
    static constexpr base::milliseconds RETRY_TIME{300};
    //! A fetch is cancelled if `want` has not been called for its digest during this time.
    static constexpr base::milliseconds INTEREST_TIME{3000};
    //! Maximum number of base digests offered in a request and examined in a received one.
    static constexpr std::size_t MAX_BASES = 8;
    static constexpr std::size_t MAX_CACHED_DELTAS = 8;
    static constexpr std::size_t MAX_SOURCES = 16;
    //! Replies with a larger total size are ignored, so that a corrupted or malicious reply cannot
    //! cause an unbounded fetch.
    static constexpr std::size_t MAX_CONTENT_BYTES = 256UL * 1024 * 1024;

    //! Precondition: `store` outlives the exchange.
    content_exchange(content_store &store, base::random_source random);

    //! Starts a fetch of a content or keeps a running one alive and adds `sources` to it. Does
    //! nothing if the store has the content or `sources` is empty. Callers repeat the call at
    //! intervals shorter than `INTEREST_TIME` until the store has the content.
    auto want(const base::digest256 &digest, const std::vector<base::node_id> &sources,
              base::time_point now) -> messages;

    //! Handles a request or a reply from a peer; malformed payloads are ignored.
    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;
    //! Cancels fetches that are no longer wanted and repeats requests without an answer.
    auto tick(base::time_point now) -> messages;

    [[nodiscard]] auto store() -> content_store & { return m_store; }

private:
    struct fetch
    {
        std::vector<base::node_id> sources;
        std::size_t nextSource = 0;
        std::size_t notFoundCount = 0;
        // Digest of the base that the delta applies to. Unset until the first part arrives; empty
        // if the content is sent in full.
        std::optional<std::string> baseDigest;
        std::size_t totalBytes = 0;
        std::string receivedBytes;
        bool fullOnly = false;
        base::time_point requestedAt;
        base::time_point lastWantedAt;
    };
    struct cached_delta
    {
        base::digest256 base;
        base::digest256 target;
        content_pointer delta;
    };

    auto handleRequest(const base::node_id &from, std::string_view payload) -> messages;
    auto handleReply(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;
    auto completeFetch(const base::digest256 &digest, fetch &pending, base::time_point now)
            -> messages;
    auto sendRequest(const base::digest256 &digest, fetch &pending, base::time_point now)
            -> messages;
    auto findOrMakeDelta(const base::digest256 &base, const base::digest256 &target)
            -> content_pointer;

    content_store &m_store;
    base::random_source m_random;
    std::map<base::digest256, fetch> m_fetches;
    std::vector<cached_delta> m_deltaCache;
};

} // namespace hawthornpick::transfer
