#pragma once

#include "base/random.h"
#include "base/time.h"
#include "quorum/replica.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace hawthornpick::quorum {

//! Decision object for the operator requests of one node: passes those that arrive here to the
//! local replica or to the node of the leader, repeats them until they are answered, and returns
//! the answers to those that other nodes forwarded. Performs no I/O and reads no clock. Thread
//! safety of all members: one thread. Callbacks may call `submit`.
class request_forwarder
{
public:
    using messages = replica::messages;
    using answer_function = std::function<void(group_answer)>;

    //! Time after which a request is forwarded to the leader again if no answer came. Repeating a
    //! change is safe because its digest identifies it.
    static constexpr base::milliseconds FORWARD_RETRY_INTERVAL{500};

    //! Precondition: `random` has a different seed at each start of the node.
    request_forwarder(base::node_id self, base::random_source random)
        : m_self(std::move(self)), m_lastRequestId(random.firstRequestNumber())
    {}

    //! Takes a request of an operator of this node; `advance` starts it. The answer is
    //! `group_unavailable` if none comes before the deadline.
    auto submit(operator_request request, base::time_point deadline, answer_function onAnswer)
            -> void;

    //! Starts a request that another node forwarded.
    auto receive(const base::node_id &from, operator_request request, replica &localReplica,
                 base::time_point now) -> void;

    //! Handles the answer of another node to a request of this one. Returns false if no request
    //! waits for it, or one of a kind that doesn't get such an answer.
    auto receive(const base::node_id &from, operator_answer answer, base::time_point now) -> bool;

    //! Starts, forwards and repeats the requests that are due, and answers the expired ones.
    auto advance(replica &localReplica, base::time_point now) -> messages;

    //! Delivers an answer of the local replica; returns the message to the node that forwarded the
    //! request, if one did. Ignores answers to requests that were started elsewhere.
    auto deliver(completed_request completed, base::time_point now) -> messages;

    //! Answers all requests that arrived at this node with `group_unavailable`.
    auto refuseAll(const std::string &reason) -> void;

private:
    // Request that arrived at this node and waits for its answer.
    struct pending_request
    {
        operator_request request;
        base::time_point deadline;
        base::time_point retryAt;
        answer_function onAnswer;
        // Node that got the newest copy of the request; empty before the first one.
        base::node_id handler;
        // Request ID of the local replica while that handles the request.
        std::optional<std::uint64_t> replicaRequestId;
    };
    // Request that another node forwarded to the local replica.
    struct forwarded_request
    {
        base::node_id from;
        // Request ID that the forwarding node gave.
        std::uint64_t requestId = 0;
    };

    auto startOrForward(pending_request &item, replica &localReplica, base::time_point now,
                        messages &out) -> void;
    // A request that its handler could not pass to the group, for example for lack of a leader, is
    // tried again until its deadline. Other nodes that got a copy don't count: the handler may be
    // at work on it.
    auto handleAnswer(const base::node_id &from, std::uint64_t requestId, group_answer answer,
                      base::time_point now) -> bool;

    base::node_id m_self;
    std::map<std::uint64_t, pending_request> m_pendingRequests;
    std::map<std::uint64_t, forwarded_request> m_forwardedRequests;
    // Answers are addressed to the node and not to one process of it.
    std::uint64_t m_lastRequestId;
};

} // namespace hawthornpick::quorum
