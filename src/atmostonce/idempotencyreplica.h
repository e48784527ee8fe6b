#pragma once

#include "base/ids.h"
#include "base/message.h"
#include "base/time.h"

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

namespace hawthornpick::atmostonce {

//! Settings of one replica of idempotency records.
struct replica_settings
{
    base::node_id node;
    //! Home region of the records. A node may be a replica of a region other than its own.
    base::region_id region;
    base::incarnation incarnation = 0;
    //! All replicas of the region, including this node; must be equal on all of them.
    std::vector<base::node_id> replicas;
    //! When this number is reached, claims of new keys are refused; no record is removed before it
    //! expires.
    std::size_t maxRecords = 200'000;
    //! Total size of the stored answers. An outcome whose answer would exceed it is stored without
    //! the answer.
    std::size_t maxTotalAnswerBytes = 64UL * 1024 * 1024;
    //! How long after its start a replica begins to serve without a copy, if all other replicas
    //! answer but too few of them have records to copy. This is so at the first start of a fleet
    //! and after the simultaneous loss of a majority. The wait covers the longest request deadline,
    //! so that no attempt from before the loss is still running.
    base::duration coldStartWait = std::chrono::seconds(10);
};

class replica_state;

//! One in-memory replica of the idempotency records of a region. Each record is a replicated
//! register with Paxos ballots. A restarted replica answers clients only after it has copied the
//! records of as many other replicas as form a majority of all replicas (of all others, if these
//! are fewer). Answers carry the newest incarnation known of each replica, so that a client doesn't
//! count a vote that a replica lost in a restart.
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

    //! Returns true while the replica copies records and doesn't answer clients.
    [[nodiscard]] auto recovering() const -> bool;
    [[nodiscard]] auto size() const -> std::size_t;

private:
    std::unique_ptr<replica_state> m_state;
};

} // namespace hawthornpick::atmostonce
