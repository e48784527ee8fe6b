#include "quorum/quorumnode.h"

#include "base/awaitcallback.h"
#include "base/log.h"
#include "quorum/requestforwarder.h"

namespace hawthornpick::quorum {

namespace {

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

auto append(quorum_node::messages &out, quorum_node::messages more) -> void
{
    out.insert(out.end(), std::make_move_iterator(more.begin()),
               std::make_move_iterator(more.end()));
}

} // namespace

class quorum_node::state : public std::enable_shared_from_this<quorum_node::state>
{
public:
    state(quorum_settings settings, edit_function edit, std::uint64_t seed, post_function post,
          std::function<void(const value_pointer &)> onCommitted)
        : m_settings(std::move(settings)), m_edit(std::move(edit)), m_random(seed),
          m_post(std::move(post)), m_onCommitted(std::move(onCommitted)),
          m_forwarder(m_settings.replica.self, base::random_source(m_random.bits()))
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
            m_forwarder.receive(from, std::move(*request), *m_replica, now);
        } else if (auto *answer = std::get_if<operator_answer>(&*content)) {
            if (!m_forwarder.receive(from, std::move(*answer), now)) {
                base::log(base::log_level::Info, "late group answer ignored",
                          {{"from", from.str()}});
            }
        } else {
            m_replica->receive(from, *content, now);
        }
        return collectMessages(now);
    }

    auto tick(base::time_point now) -> messages
    {
        if (!m_replica) {
            return {};
        }
        m_replica->tick(now);
        return advanceRequests(now);
    }

    auto submitRequest(operator_request request, base::duration timeout,
                       request_forwarder::answer_function onAnswer) -> void
    {
        m_forwarder.submit(std::move(request), base::clock::now() + timeout, std::move(onAnswer));
        m_post([weak = weak_from_this()](base::time_point now) {
            const auto self = weak.lock();
            if (!self) {
                return messages{};
            }
            if (!self->m_replica) {
                self->m_forwarder.refuseAll("the data folder of this node is not loaded yet");
                return messages{};
            }
            return self->advanceRequests(now);
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
        return collectMessages(now);
    }

    auto onWritten(std::uint64_t revision, base::time_point now) -> messages
    {
        m_replica->onStatePersisted(revision, now);
        return collectMessages(now);
    }

    auto advanceRequests(base::time_point now) -> messages
    {
        auto out = m_forwarder.advance(*m_replica, now);
        append(out, collectMessages(now));
        return out;
    }

    // Collects the messages that the last event produced, and carries out its other results:
    // answers, the next disk write, log lines and the committed value.
    auto collectMessages(base::time_point now) -> messages
    {
        auto out = m_replica->takeMessages();
        for (auto &completed : m_replica->takeCompletedRequests()) {
            append(out, m_forwarder.deliver(std::move(completed), now));
        }
        if (auto job = m_replica->takeStorageJob()) {
            m_storage->write(std::move(*job));
        }
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

    quorum_settings m_settings;
    edit_function m_edit;
    base::random_source m_random;
    post_function m_post;
    std::function<void(const value_pointer &)> m_onCommitted;
    std::optional<quorum::replica> m_replica;
    value_pointer m_publishedValue;
    request_forwarder m_forwarder;
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
            [this, &request, timeout](request_forwarder::answer_function onAnswer) {
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
