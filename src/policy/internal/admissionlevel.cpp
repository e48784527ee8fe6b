#include "policy/admissionlevel.h"

#include <algorithm>
#include <iterator>

namespace hawthornpick::policy {

namespace {

//! Time over which slots must be overdue before a rank is closed.
constexpr base::milliseconds CLOSE_TIME{500};
//! Minimum time between two closings: entry nodes may hear of the first one half a second late.
constexpr base::milliseconds CLOSE_INTERVAL{1000};
constexpr double MIN_OVERDUE_SHARE = 0.95;
//! Time over which there must mostly be room before a rank is opened.
constexpr base::milliseconds OPEN_TIME{250};
constexpr double MIN_ROOM_SHARE = 0.8;
//! Time in which all ranks are opened, one after the other, while there is room.
constexpr base::milliseconds OPEN_ALL_TIME{300};
//! Minimum time between two decisions, which bounds the work of an update.
constexpr base::milliseconds DECISION_INTERVAL{10};
//! Time for which a rank counts as in use after its last request.
constexpr base::milliseconds RANK_LIFE{10'000};

} // namespace

auto admission_level::onArrival(std::uint32_t rank, base::time_point now) -> void
{
    m_ranks[rank] = now;
}

auto admission_level::update(slot_use use, base::time_point now) -> void
{
    if (m_spans.empty() || m_spans.back().use != use) {
        m_spans.push_back({use, now});
    }
    if (now < m_decidedAt + DECISION_INTERVAL) {
        return;
    }
    m_decidedAt = now;
    while (m_spans.size() > 1 && m_spans[1].begin <= now - CLOSE_TIME) {
        m_spans.pop_front();
    }
    const bool isOverdue = shareOf(slot_use::Overdue, CLOSE_TIME, now) >= MIN_OVERDUE_SHARE;
    if (isOverdue && now >= m_closedAt + CLOSE_INTERVAL && now >= m_openedAt + CLOSE_TIME) {
        close(now);
        return;
    }
    if (m_lowestRank != ALL_RANKS && now >= m_openedAt + m_openInterval
        && shareOf(slot_use::Room, OPEN_TIME, now) >= MIN_ROOM_SHARE) {
        open(now);
    }
}

// Time before the first update counts as room.
auto admission_level::shareOf(slot_use use, base::duration window, base::time_point now) const
        -> double
{
    const auto windowBegin = now - window;
    base::duration sum{};
    auto end = now;
    for (auto span = m_spans.rbegin(); span != m_spans.rend() && end > windowBegin; ++span) {
        const auto begin = std::max(span->begin, windowBegin);
        sum += span->use == use ? end - begin : base::duration{};
        end = begin;
    }
    if (use == slot_use::Room) {
        sum += end - windowBegin;
    }
    return base::toSeconds(sum) / base::toSeconds(window);
}

auto admission_level::forgetRanks(base::time_point now) -> void
{
    std::erase_if(m_ranks, [now](const auto &rank) { return rank.second < now - RANK_LIFE; });
}

auto admission_level::close(base::time_point now) -> void
{
    forgetRanks(now);
    const auto firstClosed =
            m_lowestRank == ALL_RANKS ? m_ranks.end() : m_ranks.upper_bound(m_lowestRank);
    const auto openCount = std::distance(m_ranks.begin(), firstClosed);
    if (openCount < 2) {
        return;
    }
    m_lowestRank = std::prev(firstClosed, 2)->first;
    m_closedAt = now;
    const auto closedCount = std::distance(firstClosed, m_ranks.end()) + 1;
    m_openInterval = OPEN_ALL_TIME / closedCount;
}

auto admission_level::open(base::time_point now) -> void
{
    const auto firstClosed = m_ranks.upper_bound(m_lowestRank);
    const bool opensLast = firstClosed == m_ranks.end() || std::next(firstClosed) == m_ranks.end();
    m_lowestRank = opensLast ? ALL_RANKS : firstClosed->first;
    m_openedAt = now;
}

} // namespace hawthornpick::policy
