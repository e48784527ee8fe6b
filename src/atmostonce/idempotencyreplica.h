#pragma once

#include "base/ids.h"
#include "base/message.h"
#include "base/time.h"

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

namespace hawthornpick::atmostonce {

//! What one replica of idempotency records needs to know.
struct replica_settings
{
    base::node_id node;
    //! Region that the records belong to; a node may be a replica of another region than its own.
    base::region_id region;
    base::incarnation incarnation = 0;
    //! All replicas of the region, this node included; the same on all of them.
    std::vector<base::node_id> replicas;
    //! At the bound claims of new keys are refused; no record is dropped before its end.
    std::size_t maxRecords = 200'000;
    //! At the bound an outcome is stored without its answer.
    std::size_t maxAnswerBytes = 64UL * 1024 * 1024;
    //! How long a replica waits before it starts without a copy, when all others answer but too few
    //! of them have one: the first start of a fleet, or the loss of a majority at once. It covers
    //! the longest deadline, so that no attempt of before is still running.
    base::duration coldStartWait = std::chrono::seconds(10);
};

class replica_state;

//! One in-memory replica of the idempotency records of a region. Each record is a register with
//! ballots. A replica that restarted answers only after it has copied the records of a majority,
//! counted by all replicas, from the others; answers carry the newest incarnations that a replica
//! knows, so that a client doesn't count a vote that its replica has forgotten.
//! Thread safety of all members: control thread.
class idempotency_replica
{
public:
    explicit idempotency_replica(replica_settings settings);
    ~idempotency_replica();
    idempotency_replica(const idempotency_replica &) = delete;
    auto operator=(const idempotency_replica &) -> idempotency_replica & = delete;

    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> std::vector<base::outgoing_message>;
    auto tick(base::time_point now) -> std::vector<base::outgoing_message>;

    //! True while the replica copies records and answers no client.
    [[nodiscard]] auto recovering() const -> bool;
    [[nodiscard]] auto size() const -> std::size_t;

private:
    std::unique_ptr<replica_state> m_state;
};

} // namespace hawthornpick::atmostonce
