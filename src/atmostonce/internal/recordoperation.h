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

//! The record as a majority of replicas showed it.
struct seen_record
{
    wire::record value;
    base::milliseconds age{0};
};

//! How an operation ended.
enum class operation_end : std::uint8_t {
    //! A majority stored the new record.
    Stored,
    //! The change function left the record as it is.
    Unchanged,
    //! No majority answered in time, or the replicas are full.
    Failed,
};

//! One read-modify-write of a record: prepare and accept rounds at the replicas until a majority
//! has stored the changed record or the limit is reached. Not thread-safe.
class record_operation
{
public:
    //! Returns the record to store, or nothing to leave it as it is.
    using change_function = std::function<std::optional<wire::record>(const seen_record &seen)>;
    //! Called once. `seen` is the record that was found, with its answer.
    using end_function = std::function<void(operation_end end, const seen_record &seen)>;

    record_operation(std::string key, std::string region, std::vector<base::node_id> replicas,
                     change_function change, end_function ended, base::time_point end,
                     std::int64_t proposer, base::random_source random);

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
    struct promise
    {
        std::int64_t incarnation = 0;
        wire::idempotency_message content;
    };

    auto learn(const wire::idempotency_message &message) -> void;
    auto handlePromise(const base::node_id &from, const wire::idempotency_message &message,
                       base::time_point now) -> messages;
    auto decide(base::time_point now) -> messages;
    auto handleAccepted(const base::node_id &from, const wire::idempotency_message &message)
            -> void;
    auto handleRejected(const wire::idempotency_message &message, base::time_point now) -> messages;
    auto handleFull(const base::node_id &from) -> void;
    auto finish(operation_end end) -> void;
    auto resend(base::time_point now) -> messages;
    auto messageTo(const base::node_id &to, message_kind kind) const -> base::outgoing_message;
    [[nodiscard]] auto majority() const -> std::size_t { return m_replicas.size() / 2 + 1; }
    static auto incarnationOf(const base::node_id &node, const wire::idempotency_message &message)
            -> std::int64_t;

    std::string m_key;
    std::string m_region;
    std::vector<base::node_id> m_replicas;
    change_function m_change;
    end_function m_ended;
    base::time_point m_end;
    base::random_source m_random;
    wire::ballot m_ballot;
    phase m_phase = phase::Preparing;
    bool m_rejected = false;
    //! Newest incarnation known of each replica; votes of older ones are lost.
    std::map<std::string, std::int64_t> m_known;
    std::map<base::node_id, promise> m_promises;
    std::map<base::node_id, std::int64_t> m_votes;
    std::map<base::node_id, bool> m_full;
    seen_record m_seen;
    wire::record m_proposal;
    base::time_point m_lastSent;
    base::time_point m_retryAt;
};

} // namespace hawthornpick::atmostonce
