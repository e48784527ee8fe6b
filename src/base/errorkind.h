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

//! Closed list of the reasons for which a request is refused or fails. The numbers are part of the
//! peer protocol; new kinds go at the end.
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
};

inline constexpr std::size_t ERROR_KIND_COUNT =
        static_cast<std::size_t>(error_kind::Overloaded) + 1;

//! What is known about the execution of a request that got an error.
enum class outcome : std::uint8_t {
    NotRun,
    Unknown,
    Ran,
};

//! One row of the table from error kind to answer.
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

//! An error kind with details for logs. The detail never contains a key.
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

//! True if `kind` says that the request was not run. Precondition and thread safety: as
//! `answerFor`.
inline auto isNotRun(error_kind kind) -> bool
{
    return answerFor(kind).result == outcome::NotRun;
}

//! True if an answer with this HTTP status reports a failure of the server. Thread safety: pure.
inline auto isServerError(unsigned status) -> bool
{
    constexpr unsigned FIRST_SERVER_ERROR = 500;
    return status >= FIRST_SERVER_ERROR;
}

//! Returns the whole table in the order of the enumerators. Thread safety: pure.
auto errorTable() -> std::span<const error_answer>;

//! Returns the kind with the given number, or nothing if a newer peer sent an unknown one.
//! Thread safety: pure.
auto errorKindFromNumber(std::uint8_t number) -> std::optional<error_kind>;

//! Returns "not_run", "unknown" or "ran". Thread safety: pure.
auto outcomeName(outcome result) -> std::string_view;

//! Builds an unexpected value for functions that return `result<T>`. Thread safety: pure.
inline auto fail(error_kind kind, std::string detail = {}) -> tl::unexpected<error>
{
    return tl::unexpected<error>(error{kind, std::move(detail)});
}

} // namespace hawthornpick::base
