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

//! Identity of an idempotency record.
struct record_key
{
    base::organisation_id organisation;
    //! Value of the Idempotency-Key header.
    std::string key;

    auto operator<=>(const record_key &) const = default;
};

//! Result of a claim that allows the request to run.
struct claim_held
{
    //! Names the claim in `renew`, `complete` and `release`.
    std::uint64_t claim = 0;

    auto operator<=>(const claim_held &) const = default;
};

//! A request with the same key has completed.
struct claim_completed
{
    std::int32_t status = 0;
    //! The stored answer, as it was passed to `complete`.
    std::string answer;

    auto operator<=>(const claim_completed &) const = default;
};

//! A request with the same key is running: `IdempotencyInProgress`.
struct claim_in_progress
{
    auto operator<=>(const claim_in_progress &) const = default;
};

//! The key was used with another request: `IdempotencyMismatch`.
struct claim_mismatch
{
    auto operator<=>(const claim_mismatch &) const = default;
};

//! A request with the same key was started and its outcome is not known: `OutcomeUnknown`.
struct claim_unknown
{
    auto operator<=>(const claim_unknown &) const = default;
};

//! No majority of the home region's replicas answered, or they are full: `IdempotencyUnavailable`.
//! The request was not run.
struct claim_unavailable
{
    auto operator<=>(const claim_unavailable &) const = default;
};

using claim_result = std::variant<claim_held, claim_completed, claim_in_progress, claim_mismatch,
                                  claim_unknown, claim_unavailable>;

//! What an entry node asks for before it forwards a request with an Idempotency-Key.
struct claim_request
{
    record_key key;
    base::digest256 digest;
    //! The attempt that will be sent if the claim is held, and where.
    attempt_place place;
    base::milliseconds recordLife{3600000};

    auto operator<=>(const claim_request &) const = default;
};

} // namespace hawthornpick::atmostonce
