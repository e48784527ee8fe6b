#pragma once

#include "atmostonce/internal/wireformat.h"
#include "base/random.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hawthornpick::atmostonce {

//! The record with the highest accepted ballot among the promises of a majority.
struct observed_record
{
    wire::record value;
    base::milliseconds age{0};
};

//! Outcome of an operation.
enum class operation_outcome : std::uint8_t {
    //! A majority stored the new record.
    Stored,
    //! The update function returned nothing, so the record was not written.
    Unchanged,
    //! No majority stored the record before the deadline, or too many replicas are full.
    Failed,
};

//! One read-modify-write of a record. Repeats prepare and accept rounds at the replicas until a
//! majority has stored the updated record or the deadline passes. Not thread-safe.
class record_operation
{
public:
    //! Returns the record to store, or nothing to leave the record unchanged.
    using update_function =
            std::function<std::optional<wire::record>(const observed_record &observed)>;
    //! Called once. `observed` is the record that was read, including its answer.
    using completion_function =
            std::function<void(operation_outcome outcome, const observed_record &observed)>;

    record_operation(std::string key, std::string region, std::vector<base::node_id> replicas,
                     update_function update, completion_function onFinished,
                     base::time_point deadline, std::int64_t proposer, base::random_source random);

    auto start(base::time_point now) -> messages;
    auto receive(const base::node_id &from, const wire::idempotency_message &message,
                 base::time_point now) -> messages;
    auto tick(base::time_point now) -> messages;
    [[nodiscard]] auto finished() const -> bool { return m_phase == phase::Finished; }

private:
    enum class phase : std::uint8_t {
        Preparing,
        Accepting,
        Fetching,
        Waiting,
        Finished,
    };
    struct received_promise
    {
        std::int64_t incarnation = 0;
        wire::idempotency_message content;
    };

    auto updateIncarnations(const wire::idempotency_message &message) -> void;
    auto handlePromise(const base::node_id &from, const wire::idempotency_message &message,
                       base::time_point now) -> messages;
    auto handlePromiseMajority(base::time_point now) -> messages;
    auto handleAccepted(const base::node_id &from, const wire::idempotency_message &message)
            -> void;
    auto handleRejected(const wire::idempotency_message &message, base::time_point now) -> messages;
    auto handleFull(const base::node_id &from) -> void;
    auto finish(operation_outcome outcome) -> void;
    auto sendPending(base::time_point now) -> messages;
    auto makeMessage(const base::node_id &to, message_kind kind) const -> base::outgoing_message;
    [[nodiscard]] auto majoritySize() const -> std::size_t { return m_replicas.size() / 2 + 1; }
    static auto incarnationOf(const base::node_id &node, const wire::idempotency_message &message)
            -> std::int64_t;

    std::string m_key;
    std::string m_region;
    std::vector<base::node_id> m_replicas;
    update_function m_update;
    completion_function m_onFinished;
    base::time_point m_deadline;
    base::random_source m_random;
    wire::ballot m_ballot;
    phase m_phase = phase::Preparing;
    bool m_hasBeenRejected = false;
    //! Newest known incarnation of each replica. Votes of older incarnations were lost in a restart
    //! and don't count.
    std::map<std::string, std::int64_t> m_newestIncarnations;
    std::map<base::node_id, received_promise> m_promises;
    std::map<base::node_id, std::int64_t> m_votes;
    std::map<base::node_id, bool> m_fullReplicas;
    observed_record m_observed;
    wire::record m_proposal;
    base::time_point m_lastSentAt;
    base::time_point m_retryAt;
};

} // namespace hawthornpick::atmostonce
