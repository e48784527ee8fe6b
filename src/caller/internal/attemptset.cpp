#include "caller/internal/attemptset.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace hawthornpick::caller {

namespace asio = boost::asio;

using base::error_kind;

auto collected_answer::start(upstream::answer_start start) -> asio::awaitable<base::result<void>>
{
    m_status = start.status;
    m_bytes = start.body.size();
    const auto expected =
            std::max<std::uint64_t>(start.contentLength.value_or(0), start.body.size());
    m_start = std::move(start);
    if (expected <= m_limit && m_limit > 0) {
        co_return base::result<void>{};
    }
    co_return co_await passOn();
}

auto collected_answer::data(std::string part) -> asio::awaitable<base::result<void>>
{
    m_bytes += part.size();
    if (m_isPassedOn) {
        if (!m_pass) {
            co_return base::fail(error_kind::CallerGone);
        }
        co_return co_await m_pass(std::move(part));
    }
    m_start->body.append(part);
    if (m_start->body.size() <= m_limit) {
        co_return base::result<void>{};
    }
    co_return co_await passOn();
}

auto collected_answer::passOn() -> asio::awaitable<base::result<void>>
{
    m_isPassedOn = true;
    if (!m_onOverflow) {
        co_return base::fail(error_kind::CallerGone);
    }
    co_return co_await m_onOverflow(*std::exchange(m_start, std::nullopt));
}

auto collected_answer::take() -> upstream::answer_start
{
    auto whole = *std::exchange(m_start, std::nullopt);
    whole.bodyComplete = true;
    return whole;
}

attempt_set::~attempt_set()
{
    cancelOthers(nullptr, base::error_kind::CallerGone);
    m_shared->timer.clear();
}

auto attempt_set::launch(attempt_pointer item, upstream::body_source source) -> void
{
    m_running.push_back(item);
    asio::co_spawn(m_executor, runOne(m_run, std::move(item), std::move(source), m_shared),
                   asio::detached);
}

auto attempt_set::runOne(run_function run, attempt_pointer item, upstream::body_source source,
                         std::shared_ptr<shared> state) -> asio::awaitable<void>
{
    item->result = co_await run(*item, source);
    state->ended.push_back(std::move(item));
    state->signal.notify();
}

auto attempt_set::next(base::time_point limit) -> asio::awaitable<attempt_pointer>
{
    m_shared->isExpired = false;
    m_shared->timer.set(limit, [state = m_shared] {
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
    auto item = std::move(m_shared->ended.front());
    m_shared->ended.pop_front();
    std::erase(m_running, item);
    co_return item;
}

auto attempt_set::cancelOthers(const attempt *kept, base::error_kind reason) -> void
{
    for (const auto &item : m_running) {
        if (item.get() != kept) {
            item->answer.detach();
            item->cancel.request(reason);
        }
    }
}

} // namespace hawthornpick::caller
