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
struct seen_record;
enum class operation_end : std::uint8_t;
namespace wire {
class record;
} // namespace wire

//! Fixed replicas of each region, from `config::settings::witnesses`.
using replica_map = std::map<base::region_id, std::vector<base::node_id>>;

//! Returns the home region of an organisation's records: the same on all nodes with the same
//! settings. Precondition: `replicas` is not empty. Thread safety: pure.
auto homeRegion(const replica_map &replicas, const base::organisation_id &organisation)
        -> const base::region_id &;

//! Claims and completes idempotency records for one entry node. Each operation is a
//! read-modify-write of a replicated register (prepare and accept, by a majority of the home
//! region's replicas).
//! Callbacks are called exactly once, on the control thread.
class idempotency_client
{
public:
    using claim_callback = std::function<void(claim_result)>;
    //! True if a majority stored the change.
    using done_callback = std::function<void(bool)>;

    static constexpr base::duration CLAIM_LIMIT = std::chrono::milliseconds(1500);
    static constexpr base::duration STORE_LIMIT = std::chrono::seconds(10);
    //! Age after which a repeat asks the executing node whether the claimed attempt was started. It
    //! is above the usual deadline, so that a repeat doesn't cancel an attempt that waits in a
    //! queue.
    static constexpr base::duration FENCE_AFTER = std::chrono::seconds(10);
    //! Age after which the executing node is no longer asked: it forgets started attempts after
    //! `attempt_registry::MEMORY` and would then answer "not started" about one that ran.
    static constexpr base::duration FENCE_BEFORE = std::chrono::minutes(5);
    //! Age after which a claim that was started counts as unknown instead of in progress.
    static constexpr base::duration IN_PROGRESS_LIMIT = std::chrono::seconds(60);
    static constexpr std::size_t MAX_ANSWER_BYTES = 16UL * 1024;

    //! Preconditions: `fences` outlives the client; `random` is seeded differently on each node.
    idempotency_client(replica_map replicas, fence_client &fences, base::random_source random,
                       post_function post);
    ~idempotency_client();
    idempotency_client(const idempotency_client &) = delete;
    auto operator=(const idempotency_client &) -> idempotency_client & = delete;

    //! Claims the record. The request may be sent, as the attempt named in `request` only, after
    //! `claim_held`, before the deadline of the request and at most a minute later: an executing
    //! node remembers a fence for ten minutes only. Thread safety: any thread.
    auto claim(claim_request request, claim_callback done) -> void;

    //! Names another attempt, after proof that the one named before was not started. The new
    //! attempt may be sent only after `done(true)`. Thread safety: any thread.
    auto renew(record_key key, std::uint64_t claim, attempt_place next, done_callback done) -> void;

    //! Stores the outcome; an answer of more than `MAX_ANSWER_BYTES` is not stored, and a repeat
    //! then gets `claim_unknown`. Thread safety: any thread.
    auto complete(record_key key, std::uint64_t claim, std::int32_t status, std::string answer,
                  done_callback done) -> void;

    //! Gives the key free after a request that was refused and not run. Precondition: the attempt
    //! named last was not started and never will be. Thread safety: any thread.
    auto release(record_key key, std::uint64_t claim, done_callback done) -> void;

    //! Thread safety of the following: control thread.
    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;
    auto tick(base::time_point now) -> messages;

private:
    using change_function = std::function<std::optional<wire::record>(const seen_record &seen)>;
    using end_function = std::function<void(operation_end end, const seen_record &seen)>;
    struct claim_task
    {
        claim_request request;
        claim_callback done;
        std::uint64_t claim = 0;
        base::time_point end;
        //! Attempt of the claim before, once its node said that it never starts.
        std::optional<attempt_place> notStarted;
    };
    using claim_pointer = std::shared_ptr<claim_task>;

    auto beginClaim(claim_pointer task, base::time_point now) -> messages;
    auto endClaim(const claim_pointer &task, operation_end end, const seen_record &seen) -> void;
    auto fenceAndRepeat(const claim_pointer &task, const attempt_place &place,
                        const claim_result &otherwise) -> void;
    auto update(record_key key, change_function change, base::duration limit, done_callback done)
            -> void;
    auto begin(const record_key &key, change_function change, end_function ended,
               base::time_point end, base::time_point now) -> messages;

    replica_map m_replicas;
    fence_client &m_fences;
    base::random_source m_random;
    post_function m_post;
    std::map<std::uint64_t, std::shared_ptr<record_operation>> m_operations;
};

} // namespace hawthornpick::atmostonce
