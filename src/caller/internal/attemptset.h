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

//! Answer of one attempt. It is collected up to a limit, so that an attempt that fails midway can
//! be repeated; what is longer is passed on while it arrives.
class collected_answer
{
public:
    //! Takes over the answer when it exceeds the limit; a failure ends the attempt.
    using overflow_function =
            std::function<boost::asio::awaitable<base::result<void>>(upstream::answer_start)>;
    using pass_function = std::function<boost::asio::awaitable<base::result<void>>(std::string)>;

    collected_answer(std::size_t limit, overflow_function onOverflow, pass_function pass)
        : m_limit(limit), m_onOverflow(std::move(onOverflow)), m_pass(std::move(pass))
    {}

    auto start(upstream::answer_start start) -> boost::asio::awaitable<base::result<void>>;
    auto data(std::string part) -> boost::asio::awaitable<base::result<void>>;

    //! Makes the rest of the answer fail, because nobody waits for it any more.
    auto detach() -> void
    {
        m_onOverflow = nullptr;
        m_pass = nullptr;
    }

    //! True if the answer exceeded the limit and went to the caller.
    [[nodiscard]] auto isPassedOn() const -> bool { return m_isPassedOn; }
    [[nodiscard]] auto status() const -> unsigned { return m_status; }
    [[nodiscard]] auto bytes() const -> std::size_t { return m_bytes; }

    //! Returns the whole answer. Precondition: the attempt ended without a failure and the answer
    //! was not passed on.
    auto take() -> upstream::answer_start;

private:
    auto passOn() -> boost::asio::awaitable<base::result<void>>;

    std::size_t m_limit;
    overflow_function m_onOverflow;
    pass_function m_pass;
    std::optional<upstream::answer_start> m_start;
    unsigned m_status = 0;
    std::size_t m_bytes = 0;
    bool m_isPassedOn = false;
};

//! One attempt of a request, under way or ended. It lives until its coroutine ended, also if the
//! request was answered before.
struct attempt
{
    attempt(chosen_node chosenNode, upstream::attempt_request attemptRequest,
            collected_answer collected)
        : chosen(std::move(chosenNode)), request(std::move(attemptRequest)),
          answer(std::move(collected))
    {}

    chosen_node chosen;
    upstream::attempt_request request;
    upstream::cancellation cancel;
    collected_answer answer;
    base::time_point started = base::clock::now();
    std::optional<upstream::attempt_result> result;
};

using attempt_pointer = std::shared_ptr<attempt>;

//! Attempts of one request. Thread safety of all members: the thread of the request.
class attempt_set
{
public:
    //! Runs an attempt on its node.
    using run_function = std::function<boost::asio::awaitable<upstream::attempt_result>(
            attempt &item, const upstream::body_source &source)>;

    attempt_set(boost::asio::any_io_executor executor, run_function run)
        : m_executor(executor), m_run(std::move(run)), m_shared(std::make_shared<shared>(executor))
    {}
    ~attempt_set();
    attempt_set(const attempt_set &) = delete;
    auto operator=(const attempt_set &) -> attempt_set & = delete;

    //! Starts an attempt. An attempt with a source must end before what the source refers to.
    auto launch(attempt_pointer item, upstream::body_source source) -> void;

    //! Waits for the next attempt that ends, or until `limit`; null after `limit`.
    auto next(base::time_point limit) -> boost::asio::awaitable<attempt_pointer>;

    //! Number of attempts under way.
    [[nodiscard]] auto running() const -> std::size_t { return m_running.size(); }

    //! Attempts under way.
    [[nodiscard]] auto items() const -> const std::vector<attempt_pointer> & { return m_running; }

    //! Ends all attempts under way but `kept`.
    auto cancelOthers(const attempt *kept, base::error_kind reason) -> void;

private:
    // Outlives the set for attempts that end after it.
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

    static auto runOne(run_function run, attempt_pointer item, upstream::body_source source,
                       std::shared_ptr<shared> state) -> boost::asio::awaitable<void>;

    boost::asio::any_io_executor m_executor;
    run_function m_run;
    std::shared_ptr<shared> m_shared;
    std::vector<attempt_pointer> m_running;
};

} // namespace hawthornpick::caller
