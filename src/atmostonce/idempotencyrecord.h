#pragma once

#include "atmostonce/fence.h"
#include "base/digest.h"
#include "base/ids.h"
#include "base/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

namespace hawthornpick::atmostonce {

//! Key of an idempotency record; keys of different organisations are distinct.
struct record_key
{
    base::organisation_id organisation;
    //! Value of the Idempotency-Key header.
    std::string key;

    auto operator<=>(const record_key &) const = default;
};

//! The claim was stored: the request may be executed.
struct claim_held
{
    //! Identifies the claim in calls of `renew`, `complete` and `release`.
    std::uint64_t claim = 0;

    auto operator<=>(const claim_held &) const = default;
};

//! A request with the same key has completed.
struct claim_completed
{
    std::int32_t status = 0;
    //! The answer that was passed to `complete`.
    std::string answer;

    auto operator<=>(const claim_completed &) const = default;
};

//! A request with the same key is in progress: `IdempotencyInProgress`.
struct claim_in_progress
{
    auto operator<=>(const claim_in_progress &) const = default;
};

//! The key was used for a request with another digest: `IdempotencyMismatch`.
struct claim_mismatch
{
    auto operator<=>(const claim_mismatch &) const = default;
};

//! A request with the same key may have been executed, and its outcome or its answer is not
//! available: `OutcomeUnknown`.
struct claim_unknown
{
    auto operator<=>(const claim_unknown &) const = default;
};

//! No majority of the home region's replicas stored the claim, because they did not answer in time
//! or are full: `IdempotencyUnavailable`. The request was not executed.
struct claim_unavailable
{
    auto operator<=>(const claim_unavailable &) const = default;
};

using claim_result = std::variant<claim_held, claim_completed, claim_in_progress, claim_mismatch,
                                  claim_unknown, claim_unavailable>;

//! Claim of an entry node for a request with an Idempotency-Key, made before the request is
//! forwarded.
struct claim_request
{
    record_key key;
    base::digest256 digest;
    //! The attempt that is sent if the result is `claim_held`, and its executing node.
    attempt_place place;
    base::milliseconds recordLife{3600000};

    auto operator<=>(const claim_request &) const = default;
};

} // namespace hawthornpick::atmostonce
