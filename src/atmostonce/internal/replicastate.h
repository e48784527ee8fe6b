#pragma once

#include "atmostonce/idempotencyreplica.h"
#include "atmostonce/internal/wireformat.h"

#include <map>
#include <optional>
#include <string>

namespace hawthornpick::atmostonce {

//! Implementation of `idempotency_replica`.
class replica_state
{
public:
    explicit replica_state(replica_settings settings);

    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;
    auto tick(base::time_point now) -> messages;
    [[nodiscard]] auto recovering() const -> bool { return m_recovering; }
    [[nodiscard]] auto size() const -> std::size_t { return m_records.size(); }

private:
    using message = wire::idempotency_message;
    struct stored_record
    {
        wire::ballot promised;
        wire::ballot accepted;
        wire::record value;
        base::time_point acceptedAt;
        base::time_point expires;
    };
    using record_map = std::map<std::string, stored_record>;
    //! Progress of the copy from another replica.
    struct copy_source
    {
        std::string cursor;
        bool done = false;
        //! Time of the last `Recovering` reply of the source.
        std::optional<base::time_point> recoveringReplyAt;
        base::time_point requestedAt;
    };

    // Handling of client requests (replicastate.cpp).
    auto prepare(const message &request, base::time_point now) -> std::optional<message>;
    auto accept(const message &request, base::time_point now) -> std::optional<message>;
    auto fetch(const message &request, base::time_point now) -> std::optional<message>;
    auto findLive(const std::string &key, base::time_point now) -> stored_record *;
    auto erase(record_map::iterator stored) -> record_map::iterator;
    auto storeAccepted(stored_record &stored, const wire::ballot &ballot, const wire::record &value,
                       base::time_point now) -> void;
    auto reply(const message &request, message_kind kind) const -> message;
    auto removeExpired(base::time_point now) -> void;

    // Recovery (replicarecovery.cpp).
    auto makeCopyPage(const base::node_id &from, const message &request, base::time_point now)
            -> message;
    auto applyPage(const base::node_id &from, const message &page, base::time_point now)
            -> messages;
    auto mergeCopy(const wire::copied_record &copy, base::time_point now) -> void;
    auto makeCopyRequest(const base::node_id &to, copy_source &source, base::time_point now)
            -> base::outgoing_message;
    auto tickRecovery(base::time_point now) -> messages;
    auto updateRecovering(base::time_point now) -> void;

    replica_settings m_settings;
    bool m_recovering = true;
    std::optional<base::time_point> m_startedAt;
    std::map<base::node_id, copy_source> m_copySources;
    std::map<std::string, std::int64_t> m_newestIncarnations;
    record_map m_records;
    std::size_t m_totalAnswerBytes = 0;
    std::string m_expiryCursor;
};

} // namespace hawthornpick::atmostonce
