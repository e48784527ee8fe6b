#pragma once

#include "limits/allocator.h"
#include "limits/tokencache.h"

#include <string_view>

namespace hawthornpick::limits {

//! Combines the token cache and the allocator of one node. `receive` must be registered with the
//! control runtime for channel `Rate`, and `tick` for its ticks.
class limits_module
{
public:
    //! `session` is a random number that differs for each start of the process.
    limits_module(const allocator_dependencies &dependencies, std::uint64_t session,
                  post_function post);

    //! Returns the token cache, for the request path. Thread safety: see `token_cache`.
    auto tokenCache() -> token_cache & { return m_tokens; }

    //! Thread safety of the following: control thread.
    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;
    auto tick(base::time_point now) -> messages;

    //! Returns the number of organisations for which this node has allocator state.
    [[nodiscard]] auto allocatorSize() const -> std::size_t { return m_allocator.size(); }

private:
    base::region_id m_region;
    allocator_directory m_directory;
    token_cache m_tokens;
    allocator m_allocator;
};

} // namespace hawthornpick::limits
