#pragma once

#include "caller/hooks.h"
#include "upstream/deadlinetimer.h"
#include "upstream/executor.h"
#include "upstream/forwarder.h"
#include "upstream/wakesignal.h"

#include <boost/asio/any_io_executor.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace hawthornpick::caller {

//! Response of one attempt. It is buffered up to a size limit, so that an attempt that fails midway
//! can be retried; a longer response is streamed to the caller as it arrives.
//! Thread safety: the thread of the request.
class buffered_response
{
public:
    //! Receives the buffered part once the response exceeds the limit; a failure ends the attempt.
    using overflow_function =
            std::function<boost::asio::awaitable<base::result<void>>(upstream::answer_start)>;
    //! Receives the later parts of a streamed response; a failure ends the attempt.
    using data_function = std::function<boost::asio::awaitable<base::result<void>>(std::string)>;

    //! Buffers bodies up to `limitBytes`; 0 streams every response.
    buffered_response(std::size_t limitBytes, overflow_function onOverflow,
                      data_function forwardData)
        : m_limitBytes(limitBytes), m_onOverflow(std::move(onOverflow)),
          m_forwardData(std::move(forwardData))
    {}

    auto start(upstream::answer_start start) -> boost::asio::awaitable<base::result<void>>;
    auto data(std::string part) -> boost::asio::awaitable<base::result<void>>;

    //! Makes later parts of the response fail with `CallerGone`, because its attempt was cancelled.
    auto detach() -> void
    {
        m_onOverflow = nullptr;
        m_forwardData = nullptr;
    }

    //! True if the response exceeded the limit and is streamed to the caller.
    [[nodiscard]] auto isStreaming() const -> bool { return m_isStreaming; }
    [[nodiscard]] auto status() const -> unsigned { return m_status; }
    //! Number of body bytes received.
    [[nodiscard]] auto bodyBytes() const -> std::size_t { return m_bodyBytes; }

    //! Returns the complete response. Precondition: the attempt ended without a failure and the
    //! response was not streamed.
    auto take() -> upstream::answer_start;

private:
    auto startStreaming() -> boost::asio::awaitable<base::result<void>>;

    std::size_t m_limitBytes;
    overflow_function m_onOverflow;
    data_function m_forwardData;
    std::optional<upstream::answer_start> m_start;
    unsigned m_status = 0;
    std::size_t m_bodyBytes = 0;
    bool m_isStreaming = false;
};

//! One attempt of a request, in flight or ended. Its coroutine keeps it alive, so that it may
//! outlive a request that was answered before.
struct attempt_state
{
    attempt_state(chosen_node chosenNode, upstream::attempt_request attemptRequest,
                  buffered_response bufferedResponse)
        : chosen(std::move(chosenNode)), request(std::move(attemptRequest)),
          response(std::move(bufferedResponse))
    {}

    chosen_node chosen;
    upstream::attempt_request request;
    upstream::cancellation cancel;
    buffered_response response;
    base::time_point startTime = base::clock::now();
    std::optional<upstream::attempt_result> result;
};

using attempt_pointer = std::shared_ptr<attempt_state>;

//! Attempts of one request that are in flight or whose end was not handled yet.
//! Thread safety: the thread of the request.
class attempt_set
{
public:
    //! Runs an attempt on its chosen node.
    using attempt_runner = std::function<boost::asio::awaitable<upstream::attempt_result>(
            attempt_state &attempt, const upstream::body_source &source)>;

    attempt_set(boost::asio::any_io_executor executor, attempt_runner runAttempt)
        : m_executor(executor), m_runAttempt(std::move(runAttempt)),
          m_shared(std::make_shared<shared>(executor))
    {}
    ~attempt_set();
    attempt_set(const attempt_set &) = delete;
    auto operator=(const attempt_set &) -> attempt_set & = delete;

    //! Starts an attempt. Precondition: what `source` refers to outlives the attempt.
    auto launch(attempt_pointer attempt, upstream::body_source source) -> void;

    //! Waits until an attempt has ended, and returns it; null if `deadline` passed before.
    auto waitForEnded(base::time_point deadline) -> boost::asio::awaitable<attempt_pointer>;

    //! Number of attempts in flight, those included whose end was not returned yet.
    [[nodiscard]] auto runningCount() const -> std::size_t { return m_runningAttempts.size(); }

    //! Attempts in flight, those included whose end was not returned yet.
    [[nodiscard]] auto runningAttempts() const -> const std::vector<attempt_pointer> &
    {
        return m_runningAttempts;
    }

    //! Cancels all attempts in flight except `kept`; null cancels all.
    auto cancelOthers(const attempt_state *kept, base::error_kind reason) -> void;

    //! Cancels all attempts in flight but the one whose response is being streamed to the caller.
    auto cancelAllButStreaming(base::error_kind reason) -> void;

private:
    // State shared with the coroutines of the attempts, which may end after the set is destroyed.
    struct shared
    {
        explicit shared(const boost::asio::any_io_executor &executor)
            : signal(executor), timer(executor)
        {}

        upstream::wake_signal signal;
        upstream::deadline_timer timer;
        std::deque<attempt_pointer> ended;
        bool isExpired = false;
    };

    static auto cancel(attempt_state &attempt, base::error_kind reason) -> void;
    static auto runToEnd(attempt_runner runAttempt, attempt_pointer attempt,
                         upstream::body_source source, std::shared_ptr<shared> state)
            -> boost::asio::awaitable<void>;

    boost::asio::any_io_executor m_executor;
    attempt_runner m_runAttempt;
    std::shared_ptr<shared> m_shared;
    std::vector<attempt_pointer> m_runningAttempts;
};

} // namespace hawthornpick::caller
