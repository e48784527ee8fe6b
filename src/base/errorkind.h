#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace hawthornpick::base {

//! Reasons for which a request is refused or fails. The numbers are part of the peer protocol, so
//! new kinds are added at the end.
enum class error_kind : std::uint8_t {
    BadRequest,
    HeaderTooLarge,
    BodyTooLarge,
    RequestTimeout,
    KeyInQuery,
    NoRoute,
    MethodNotAllowed,
    KeyMissing,
    KeyInvalid,
    RateExceeded,
    RateUnavailable,
    ConfigNotCurrent,
    NoConfiguration,
    NoUpstream,
    UpstreamEjected,
    UpstreamDraining,
    IncarnationChanged,
    QueueFull,
    DeadlineBeforeStart,
    DeadlineAfterStart,
    UpstreamUnreachable,
    UpstreamFailed,
    UpstreamTimeout,
    UpstreamTruncated,
    PeerUnreachable,
    OutcomeUnknown,
    CrashSuspected,
    IdempotencyKeyRequired,
    IdempotencyInProgress,
    IdempotencyMismatch,
    IdempotencyUnavailable,
    RetryBudgetExhausted,
    RegionLinkBusy,
    ShuttingDown,
    TooManyConnections,
    CallerGone,
    InternalError,
    UpstreamRefused,
    UpstreamSuspected,
    Overloaded,
    UpstreamEvacuated,
    NoAllowedRegion,
    UpstreamCold,
    UpstreamLimited,
};

inline constexpr std::size_t ERROR_KIND_COUNT =
        static_cast<std::size_t>(error_kind::UpstreamLimited) + 1;

//! Whether the upstream executed a request that failed, as far as is known.
enum class outcome : std::uint8_t {
    NotRun,
    Unknown,
    Ran,
};

//! Row of the error table: the answer that a caller gets for an error kind.
struct error_answer
{
    error_kind kind;
    unsigned httpStatus;
    std::string_view reason;
    outcome result;
    bool mayRetry;
    std::string_view description;

    auto operator<=>(const error_answer &) const = default;
};

//! Error kind with a detail text for logs. The detail must not contain an API key.
struct error
{
    error_kind kind = error_kind::InternalError;
    std::string detail;

    auto operator<=>(const error &) const = default;
};

template <typename T>
using result = tl::expected<T, error>;

//! Returns the table row of `kind`.
//! Precondition: `kind` is an enumerator. Thread safety: pure.
auto answerFor(error_kind kind) -> const error_answer &;

//! Returns true if a request that failed with `kind` was certainly not executed.
//! Precondition and thread safety: as `answerFor`.
inline auto isNotRun(error_kind kind) -> bool
{
    return answerFor(kind).result == outcome::NotRun;
}

//! Returns true if an HTTP status is 500 or higher, that is, reports a server error. Thread safety:
//! pure.
inline auto isServerError(unsigned status) -> bool
{
    constexpr unsigned FIRST_SERVER_ERROR = 500;
    return status >= FIRST_SERVER_ERROR;
}

//! Returns true for the statuses of interim answers (1xx). Thread safety: pure.
inline auto isInterimStatus(unsigned status) -> bool
{
    constexpr unsigned FIRST_INTERIM = 100;
    constexpr unsigned LAST_INTERIM = 199;
    return status >= FIRST_INTERIM && status <= LAST_INTERIM;
}

//! Returns true for the statuses of final answers (RFC 9110, section 15). Thread safety: pure.
inline auto isFinalStatus(unsigned status) -> bool
{
    constexpr unsigned FIRST_FINAL = 200;
    constexpr unsigned LAST_FINAL = 599;
    return status >= FIRST_FINAL && status <= LAST_FINAL;
}

//! Returns the error table, in the order of the enumerators. Thread safety: pure.
auto errorTable() -> std::span<const error_answer>;

//! Returns the kind with the given number in the peer protocol; nothing if the number is unknown,
//! as when a peer of a newer version sent it.
//! Thread safety: pure.
auto errorKindFromNumber(std::uint8_t number) -> std::optional<error_kind>;

//! Returns "not_run", "unknown" or "ran". Thread safety: pure.
auto outcomeName(outcome result) -> std::string_view;

//! Returns an error as the unexpected value of a `result<T>`. Thread safety: pure.
inline auto fail(error_kind kind, std::string detail = {}) -> tl::unexpected<error>
{
    return tl::unexpected<error>(error{kind, std::move(detail)});
}

} // namespace hawthornpick::base
