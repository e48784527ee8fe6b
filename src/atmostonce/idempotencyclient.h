#pragma once

#include "atmostonce/fence.h"
#include "atmostonce/idempotencyrecord.h"
#include "base/message.h"
#include "base/random.h"
#include "base/time.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace hawthornpick::atmostonce {

class record_operation;
struct observed_record;
enum class operation_outcome : std::uint8_t;
namespace wire {
class record;
} // namespace wire

//! Replicas of each region, from `config::settings::witnesses`.
using replica_map = std::map<base::region_id, std::vector<base::node_id>>;

//! Returns the home region of an organisation's records. Nodes with equal settings get the same
//! result. Precondition: `replicas` is not empty. Thread safety: pure.
auto homeRegion(const replica_map &replicas, const base::organisation_id &organisation)
        -> const base::region_id &;

//! Claims and completes idempotency records on behalf of one entry node. Each operation is a
//! read-modify-write of a replicated register, with a prepare and an accept round at a majority of
//! the home region's replicas. Each callback is called exactly once, on the control thread.
class idempotency_client
{
public:
    using claim_callback = std::function<void(claim_result)>;
    //! The argument is true if a majority stored the update.
    using done_callback = std::function<void(bool)>;

    static constexpr base::duration CLAIM_TIMEOUT = std::chrono::milliseconds(1500);
    static constexpr base::duration STORE_TIMEOUT = std::chrono::seconds(10);
    //! Minimum age of a claim at which a repeated request fences the claimed attempt at its
    //! executing node. It exceeds the usual request deadline, so that a repeat doesn't cancel an
    //! attempt that waits in a queue.
    static constexpr base::duration MIN_FENCE_AGE = std::chrono::seconds(10);
    //! Age of a claim from which the attempt is no longer fenced: the executing node drops started
    //! attempts after `attempt_registry::RETENTION` and would then answer `NotStarted` for an
    //! attempt that was executed.
    static constexpr base::duration MAX_FENCE_AGE = std::chrono::minutes(5);
    //! Age from which a claim without an outcome is reported as unknown instead of in progress.
    static constexpr base::duration MAX_IN_PROGRESS_AGE = std::chrono::seconds(60);
    static constexpr std::size_t MAX_ANSWER_BYTES = 16UL * 1024;

    //! Preconditions: `fenceClient` outlives the client; `random` has a different seed on each
    //! node.
    idempotency_client(replica_map replicas, fence_client &fenceClient, base::random_source random,
                       post_function post);
    ~idempotency_client();
    idempotency_client(const idempotency_client &) = delete;
    auto operator=(const idempotency_client &) -> idempotency_client & = delete;

    //! Claims the record. After `claim_held`, the request may be sent only as the attempt named in
    //! `request`, before the deadline of the request and at most one minute after the result,
    //! because an executing node retains a fence for ten minutes only. Thread safety: any thread.
    auto claim(claim_request request, claim_callback done) -> void;

    //! Replaces the attempt of the claim. Precondition: the previous attempt was not started and
    //! can't be started any more. The new attempt may be sent only after `done(true)`. Thread
    //! safety: any thread.
    auto renew(record_key key, std::uint64_t claim, attempt_place next, done_callback done) -> void;

    //! Stores the outcome. An answer of more than `MAX_ANSWER_BYTES` is not stored, and a repeated
    //! request then gets `claim_unknown`. Thread safety: any thread.
    auto complete(record_key key, std::uint64_t claim, std::int32_t status, std::string answer,
                  done_callback done) -> void;

    //! Releases the key after a request that was refused without execution. Precondition: the
    //! latest attempt of the claim was not started and can't be started any more. Thread safety:
    //! any thread.
    auto release(record_key key, std::uint64_t claim, done_callback done) -> void;

    //! Thread safety of `receive` and `tick`: control thread.
    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;
    auto tick(base::time_point now) -> messages;

private:
    using update_function =
            std::function<std::optional<wire::record>(const observed_record &observed)>;
    using completion_function =
            std::function<void(operation_outcome outcome, const observed_record &observed)>;
    struct claim_task
    {
        claim_request request;
        claim_callback done;
        std::uint64_t claim = 0;
        base::time_point deadline;
        //! Attempt of the previous claim, after its executing node answered `NotStarted`.
        std::optional<attempt_place> fencedPlace;
    };
    using claim_pointer = std::shared_ptr<claim_task>;

    auto startClaim(claim_pointer task, base::time_point now) -> messages;
    auto finishClaim(const claim_pointer &task, operation_outcome outcome,
                     const observed_record &observed) -> void;
    auto fenceAndRetry(const claim_pointer &task, const attempt_place &place,
                       const claim_result &resultIfNotFenced) -> void;
    auto updateRecord(record_key key, update_function update, base::duration timeout,
                      done_callback done) -> void;
    auto startOperation(const record_key &key, update_function update,
                        completion_function onFinished, base::time_point deadline,
                        base::time_point now) -> messages;

    replica_map m_replicas;
    fence_client &m_fenceClient;
    base::random_source m_random;
    post_function m_post;
    std::map<std::uint64_t, std::shared_ptr<record_operation>> m_operations;
};

} // namespace hawthornpick::atmostonce
