#include "limits/allocator.h"

#include "limits/internal/allocatorstate.h"

#include <utility>

namespace hawthornpick::limits {

allocator::allocator(allocator_dependencies dependencies)
    : m_state(std::make_unique<allocator_state>(std::move(dependencies)))
{}

allocator::~allocator() = default;

auto allocator::receive(const base::node_id &from, std::string_view payload, base::time_point now)
        -> std::vector<base::outgoing_message>
{
    return m_state->receive(from, payload, now);
}

auto allocator::tick(base::time_point now) -> std::vector<base::outgoing_message>
{
    return m_state->tick(now);
}

auto allocator::size() const -> std::size_t
{
    return m_state->size();
}

} // namespace hawthornpick::limits
