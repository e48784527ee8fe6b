#include "caller/internal/attemptset.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace hawthornpick::caller {

namespace asio = boost::asio;

using base::error_kind;

auto buffered_response::start(upstream::answer_start start) -> asio::awaitable<base::result<void>>
{
    m_status = start.status;
    m_bodyBytes = start.body.size();
    const auto expectedBytes =
            std::max<std::uint64_t>(start.contentLength.value_or(0), start.body.size());
    m_start = std::move(start);
    if (expectedBytes <= m_limitBytes && m_limitBytes > 0) {
        co_return base::result<void>{};
    }
    co_return co_await startStreaming();
}

auto buffered_response::data(std::string part) -> asio::awaitable<base::result<void>>
{
    m_bodyBytes += part.size();
    if (m_isStreaming) {
        if (!m_forwardData) {
            co_return base::fail(error_kind::CallerGone);
        }
        co_return co_await m_forwardData(std::move(part));
    }
    m_start->body.append(part);
    if (m_start->body.size() <= m_limitBytes) {
        co_return base::result<void>{};
    }
    co_return co_await startStreaming();
}

auto buffered_response::startStreaming() -> asio::awaitable<base::result<void>>
{
    if (!m_onOverflow) {
        co_return base::fail(error_kind::CallerGone);
    }
    m_isStreaming = true;
    co_return co_await m_onOverflow(*std::exchange(m_start, std::nullopt));
}

auto buffered_response::take() -> upstream::answer_start
{
    auto response = *std::exchange(m_start, std::nullopt);
    response.bodyComplete = true;
    return response;
}

attempt_set::~attempt_set()
{
    cancelOthers(nullptr, base::error_kind::CallerGone);
    m_shared->timer.clear();
}

auto attempt_set::launch(attempt_pointer attempt, upstream::body_source source) -> void
{
    m_runningAttempts.push_back(attempt);
    asio::co_spawn(m_executor,
                   runToEnd(m_runAttempt, std::move(attempt), std::move(source), m_shared),
                   asio::detached);
}

auto attempt_set::runToEnd(attempt_runner runAttempt, attempt_pointer attempt,
                           upstream::body_source source, std::shared_ptr<shared> state)
        -> asio::awaitable<void>
{
    attempt->result = co_await runAttempt(*attempt, source);
    state->ended.push_back(std::move(attempt));
    state->signal.notify();
}

auto attempt_set::waitForEnded(base::time_point deadline) -> asio::awaitable<attempt_pointer>
{
    m_shared->isExpired = false;
    m_shared->timer.set(deadline, [state = m_shared] {
        state->isExpired = true;
        state->signal.notify();
    });
    while (m_shared->ended.empty() && !m_shared->isExpired) {
        co_await m_shared->signal.wait();
    }
    m_shared->timer.clear();
    if (m_shared->ended.empty()) {
        co_return nullptr;
    }
    auto attempt = std::move(m_shared->ended.front());
    m_shared->ended.pop_front();
    std::erase(m_runningAttempts, attempt);
    co_return attempt;
}

auto attempt_set::cancelOthers(const attempt_state *kept, base::error_kind reason) -> void
{
    for (const auto &attempt : m_runningAttempts) {
        if (attempt.get() != kept) {
            cancel(*attempt, reason);
        }
    }
}

auto attempt_set::cancelAllButStreaming(base::error_kind reason) -> void
{
    for (const auto &attempt : m_runningAttempts) {
        if (!attempt->response.isStreaming()) {
            cancel(*attempt, reason);
        }
    }
}

auto attempt_set::cancel(attempt_state &attempt, base::error_kind reason) -> void
{
    attempt.response.detach();
    attempt.cancel.request(reason);
}

} // namespace hawthornpick::caller
