#include "quorum/requestforwarder.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace hawthornpick::quorum {

namespace {

auto startOnReplica(operator_request request, replica &localReplica, base::time_point now)
        -> std::uint64_t
{
    switch (request.kind) {
    case operator_request_kind::Read:
        return localReplica.read(now);
    case operator_request_kind::EvacuationOrder:
        return localReplica.submitOrder(std::move(request.order), now);
    case operator_request_kind::EvacuationRead:
        return localReplica.readEvacuations(now);
    case operator_request_kind::Change:
        break;
    }
    return localReplica.submit(std::move(request.change), now);
}

//! Returns true if a request of this kind can get the answer.
struct is_answer_to
{
    operator_request_kind kind;

    auto operator()(const change_accepted & /*answer*/) const -> bool
    {
        return kind == operator_request_kind::Change;
    }
    auto operator()(const change_conflict & /*answer*/) const -> bool
    {
        return kind == operator_request_kind::Change;
    }
    auto operator()(const change_invalid & /*answer*/) const -> bool
    {
        return kind == operator_request_kind::Change;
    }
    auto operator()(const current_document & /*answer*/) const -> bool
    {
        return kind == operator_request_kind::Read;
    }
    auto operator()(const order_accepted & /*answer*/) const -> bool
    {
        return kind == operator_request_kind::EvacuationOrder;
    }
    auto operator()(const order_outdated & /*answer*/) const -> bool
    {
        return kind == operator_request_kind::EvacuationOrder;
    }
    auto operator()(const current_evacuations & /*answer*/) const -> bool
    {
        return kind == operator_request_kind::EvacuationRead;
    }
    auto operator()(const group_unavailable & /*answer*/) const -> bool { return true; }
};

} // namespace

auto request_forwarder::submit(operator_request request, base::time_point deadline,
                               answer_function onAnswer) -> void
{
    request.requestId = ++m_lastRequestId;
    m_pendingRequests.emplace(
            m_lastRequestId,
            pending_request{std::move(request), deadline, {}, std::move(onAnswer), {}, {}});
}

auto request_forwarder::receive(const base::node_id &from, operator_request request,
                                replica &localReplica, base::time_point now) -> void
{
    const auto requestId = request.requestId;
    const auto replicaRequestId = startOnReplica(std::move(request), localReplica, now);
    m_forwardedRequests[replicaRequestId] = {from, requestId};
}

auto request_forwarder::receive(const base::node_id &from, operator_answer answer,
                                base::time_point now) -> bool
{
    return handleAnswer(from, answer.requestId, std::move(answer.answer), now);
}

auto request_forwarder::advance(replica &localReplica, base::time_point now) -> messages
{
    messages out;
    std::vector<answer_function> expired;
    for (auto item = m_pendingRequests.begin(); item != m_pendingRequests.end();) {
        if (item->second.deadline <= now) {
            expired.push_back(std::move(item->second.onAnswer));
            item = m_pendingRequests.erase(item);
            continue;
        }
        startOrForward(item->second, localReplica, now, out);
        ++item;
    }
    for (const auto &onAnswer : expired) {
        onAnswer(group_unavailable{
                "no majority of the quorum group answered before the request timed out"});
    }
    return out;
}

auto request_forwarder::startOrForward(pending_request &item, replica &localReplica,
                                       base::time_point now, messages &out) -> void
{
    if (item.replicaRequestId || now < item.retryAt) {
        return;
    }
    if (localReplica.isReadyLeader()) {
        item.handler = m_self;
        item.replicaRequestId = startOnReplica(item.request, localReplica, now);
        return;
    }
    const auto &leader = localReplica.leader();
    if (!leader.empty() && leader != m_self) {
        item.handler = leader;
        item.retryAt = now + FORWARD_RETRY_INTERVAL;
        out.push_back({leader, base::channel::Quorum, encodeMessage(item.request)});
    }
}

auto request_forwarder::deliver(completed_request completed, base::time_point now) -> messages
{
    const auto forwarded = m_forwardedRequests.find(completed.requestId);
    if (forwarded != m_forwardedRequests.end()) {
        const auto [to, requestId] = forwarded->second;
        m_forwardedRequests.erase(forwarded);
        return {{to, base::channel::Quorum,
                 encodeMessage(operator_answer{requestId, std::move(completed.answer)})}};
    }
    const auto pending = std::find_if(
            m_pendingRequests.begin(), m_pendingRequests.end(), [&](const auto &entry) {
                return entry.second.replicaRequestId == completed.requestId;
            });
    if (pending != m_pendingRequests.end()) {
        (void)handleAnswer(m_self, pending->first, std::move(completed.answer), now);
    }
    return {};
}

auto request_forwarder::handleAnswer(const base::node_id &from, std::uint64_t requestId,
                                     group_answer answer, base::time_point now) -> bool
{
    const auto found = m_pendingRequests.find(requestId);
    if (found == m_pendingRequests.end()
        || !std::visit(is_answer_to{found->second.request.kind}, answer)) {
        return false;
    }
    if (std::holds_alternative<group_unavailable>(answer)) {
        if (from != found->second.handler) {
            return false;
        }
        found->second.replicaRequestId.reset();
        found->second.retryAt = now + replica::HEARTBEAT_INTERVAL;
        return true;
    }
    const auto onAnswer = std::move(found->second.onAnswer);
    m_pendingRequests.erase(found);
    onAnswer(std::move(answer));
    return true;
}

auto request_forwarder::refuseAll(const std::string &reason) -> void
{
    for (const auto &[requestId, request] : std::exchange(m_pendingRequests, {})) {
        request.onAnswer(group_unavailable{reason});
    }
}

} // namespace hawthornpick::quorum
