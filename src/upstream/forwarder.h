#pragma once

#include "membership/view.h"
#include "peer/link.h"
#include "upstream/exchange.h"

#include <boost/asio/io_context.hpp>

namespace hawthornpick::upstream {

//! Executing node as the entry node knows it.
struct remote_node
{
    base::node_id id;
    membership::endpoint address;
    base::incarnation incarnation = 0;

    auto operator<=>(const remote_node &) const = default;
};

//! Sends attempts to other nodes over the peer links of one I/O thread; the counterpart of
//! `executor::serve`.
class forwarder
{
public:
    //! Time after the deadline for which the entry node waits for the executing node's own answer,
    //! which knows whether the request was started.
    static constexpr base::milliseconds DEADLINE_GRACE{50};

    //! Precondition: `links` belongs to `context` and outlives the forwarder.
    forwarder(boost::asio::io_context &context, peer::link_pool &links)
        : m_context(context), m_links(links)
    {}

    //! Runs one attempt on another node. Errors before anything was sent mean "not run".
    //! Precondition: the arguments but `target` outlive the coroutine. Thread safety: the context's
    //! thread.
    auto run(remote_node target, const attempt_request &request, const body_source &source,
             const answer_sink &sink, cancellation &cancel)
            -> boost::asio::awaitable<attempt_result>;

private:
    boost::asio::io_context &m_context;
    peer::link_pool &m_links;
};

} // namespace hawthornpick::upstream
