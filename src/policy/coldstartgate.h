#pragma once

#include "base/time.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <optional>

namespace hawthornpick::policy {

//! Limits of a service for upstreams that are cold.
struct cold_terms
{
    //! Requests per second that an upstream may be given while it is cold; 0 means no limit.
    double rate = 0.0;
    //! Ratio by which the rate may be exceeded.
    double overage = 1.0;
    //! Time for which an upstream stays cold after its start; 0 if it isn't known.
    base::duration coldTime{};

    auto operator<=>(const cold_terms &) const = default;

    [[nodiscard]] auto isLimited() const -> bool { return rate > 0.0; }
    //! Requests per second that a cold upstream is given.
    [[nodiscard]] auto startRate() const -> double { return rate * overage; }
};

enum class cold_state : std::uint8_t {
    Warm,
    Cold,
    //! The upstream may be cold: it may have restarted, and it hasn't said yet.
    InDoubt,
};

//! Start rate of one upstream that is cold or in doubt, at the node beside it, which sees the
//! requests of all entry nodes.
//!
//! Load pattern: a failure domain comes back or an upstream restarts, and many entry nodes, each
//! with a share of the waiting work, choose it within the same second, because it has free slots.
//! In each sliding second the upstream gets at most the rate of the terms, whoever sends; the rest
//! is refused, so that it is placed elsewhere.
//!
//! A request reserves its start before its connection is opened and counts from then until a window
//! after it was sent, so that slow connections don't bunch requests.
//! Thread safety of all members: one thread at a time.
class cold_start_gate
{
public:
    //! Time within which no more requests start than the rate allows in one second. Longer than a
    //! second, because requests may reach the upstream with different delays.
    static constexpr base::milliseconds START_WINDOW{1050};
    //! Longest delay of an announcement. One that arrives sooner after a sign of a restart may have
    //! been sent before it.
    static constexpr base::milliseconds MAX_ANNOUNCEMENT_DELAY{3000};

    //! In doubt until the first announcement or answer.
    explicit cold_start_gate(base::time_point now) : m_doubtSince(now), m_trustsFrom(now) {}

    //! Records an announcement, which tells the remaining cold time if the upstream reports it.
    //! Precondition: it isn't older than the last one.
    auto onAnnouncement(bool isNewIncarnation, std::optional<base::duration> coldRemaining,
                        base::time_point now) -> void;

    //! Records an answer to the health question that was asked at `askedAt`. It ends a doubt that
    //! is older than the question.
    auto onAnswer(base::duration coldRemaining, base::time_point askedAt, base::time_point now)
            -> void;

    //! Records a sign that the upstream may have become cold: a lost or refused connection, its
    //! absence, or the end of the evacuation of its failure domain.
    auto onDoubt(base::time_point now) -> void;

    //! A doubt ends after the cold time of the terms, because an upstream that restarted at the
    //! last sign of it is warm by then.
    [[nodiscard]] auto state(const cold_terms &terms, base::time_point now) const -> cold_state;

    //! Reserves the start of a request, or refuses it. Each reservation ends with `onSent` or
    //! `cancelReservation`.
    auto tryReserve(const cold_terms &terms, base::time_point now) -> bool;
    //! Records that a request with a reservation is sent now.
    auto onSent(const cold_terms &terms, base::time_point now) -> void;
    //! Ends the reservation of a request that was not sent.
    auto cancelReservation() -> void;

    //! Keeps one start free of requests for the health question, for at most a window.
    auto expectQuestion(base::time_point now) -> void;
    //! Ends the effect of `expectQuestion`.
    auto cancelQuestion() -> void { m_questionPrecedesUntil = base::time_point::min(); }
    //! As `tryReserve`, for the health question, which counts as a request. If it is refused, the
    //! next free start is kept for it.
    auto tryReserveQuestion(const cold_terms &terms, base::time_point now) -> bool;

    //! Returns the earliest time at which a request may start: `now`, or a time after which
    //! `tryReserve` is to be asked again; `time_point::max()` if the terms allow none.
    [[nodiscard]] auto nextStart(const cold_terms &terms, base::time_point now) const
            -> base::time_point;

private:
    //! Returns true if more than `keptStarts` requests may start.
    auto hasFreeStart(const cold_terms &terms, base::time_point now, std::uint64_t keptStarts) const
            -> bool;
    auto startsForQuestion(base::time_point now) const -> std::uint64_t;

    std::optional<base::time_point> m_doubtSince;
    //! Time from which announcements may end the doubt.
    base::time_point m_trustsFrom;
    base::time_point m_coldUntil = base::time_point::min();
    //! True if the cold time is known from an answer; an announcement doesn't shorten it.
    bool m_isAnswered = false;
    std::uint64_t m_reservedCount = 0;
    //! Times of the last requests, not more than the terms allow in a window.
    std::deque<base::time_point> m_sentTimes;
    base::time_point m_questionPrecedesUntil = base::time_point::min();
};

} // namespace hawthornpick::policy
