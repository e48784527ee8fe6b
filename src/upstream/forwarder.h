#pragma once

#include "membership/view.h"
#include "peer/link.h"
#include "upstream/exchange.h"
#include "upstream/toldstatements.h"

#include <boost/asio/io_context.hpp>

namespace hawthornpick::upstream {

//! Address and last known incarnation of an executing node.
struct remote_node
{
    base::node_id id;
    membership::endpoint address;
    base::incarnation incarnation = 0;

    auto operator<=>(const remote_node &) const = default;
};

//! Sends attempts to other nodes over the peer links of one I/O thread. The executing node handles
//! them in `executor::serve`.
class forwarder
{
public:
    //! Time after the deadline during which the entry node still waits for the executing node's
    //! result, because only that node knows whether the request was started.
    static constexpr base::milliseconds DEADLINE_GRACE{50};

    //! Precondition: `links` belongs to `context`; `links` and `told` outlive the forwarder.
    forwarder(boost::asio::io_context &context, peer::link_pool &links, told_statements &told)
        : m_context(context), m_links(links), m_told(told)
    {}

    //! Runs one attempt on another node. A failure before the request head was sent means that the
    //! request was not run.
    //! Precondition: the arguments except `target` outlive the returned coroutine.
    //! Thread safety: the context's thread.
    auto run(remote_node target, const attempt_request &request, const body_source &source,
             const answer_sink &sink, cancellation &cancel)
            -> boost::asio::awaitable<attempt_result>;

private:
    auto runOnLink(const remote_node &target, const attempt_request &request,
                   const body_source &source, const answer_sink &sink, cancellation &cancel)
            -> boost::asio::awaitable<attempt_result>;

    boost::asio::io_context &m_context;
    peer::link_pool &m_links;
    //! What the executing nodes have told, which each request tells back.
    told_statements &m_told;
};

} // namespace hawthornpick::upstream
