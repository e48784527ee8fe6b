#pragma once

#include "control/controlnode.h"

namespace hawthornpick::control {

//! Forwards operators' requests from any thread to the control node on the control thread.
//! Thread safety of all members: any thread; callbacks run on the control thread.
class operator_entry
{
public:
    //! Precondition: `runtime` and `node` outlive this object.
    operator_entry(peer::control_runtime &runtime, control_node &node)
        : m_runtime(runtime), m_node(node)
    {}

    //! See `operator_client` for the answers. `done` is called exactly once, unless the runtime
    //! stops before.
    auto apply(change_request change, change_callback done) -> void;
    auto changeResult(std::string changeId, change_callback done) -> void;
    //! The status includes the newest entries of the history of accepted changes.
    auto status(status_callback done) -> void;
    auto replaceController(base::node_id oldNode, base::node_id newNode, std::string changeId,
                           change_callback done) -> void;

private:
    peer::control_runtime &m_runtime;
    control_node &m_node;
};

} // namespace hawthornpick::control
