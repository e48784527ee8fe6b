#include "quorum/quorumnode.h"

#include "base/awaitcallback.h"
#include "base/log.h"

#include <map>

namespace hawthornpick::quorum {

namespace {

//! Time after which a request is forwarded to the leader again if no answer came. Repeating a
//! change is safe because its digest identifies it.
constexpr base::milliseconds FORWARD_RETRY_INTERVAL{500};

using answer_function = std::function<void(group_answer)>;

//! Operator request that arrived at this node and waits for its answer.
struct pending_request
{
    operator_request request;
    base::time_point deadline;
    base::time_point retryAt;
    answer_function onAnswer;
    //! Request ID of the local replica while that handles the request.
    std::optional<std::uint64_t> replicaRequestId;
};

//! Operator request that another node forwarded to the local replica.
struct forwarded_request
{
    base::node_id from;
    //! Request ID that the forwarding node gave.
    std::uint64_t requestId = 0;
};

auto roleName(replica_role role) -> std::string_view
{
    switch (role) {
    case replica_role::Leader:
        return "leader";
    case replica_role::Candidate:
        return "candidate";
    case replica_role::PreCandidate:
        return "pre_candidate";
    case replica_role::Follower:
        break;
    }
    return "follower";
}

} // namespace

class quorum_node::state : public std::enable_shared_from_this<quorum_node::state>
{
public:
    state(quorum_settings settings, edit_function edit, std::uint64_t seed, post_function post,
          std::function<void(const value_pointer &)> onCommitted)
        : m_settings(std::move(settings)), m_edit(std::move(edit)), m_random(seed),
          m_post(std::move(post)), m_onCommitted(std::move(onCommitted))
    {}

    auto startStorage() -> void
    {
        const std::weak_ptr<state> weak = weak_from_this();
        const auto onLoaded = [weak, post = m_post](durable_state loaded) {
            post([weak, loaded = std::move(loaded)](base::time_point now) {
                const auto self = weak.lock();
                return self ? self->onLoaded(loaded, now) : messages{};
            });
        };
        const auto onWritten = [weak, post = m_post](std::uint64_t revision) {
            post([weak, revision](base::time_point now) {
                const auto self = weak.lock();
                return self ? self->onWritten(revision, now) : messages{};
            });
        };
        m_storage = std::make_unique<storage_worker>(m_settings.dataFolder, onLoaded, onWritten);
    }

    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages
    {
        auto content = decodeMessage(payload);
        if (!content || !m_replica) {
            return {};
        }
        if (auto *request = std::get_if<operator_request>(&*content)) {
            startForwarded(from, std::move(*request), now);
        } else if (auto *answer = std::get_if<operator_answer>(&*content)) {
            handleAnswer(answer->requestId, std::move(answer->answer));
        } else {
            m_replica->receive(from, *content, now);
        }
        return collectMessages();
    }

    auto tick(base::time_point now) -> messages
    {
        if (!m_replica) {
            return {};
        }
        m_replica->tick(now);
        advancePendingRequests(now);
        return collectMessages();
    }

    auto submitRequest(operator_request request, base::duration timeout, answer_function onAnswer)
            -> void
    {
        const auto requestId = ++m_lastRequestId;
        request.requestId = requestId;
        const auto deadline = base::clock::now() + timeout;
        m_pendingRequests.emplace(
                requestId,
                pending_request{std::move(request), deadline, {}, std::move(onAnswer), {}});
        m_post([weak = weak_from_this()](base::time_point now) {
            const auto self = weak.lock();
            if (!self) {
                return messages{};
            }
            if (!self->m_replica) {
                self->refusePendingRequests("the data folder of this node is not loaded yet");
                return messages{};
            }
            self->advancePendingRequests(now);
            return self->collectMessages();
        });
    }

    [[nodiscard]] auto replica() const -> const std::optional<quorum::replica> &
    {
        return m_replica;
    }

private:
    auto onLoaded(durable_state loaded, base::time_point now) -> messages
    {
        base::log(base::log_level::Info, "data folder loaded",
                  {{"disk", std::to_string(loaded.diskId)},
                   {"term", loaded.term},
                   {"version", loaded.value ? loaded.value->version : 0}});
        m_replica.emplace(m_settings.replica, std::move(loaded), m_edit, m_random, now);
        return collectMessages();
    }

    auto onWritten(std::uint64_t revision, base::time_point now) -> messages
    {
        m_replica->onStatePersisted(revision, now);
        return collectMessages();
    }

    // Collects the messages that the last event produced, and carries out its other results:
    // answers, the next disk write, log lines and the committed value.
    auto collectMessages() -> messages
    {
        auto out = m_replica->takeMessages();
        for (auto &completed : m_replica->takeCompletedRequests()) {
            deliverAnswer(completed, out);
        }
        if (auto job = m_replica->takeStorageJob()) {
            m_storage->write(std::move(*job));
        }
        out.insert(out.end(), std::make_move_iterator(m_outgoing.begin()),
                   std::make_move_iterator(m_outgoing.end()));
        m_outgoing.clear();
        logGroupChanges();
        const auto &committed = m_replica->committed();
        if (committed && committed != m_publishedValue) {
            m_publishedValue = committed;
            m_onCommitted(committed);
        }
        return out;
    }

    auto logGroupChanges() -> void
    {
        if (m_replica->role() != m_lastLoggedRole || m_replica->leader() != m_lastLoggedLeader) {
            m_lastLoggedRole = m_replica->role();
            m_lastLoggedLeader = m_replica->leader();
            base::log(base::log_level::Info, "group role changed",
                      {{"role", roleName(m_lastLoggedRole)},
                       {"term", m_replica->term()},
                       {"leader", m_lastLoggedLeader.str()}});
        }
        const auto &newest = m_replica->newest();
        if (newest && newest->voters != m_lastLoggedVoters) {
            m_lastLoggedVoters = newest->voters;
            std::string names;
            for (const auto &voter : m_lastLoggedVoters) {
                names += (names.empty() ? "" : " ") + voter.node.str();
            }
            base::log(base::log_level::Info, "group members changed",
                      {{"voters", names},
                       {"term", newest->position.term},
                       {"index", newest->position.index}});
        }
    }

    auto startForwarded(const base::node_id &from, operator_request request, base::time_point now)
            -> void
    {
        const auto requestId = request.requestId;
        const auto replicaRequestId = startOnReplica(std::move(request), now);
        m_forwardedRequests[replicaRequestId] = {from, requestId};
    }

    auto startOnReplica(operator_request request, base::time_point now) -> std::uint64_t
    {
        switch (request.kind) {
        case operator_request_kind::Read:
            return m_replica->read(now);
        case operator_request_kind::EvacuationOrder:
            return m_replica->submitOrder(std::move(request.order), now);
        case operator_request_kind::EvacuationRead:
            return m_replica->readEvacuations(now);
        case operator_request_kind::Change:
            break;
        }
        return m_replica->submit(std::move(request.change), now);
    }

    auto deliverAnswer(completed_request &item, messages &out) -> void
    {
        const auto forwarded = m_forwardedRequests.find(item.requestId);
        if (forwarded != m_forwardedRequests.end()) {
            out.push_back({forwarded->second.from, base::channel::Quorum,
                           encodeMessage(operator_answer{forwarded->second.requestId,
                                                         std::move(item.answer)})});
            m_forwardedRequests.erase(forwarded);
            return;
        }
        const auto pending = std::find_if(
                m_pendingRequests.begin(), m_pendingRequests.end(),
                [&](const auto &entry) { return entry.second.replicaRequestId == item.requestId; });
        if (pending != m_pendingRequests.end()) {
            handleAnswer(pending->first, std::move(item.answer));
        }
    }

    // A request that the group could not handle, for example for lack of a leader, is tried again
    // until its deadline.
    auto handleAnswer(std::uint64_t requestId, group_answer answer) -> void
    {
        const auto found = m_pendingRequests.find(requestId);
        if (found == m_pendingRequests.end()) {
            return;
        }
        if (std::holds_alternative<group_unavailable>(answer)) {
            found->second.replicaRequestId.reset();
            found->second.retryAt = base::clock::now() + replica::HEARTBEAT_INTERVAL;
            return;
        }
        const auto onAnswer = std::move(found->second.onAnswer);
        m_pendingRequests.erase(found);
        onAnswer(std::move(answer));
    }

    auto refusePendingRequests(const std::string &reason) -> void
    {
        for (const auto &[requestId, request] : std::exchange(m_pendingRequests, {})) {
            request.onAnswer(group_unavailable{reason});
        }
    }

    auto advancePendingRequests(base::time_point now) -> void
    {
        std::vector<answer_function> expired;
        for (auto item = m_pendingRequests.begin(); item != m_pendingRequests.end();) {
            if (item->second.deadline <= now) {
                expired.push_back(std::move(item->second.onAnswer));
                item = m_pendingRequests.erase(item);
                continue;
            }
            startOrForward(item->second, now);
            ++item;
        }
        for (const auto &onAnswer : expired) {
            onAnswer(group_unavailable{
                    "no majority of the quorum group answered before the request timed out"});
        }
    }

    auto startOrForward(pending_request &item, base::time_point now) -> void
    {
        if (item.replicaRequestId || now < item.retryAt) {
            return;
        }
        if (m_replica->isReadyLeader()) {
            item.replicaRequestId = startOnReplica(item.request, now);
            return;
        }
        const auto &leader = m_replica->leader();
        if (!leader.empty() && leader != m_settings.replica.self) {
            item.retryAt = now + FORWARD_RETRY_INTERVAL;
            m_outgoing.push_back({leader, base::channel::Quorum, encodeMessage(item.request)});
        }
    }

    quorum_settings m_settings;
    edit_function m_edit;
    base::random_source m_random;
    post_function m_post;
    std::function<void(const value_pointer &)> m_onCommitted;
    std::optional<quorum::replica> m_replica;
    value_pointer m_publishedValue;
    std::map<std::uint64_t, pending_request> m_pendingRequests;
    std::map<std::uint64_t, forwarded_request> m_forwardedRequests;
    std::uint64_t m_lastRequestId = 0;
    messages m_outgoing;
    replica_role m_lastLoggedRole = replica_role::Follower;
    base::node_id m_lastLoggedLeader;
    std::vector<member> m_lastLoggedVoters;
    // The last member, so that its thread ends before the other members are destroyed.
    std::unique_ptr<storage_worker> m_storage;
};

quorum_node::quorum_node(quorum_settings settings, edit_function edit, std::uint64_t seed,
                         post_function post, std::function<void(const value_pointer &)> onCommitted)
    : m_state(std::make_shared<state>(std::move(settings), std::move(edit), seed, std::move(post),
                                      std::move(onCommitted)))
{
    m_state->startStorage();
}

quorum_node::~quorum_node() = default;

auto quorum_node::receive(const base::node_id &from, std::string_view payload, base::time_point now)
        -> messages
{
    return m_state->receive(from, payload, now);
}

auto quorum_node::tick(base::time_point now) -> messages
{
    return m_state->tick(now);
}

auto quorum_node::submit(operator_request request, base::duration timeout)
        -> boost::asio::awaitable<group_answer>
{
    co_return co_await base::awaitCallback<group_answer>(
            [this, &request, timeout](answer_function onAnswer) {
                m_state->submitRequest(std::move(request), timeout, std::move(onAnswer));
            });
}

auto quorum_node::change(config_change requestedChange, base::duration timeout)
        -> boost::asio::awaitable<group_answer>
{
    return submit({.kind = operator_request_kind::Change, .change = std::move(requestedChange)},
                  timeout);
}

auto quorum_node::read(base::duration timeout) -> boost::asio::awaitable<group_answer>
{
    return submit({.kind = operator_request_kind::Read}, timeout);
}

auto quorum_node::order(evacuation_order requestedOrder, base::duration timeout)
        -> boost::asio::awaitable<group_answer>
{
    return submit(
            {.kind = operator_request_kind::EvacuationOrder, .order = std::move(requestedOrder)},
            timeout);
}

auto quorum_node::readEvacuations(base::duration timeout) -> boost::asio::awaitable<group_answer>
{
    return submit({.kind = operator_request_kind::EvacuationRead}, timeout);
}

auto quorum_node::isFresh(base::time_point now, base::duration maxAge) const -> bool
{
    return m_state->replica() && m_state->replica()->isFresh(now, maxAge);
}

} // namespace hawthornpick::quorum
