#include "limits/tokencache.h"

#include "limits/internal/tokencachestate.h"

namespace hawthornpick::limits {

token_cache::token_cache(std::uint64_t session, candidates_function candidates, post_function post)
    : m_state(std::make_shared<token_cache_state>(session, std::move(candidates), std::move(post)))
{}

token_cache::~token_cache() = default;

auto token_cache::take(const base::organisation_id &organisation, base::time_point now,
                       callback done) -> std::optional<admission_result>
{
    return m_state->take(organisation, now, std::move(done));
}

auto token_cache::receive(const base::node_id & /*from*/, std::string_view payload,
                          base::time_point now) -> messages
{
    return m_state->receive(payload, now);
}

auto token_cache::tick(base::time_point now) -> messages
{
    return m_state->tick(now);
}

auto token_cache::size() const -> std::size_t
{
    return m_state->size();
}

} // namespace hawthornpick::limits
