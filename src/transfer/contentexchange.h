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

//! Decision object of the channel `Distribution`: fetches contents by digest from peers, as a delta
//! against a content that both sides have or in full, and answers the same requests of others.
//! Thread safety of all members: control thread.
class content_exchange
{
public:
    using messages = std::vector<base::outgoing_message>;

    //! Bounds one message. A content is fetched in parts of this size.
    static constexpr std::size_t PART_BYTES = 64UL * 1024;
    //! Longer than a round trip between regions and the transfer of one part over their link.
    static constexpr base::milliseconds RETRY_TIME{300};
    //! A fetch that nobody asked for during this time ends.
    static constexpr base::milliseconds INTEREST_TIME{3000};
    static constexpr std::size_t MAX_BASES = 8;
    static constexpr std::size_t MAX_CACHED_DELTAS = 8;
    static constexpr std::size_t MAX_SOURCES = 16;
    //! Refused sizes protect against a damaged or hostile total.
    static constexpr std::size_t MAX_CONTENT_BYTES = 256UL * 1024 * 1024;

    //! Precondition: `store` outlives the exchange.
    content_exchange(content_store &store, base::random_source random);

    //! Starts or continues to fetch a content; nothing happens if the store has it. Callers repeat
    //! the call, for example at each tick, until the store has the content.
    auto want(const base::digest256 &digest, const std::vector<base::node_id> &sources,
              base::time_point now) -> messages;

    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;
    auto tick(base::time_point now) -> messages;

    [[nodiscard]] auto store() -> content_store & { return m_store; }

private:
    struct fetch
    {
        std::vector<base::node_id> sources;
        std::size_t nextSource = 0;
        std::size_t refusals = 0;
        // Unset until the first part says which base the delta needs; an empty base means none.
        std::optional<std::string> base;
        std::size_t total = 0;
        std::string bytes;
        bool withoutBase = false;
        base::time_point sentAt;
        base::time_point wantedAt;
    };
    struct cached_delta
    {
        base::digest256 base;
        base::digest256 target;
        content_pointer bytes;
    };

    auto answer(const base::node_id &from, std::string_view payload) -> messages;
    auto acceptPart(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;
    auto finish(const base::digest256 &digest, fetch &item, base::time_point now) -> messages;
    auto ask(const base::digest256 &digest, fetch &item, base::time_point now) -> messages;
    auto deltaFor(const base::digest256 &base, const base::digest256 &target) -> content_pointer;

    content_store &m_store;
    base::random_source m_random;
    std::map<base::digest256, fetch> m_fetches;
    std::vector<cached_delta> m_deltas;
};

} // namespace hawthornpick::transfer
