#include "limits/limitsmodule.h"

#include <iterator>
#include <utility>

namespace hawthornpick::limits {

namespace {

auto append(messages &target, messages more) -> void
{
    target.insert(target.end(), std::make_move_iterator(more.begin()),
                  std::make_move_iterator(more.end()));
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
    auto out = m_tokens.receive(from, payload, now);
    append(out, m_allocator.receive(from, payload, now));
    return out;
}

auto limits_module::tick(base::time_point now) -> messages
{
    auto out = m_tokens.tick(now);
    append(out, m_allocator.tick(now));
    return out;
}

} // namespace hawthornpick::limits
