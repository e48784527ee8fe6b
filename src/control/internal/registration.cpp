#include "control/controlnode.h"
#include "control/operatorentry.h"
#include "peer/runtime.h"

#include <utility>

namespace hawthornpick::control {

auto control_node::registerWith(peer::control_runtime &runtime) -> void
{
    for (const auto channel : {base::channel::Currency, base::channel::Lease,
                               base::channel::Consensus, base::channel::Distribution}) {
        runtime.onMessage(channel, [this, channel](const auto &from, auto payload, auto now) {
            return receive(from, channel, payload, now);
        });
    }
    runtime.onTick([this](auto now) { return tick(now); });
}

auto operator_entry::apply(change_request change, change_callback done) -> void
{
    m_runtime.post([node = &m_node, change = std::move(change), done = std::move(done)](auto now) {
        return node->apply(change, done, now);
    });
}

auto operator_entry::changeResult(std::string changeId, change_callback done) -> void
{
    m_runtime.post([node = &m_node, id = std::move(changeId), done = std::move(done)](auto now) {
        return node->changeResult(id, done, now);
    });
}

auto operator_entry::status(status_callback done) -> void
{
    m_runtime.post(
            [node = &m_node, done = std::move(done)](auto now) { return node->status(done, now); });
}

auto operator_entry::replaceController(base::node_id oldNode, base::node_id newNode,
                                       std::string changeId, change_callback done) -> void
{
    m_runtime.post([node = &m_node, oldNode = std::move(oldNode), newNode = std::move(newNode),
                    id = std::move(changeId), done = std::move(done)](auto now) {
        return node->replaceController(oldNode, newNode, id, done, now);
    });
}

} // namespace hawthornpick::control
