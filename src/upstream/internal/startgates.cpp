#include "upstream/startgates.h"

#include "base/log.h"

#include <algorithm>

namespace hawthornpick::upstream {

using policy::cold_state;
using policy::cold_terms;

auto start_gates::find(const base::upstream_id &upstream) -> upstream_gate *
{
    const auto position = m_gates.find(upstream);
    return position == m_gates.end() ? nullptr : &position->second;
}

auto start_gates::find(const base::upstream_id &upstream) const -> const upstream_gate *
{
    const auto position = m_gates.find(upstream);
    return position == m_gates.end() ? nullptr : &position->second;
}

auto start_gates::onAnnouncement(const base::upstream_id &upstream, const base::service_id &service,
                                 base::incarnation incarnation,
                                 std::optional<base::milliseconds> coldRemaining,
                                 base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    auto *entry = find(upstream);
    const bool isNewIncarnation = entry == nullptr || entry->incarnation != incarnation;
    if (entry == nullptr) {
        upstream_gate created{service, incarnation, true, false,
                              false,   true,        {},   policy::cold_start_gate(now)};
        entry = &m_gates.emplace(upstream, std::move(created)).first->second;
    }
    if (!entry->isLive) {
        entry->gate.onDoubt(now);
    }
    if (isNewIncarnation) {
        entry->limit = {};
        entry->isLimitUnreadable = false;
        entry->isLeaving = false;
    }
    entry->service = service;
    entry->incarnation = incarnation;
    entry->isLive = true;
    entry->gate.onAnnouncement(isNewIncarnation, coldRemaining, now);
}

auto start_gates::onGone(const base::upstream_id &upstream) -> void
{
    const std::lock_guard lock(m_mutex);
    if (auto *entry = find(upstream)) {
        entry->isLive = false;
    }
}

auto start_gates::forget(const base::upstream_id &upstream) -> void
{
    const std::lock_guard lock(m_mutex);
    m_gates.erase(upstream);
}

auto start_gates::onAnswer(const base::upstream_id &upstream, base::incarnation incarnation,
                           base::duration coldRemaining, base::time_point askedAt,
                           base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    auto *entry = find(upstream);
    if (entry != nullptr && entry->incarnation == incarnation) {
        entry->gate.onAnswer(coldRemaining, askedAt, now);
    }
}

auto start_gates::onNotice(const base::upstream_id &upstream, base::incarnation incarnation,
                           const upstream_notice &notice, base::time_point sentAt,
                           base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    auto *entry = find(upstream);
    if (entry == nullptr || entry->incarnation != incarnation) {
        return;
    }
    const bool tellsLimit = notice.requestLimit || !notice.isLimitUnreadable;
    if (tellsLimit) {
        const auto previous = entry->limit.limit();
        entry->limit.onAnswer(notice.requestLimit, sentAt, now);
        logLimit(upstream, previous, entry->limit.limit());
    } else if (!entry->isLimitUnreadable) {
        base::log(base::log_level::Warning, "request limit of an upstream can't be read",
                  {{"upstream", upstream.str()}});
    }
    entry->isLimitUnreadable = !tellsLimit;
    if (notice.isLeaving && !entry->isLeaving) {
        base::log(base::log_level::Info, "upstream answers that it leaves",
                  {{"upstream", upstream.str()}});
    }
    entry->isLeaving = entry->isLeaving || notice.isLeaving;
}

auto start_gates::onStatement(const upstream_statement &statement, base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    auto *entry = find(statement.upstream);
    if (entry == nullptr || entry->incarnation != statement.incarnation) {
        return;
    }
    entry->isLeaving = entry->isLeaving || statement.isLeaving;
    if (statement.requestLimit) {
        entry->limit.onFormerLimit(*statement.requestLimit, now);
    }
}

auto start_gates::statementsOf(const base::service_id &service) const -> statement_report
{
    const std::lock_guard lock(m_mutex);
    statement_report report;
    bool hasUpstream = false;
    for (const auto &[upstream, entry] : m_gates) {
        if (entry.service != service) {
            continue;
        }
        const auto limit = entry.isLive ? entry.limit.limit() : std::nullopt;
        if (limit || entry.isLeaving) {
            report.statements.push_back({upstream, entry.incarnation, limit, entry.isLeaving});
        }
        if (entry.isLive) {
            hasUpstream = true;
            report.isComplete = report.isComplete && entry.limit.isConfirmed();
        }
    }
    report.isComplete = report.isComplete && hasUpstream;
    return report;
}

auto start_gates::onDoubt(const base::upstream_id &upstream, base::incarnation incarnation,
                          base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    auto *entry = find(upstream);
    if (entry != nullptr && entry->incarnation == incarnation) {
        entry->gate.onDoubt(now);
    }
}

auto start_gates::onConnectionLost(const base::upstream_id &upstream, base::incarnation incarnation,
                                   base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    auto *entry = find(upstream);
    if (entry != nullptr && entry->incarnation == incarnation && !entry->isWatched) {
        entry->gate.onDoubt(now);
    }
}

auto start_gates::onDoubtOfAll(base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    for (auto &[upstream, entry] : m_gates) {
        entry.gate.onDoubt(now);
    }
}

auto start_gates::setWatched(const base::upstream_id &upstream, bool isWatched) -> void
{
    const std::lock_guard lock(m_mutex);
    if (auto *entry = find(upstream)) {
        entry->isWatched = isWatched;
    }
}

auto start_gates::takeQuestions(const base::service_id &service, const cold_terms &terms,
                                base::time_point now) -> std::vector<base::upstream_id>
{
    const std::lock_guard lock(m_mutex);
    std::vector<base::upstream_id> taken;
    for (auto &[upstream, entry] : m_gates) {
        if (entry.service == service && entry.isLive && !entry.isAsked
            && entry.gate.state(terms, now) == cold_state::InDoubt) {
            entry.isAsked = true;
            entry.gate.expectQuestion(now);
            taken.push_back(upstream);
        }
    }
    return taken;
}

auto start_gates::endQuestion(const base::upstream_id &upstream) -> void
{
    const std::lock_guard lock(m_mutex);
    if (auto *entry = find(upstream)) {
        entry->isAsked = false;
        entry->gate.cancelQuestion();
    }
}

auto start_gates::isInDoubt(const base::upstream_id &upstream, base::incarnation incarnation,
                            const cold_terms &terms, base::time_point now) const -> bool
{
    const std::lock_guard lock(m_mutex);
    const auto *entry = find(upstream);
    return entry != nullptr && entry->incarnation == incarnation
           && entry->gate.state(terms, now) == cold_state::InDoubt;
}

auto start_gates::checkFreeStart(const base::service_id &service, const cold_terms &terms,
                                 base::time_point now) const -> base::result<void>
{
    const std::lock_guard lock(m_mutex);
    std::optional<base::error_kind> refusal;
    for (const auto &[upstream, entry] : m_gates) {
        if (entry.service != service || !entry.isLive) {
            continue;
        }
        if (entry.gate.nextStart(terms, now) > now) {
            refusal = base::error_kind::UpstreamCold;
        } else if (!entry.limit.hasFreeStart(now)) {
            refusal = base::error_kind::UpstreamLimited;
        } else {
            return {};
        }
    }
    return refusal ? base::fail(*refusal) : base::result<void>();
}

auto start_gates::tryReserve(const base::upstream_id &upstream, const cold_terms &terms,
                             base::time_point now) -> base::result<void>
{
    const std::lock_guard lock(m_mutex);
    auto *entry = find(upstream);
    if (entry == nullptr || !entry->gate.tryReserve(terms, now)) {
        return base::fail(base::error_kind::UpstreamCold);
    }
    if (!entry->limit.tryStart(now)) {
        entry->gate.cancelReservation();
        return base::fail(base::error_kind::UpstreamLimited);
    }
    return {};
}

auto start_gates::tryReserveQuestion(const base::upstream_id &upstream, const cold_terms &terms,
                                     base::time_point now) -> bool
{
    const std::lock_guard lock(m_mutex);
    auto *entry = find(upstream);
    const bool isReserved = entry != nullptr && entry->limit.hasFreeStart(now)
                            && entry->gate.tryReserveQuestion(terms, now);
    return isReserved && entry->limit.tryStart(now);
}

auto start_gates::nextStart(const base::upstream_id &upstream, const cold_terms &terms,
                            base::time_point now) const -> base::time_point
{
    const std::lock_guard lock(m_mutex);
    const auto *entry = find(upstream);
    return entry == nullptr
                   ? base::time_point::max()
                   : std::max(entry->gate.nextStart(terms, now), entry->limit.nextStart(now));
}

auto start_gates::onSent(const base::upstream_id &upstream, const cold_terms &terms,
                         base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    if (auto *entry = find(upstream)) {
        entry->gate.onSent(terms, now);
    }
}

auto start_gates::cancelReservation(const base::upstream_id &upstream) -> void
{
    const std::lock_guard lock(m_mutex);
    if (auto *entry = find(upstream)) {
        entry->gate.cancelReservation();
    }
}

auto start_gates::startRateOf(const base::service_id &service, const cold_terms &terms,
                              base::time_point now) -> double
{
    constexpr double UNLIMITED = -1.0;
    const std::lock_guard lock(m_mutex);
    double sum = 0.0;
    bool hasUpstream = false;
    for (auto &[upstream, entry] : m_gates) {
        if (entry.service != service || !entry.isLive) {
            continue;
        }
        hasUpstream = true;
        auto rate = entry.limit.limit();
        if (terms.isLimited()) {
            const auto state = entry.gate.state(terms, now);
            logState(upstream, entry, state, now);
            const bool isWarm = state == cold_state::Warm;
            rate = isWarm ? rate : std::min(terms.startRate(), rate.value_or(terms.startRate()));
        }
        if (!rate) {
            return UNLIMITED;
        }
        sum += *rate;
    }
    return hasUpstream ? sum : UNLIMITED;
}

auto start_gates::logLimit(const base::upstream_id &upstream, std::optional<double> previous,
                           std::optional<double> limit) -> void
{
    if (limit && limit != previous) {
        base::log(base::log_level::Info, "upstream names a request limit",
                  {{"upstream", upstream.str()}, {"per_second", *limit}});
    }
    if (!limit && previous) {
        base::log(base::log_level::Info, "upstream names no request limit any more",
                  {{"upstream", upstream.str()}});
    }
}

auto start_gates::logState(const base::upstream_id &upstream, upstream_gate &entry,
                           cold_state state, base::time_point now) -> void
{
    const bool isWarm = state == cold_state::Warm;
    if (isWarm == entry.isLoggedAsWarm || now < entry.nextLog) {
        return;
    }
    entry.isLoggedAsWarm = isWarm;
    entry.nextLog = now + LOG_INTERVAL;
    if (isWarm) {
        base::log(base::log_level::Info, "upstream is warm", {{"upstream", upstream.str()}});
    } else {
        base::log(base::log_level::Info, "upstream is cold or in doubt",
                  {{"upstream", upstream.str()}, {"in_doubt", state == cold_state::InDoubt}});
    }
}

} // namespace hawthornpick::upstream
