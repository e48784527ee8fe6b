#include "quorum/quorumnode.h"

#include "base/awaitcallback.h"
#include "base/log.h"

#include <map>

namespace hawthornpick::quorum {

namespace {

//! An answer of the leader that does not come within this time is asked for again; repeating a
//! change is safe because its digest identifies it.
constexpr base::milliseconds FORWARD_RETRY{500};

using answer_function = std::function<void(group_answer)>;

//! A request of an operator that waits for its answer.
struct open_request
{
    operator_request request;
    base::time_point deadline;
    base::time_point retryAt;
    answer_function done;
    //! Ticket of the local replica while it handles the request.
    std::optional<std::uint64_t> ticket;
};

//! A request that another node passed on.
struct served_request
{
    base::node_id from;
    std::uint64_t number = 0;
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

    auto start() -> void
    {
        const std::weak_ptr<state> weak = weak_from_this();
        const auto onLoaded = [weak, post = m_post](durable_state loaded) {
            post([weak, loaded = std::move(loaded)](base::time_point now) {
                const auto self = weak.lock();
                return self ? self->onLoaded(loaded, now) : messages{};
            });
        };
        const auto onWritten = [weak, post = m_post](std::uint64_t ticket) {
            post([weak, ticket](base::time_point now) {
                const auto self = weak.lock();
                return self ? self->onWritten(ticket, now) : messages{};
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
            serve(from, std::move(*request), now);
        } else if (auto *answer = std::get_if<operator_answer>(&*content)) {
            finishOpen(answer->number, std::move(answer->answer));
        } else {
            m_replica->receive(from, *content, now);
        }
        return flush();
    }

    auto tick(base::time_point now) -> messages
    {
        if (!m_replica) {
            return {};
        }
        m_replica->tick(now);
        advanceOpen(now);
        return flush();
    }

    auto ask(operator_request request, base::duration timeout, answer_function done) -> void
    {
        const auto number = ++m_lastNumber;
        request.number = number;
        const auto deadline = base::clock::now() + timeout;
        m_open.emplace(number, open_request{std::move(request), deadline, {}, std::move(done), {}});
        m_post([weak = weak_from_this()](base::time_point now) {
            const auto self = weak.lock();
            if (!self || !self->m_replica) {
                return messages{};
            }
            self->advanceOpen(now);
            return self->flush();
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
                  {{"disk", std::to_string(loaded.disk)},
                   {"term", loaded.term},
                   {"version", loaded.value ? loaded.value->version : 0}});
        m_replica.emplace(m_settings.replica, std::move(loaded), m_edit, m_random, now);
        return flush();
    }

    auto onWritten(std::uint64_t ticket, base::time_point now) -> messages
    {
        m_replica->persisted(ticket, now);
        return flush();
    }

    // Hands out everything that the last event produced.
    auto flush() -> messages
    {
        auto out = m_replica->takeMessages();
        for (auto &item : m_replica->takeFinished()) {
            finishTicket(item, out);
        }
        if (auto job = m_replica->takeStorage()) {
            m_storage->write(std::move(*job));
        }
        out.insert(out.end(), std::make_move_iterator(m_out.begin()),
                   std::make_move_iterator(m_out.end()));
        m_out.clear();
        logChanges();
        const auto &committed = m_replica->committed();
        if (committed && committed != m_published) {
            m_published = committed;
            m_onCommitted(committed);
        }
        return out;
    }

    auto logChanges() -> void
    {
        if (m_replica->role() != m_loggedRole || m_replica->leader() != m_loggedLeader) {
            m_loggedRole = m_replica->role();
            m_loggedLeader = m_replica->leader();
            base::log(base::log_level::Info, "group role changed",
                      {{"role", roleName(m_loggedRole)},
                       {"term", m_replica->term()},
                       {"leader", m_loggedLeader.str()}});
        }
        const auto &newest = m_replica->newest();
        if (newest && newest->voters != m_loggedVoters) {
            m_loggedVoters = newest->voters;
            std::string names;
            for (const auto &voter : m_loggedVoters) {
                names += (names.empty() ? "" : " ") + voter.node.str();
            }
            base::log(base::log_level::Info, "group members changed",
                      {{"voters", names},
                       {"term", newest->position.term},
                       {"index", newest->position.index}});
        }
    }

    auto serve(const base::node_id &from, operator_request request, base::time_point now) -> void
    {
        const auto number = request.number;
        const auto ticket = start(std::move(request), now);
        m_served[ticket] = {from, number};
    }

    auto start(operator_request request, base::time_point now) -> std::uint64_t
    {
        if (request.kind == operator_request_kind::Read) {
            return m_replica->read(now);
        }
        return m_replica->submit(std::move(request.change), now);
    }

    auto finishTicket(finished_request &item, messages &out) -> void
    {
        const auto served = m_served.find(item.ticket);
        if (served != m_served.end()) {
            out.push_back({served->second.from, base::channel::Quorum,
                           encodeMessage(operator_answer{served->second.number,
                                                         std::move(item.answer)})});
            m_served.erase(served);
            return;
        }
        const auto own = std::find_if(m_open.begin(), m_open.end(), [&](const auto &entry) {
            return entry.second.ticket == item.ticket;
        });
        if (own != m_open.end()) {
            finishOpen(own->first, std::move(item.answer));
        }
    }

    // A request for which there is no leader at present is tried again until its deadline.
    auto finishOpen(std::uint64_t number, group_answer answer) -> void
    {
        const auto position = m_open.find(number);
        if (position == m_open.end()) {
            return;
        }
        if (std::holds_alternative<group_unavailable>(answer)) {
            position->second.ticket.reset();
            position->second.retryAt = base::clock::now() + replica::HEARTBEAT_INTERVAL;
            return;
        }
        const auto done = std::move(position->second.done);
        m_open.erase(position);
        done(std::move(answer));
    }

    auto advanceOpen(base::time_point now) -> void
    {
        std::vector<answer_function> expired;
        for (auto item = m_open.begin(); item != m_open.end();) {
            if (item->second.deadline <= now) {
                expired.push_back(std::move(item->second.done));
                item = m_open.erase(item);
                continue;
            }
            advance(item->second, now);
            ++item;
        }
        for (const auto &done : expired) {
            done(group_unavailable{"no majority of the core answered in time"});
        }
    }

    auto advance(open_request &item, base::time_point now) -> void
    {
        if (item.ticket || now < item.retryAt) {
            return;
        }
        if (m_replica->isReady()) {
            item.ticket = start(item.request, now);
            return;
        }
        const auto &leader = m_replica->leader();
        if (!leader.empty() && leader != m_settings.replica.self) {
            item.retryAt = now + FORWARD_RETRY;
            m_out.push_back({leader, base::channel::Quorum, encodeMessage(item.request)});
        }
    }

    quorum_settings m_settings;
    edit_function m_edit;
    base::random_source m_random;
    post_function m_post;
    std::function<void(const value_pointer &)> m_onCommitted;
    std::optional<quorum::replica> m_replica;
    value_pointer m_published;
    std::map<std::uint64_t, open_request> m_open;
    std::map<std::uint64_t, served_request> m_served;
    std::uint64_t m_lastNumber = 0;
    messages m_out;
    replica_role m_loggedRole = replica_role::Follower;
    base::node_id m_loggedLeader;
    std::vector<member> m_loggedVoters;
    // Last, so that its thread ends before the rest is destroyed.
    std::unique_ptr<storage_worker> m_storage;
};

quorum_node::quorum_node(quorum_settings settings, edit_function edit, std::uint64_t seed,
                         post_function post, std::function<void(const value_pointer &)> onCommitted)
    : m_state(std::make_shared<state>(std::move(settings), std::move(edit), seed, std::move(post),
                                      std::move(onCommitted)))
{
    m_state->start();
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

auto quorum_node::change(config_change wanted, base::duration timeout)
        -> boost::asio::awaitable<group_answer>
{
    operator_request request{0, operator_request_kind::Change, std::move(wanted)};
    co_return co_await base::awaitCallback<group_answer>(
            [this, &request, timeout](answer_function done) {
                m_state->ask(std::move(request), timeout, std::move(done));
            });
}

auto quorum_node::read(base::duration timeout) -> boost::asio::awaitable<group_answer>
{
    co_return co_await base::awaitCallback<group_answer>([this, timeout](answer_function done) {
        m_state->ask({0, operator_request_kind::Read, {}}, timeout, std::move(done));
    });
}

auto quorum_node::isFresh(base::time_point now, base::duration limit) const -> bool
{
    return m_state->replica() && m_state->replica()->isFresh(now, limit);
}

} // namespace hawthornpick::quorum
