#include "limits/limitsmodule.h"

#include <iterator>
#include <utility>

namespace hawthornpick::limits {

namespace {

auto append(messages &target, messages added) -> void
{
    target.insert(target.end(), std::make_move_iterator(added.begin()),
                  std::make_move_iterator(added.end()));
}

} // namespace

limits_module::limits_module(const allocator_dependencies &dependencies, std::uint64_t session,
                             post_function post)
    : m_region(dependencies.region), m_directory(dependencies.view),
      m_tokens(
              session,
              [this](const base::organisation_id &id) {
                  return m_directory.candidates(m_region, shardOf(id));
              },
              std::move(post)),
      m_allocator(dependencies)
{}

auto limits_module::receive(const base::node_id &from, std::string_view payload,
                            base::time_point now) -> messages
{
    auto outgoing = m_tokens.receive(from, payload, now);
    append(outgoing, m_allocator.receive(from, payload, now));
    return outgoing;
}

auto limits_module::tick(base::time_point now) -> messages
{
    auto outgoing = m_tokens.tick(now);
    append(outgoing, m_allocator.tick(now));
    return outgoing;
}

} // namespace hawthornpick::limits
