#pragma once

#include "base/digest.h"
#include "base/errorkind.h"
#include "base/ids.h"
#include "base/time.h"
#include "policy/slots.h"

#include <boost/asio/awaitable.hpp>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace hawthornpick::upstream {

//! One attempt to run a request on an upstream of one node, as the entry node asks for it.
struct attempt_request
{
    base::attempt_id attempt;
    //! Incarnation of the executing node that the entry node knows.
    base::incarnation nodeIncarnation = 0;
    base::config_version configVersion = 0;
    //! Empty on open routes.
    base::organisation_id organisation;
    //! Empty on open routes.
    base::key_id key;
    base::service_id service;
    base::route_id route;
    bool idempotent = false;
    base::time_point deadline;
    std::string requestId;
    base::digest256 fingerprint;
    std::string method;
    std::string target;
    //! Cleaned header lines, each ended by CRLF, without framing, Via and deadline headers.
    std::string headers;
    //! Length of the whole body if it is known.
    std::optional<std::uint64_t> contentLength;
    //! Start of the body.
    std::string body;
    //! True if `body` is the whole body.
    bool bodyComplete = true;
    //! Health of the upstream below which the entry node would rather choose another one.
    double minHealth = 0.0;
    //! Time of an answer that has its full value.
    base::time_point answerBy = base::time_point::max();
    //! Rank of the request, 0 being the most urgent.
    std::uint32_t priority = 0;
    //! Longest wait for a slot; a longer one is refused, so that another node can be asked.
    base::duration maxWait = base::duration::max();

    auto operator<=>(const attempt_request &) const = default;
};

//! Start of an upstream's answer.
struct answer_start
{
    unsigned status = 0;
    //! Cleaned header lines, each ended by CRLF, without framing headers.
    std::string headers;
    //! Length of the whole body if it is known; for HEAD, the length that GET would have.
    std::optional<std::uint64_t> contentLength;
    std::string body;
    //! True if `body` is the whole body.
    bool bodyComplete = false;

    auto operator<=>(const answer_start &) const = default;
};

//! Reads the rest of a request body. Used on one thread.
struct body_source
{
    //! Returns the next part; an empty part is the end of the body.
    std::function<boost::asio::awaitable<base::result<std::string>>()> read;
    //! Makes a pending or later `read` fail.
    std::function<void()> stop;
};

//! Takes an answer. Used on one thread. A failure means that the receiver is gone.
struct answer_sink
{
    std::function<boost::asio::awaitable<base::result<void>>(answer_start)> start;
    std::function<boost::asio::awaitable<base::result<void>>(std::string)> data;
};

//! Asks a running attempt to stop. Used on one thread.
class cancellation
{
public:
    //! Runs the action that was set last. Only the first call has an effect.
    auto request(base::error_kind reason) -> void
    {
        if (m_reason) {
            return;
        }
        m_reason = reason;
        if (m_action) {
            m_action();
        }
    }

    [[nodiscard]] auto reason() const -> const std::optional<base::error_kind> &
    {
        return m_reason;
    }

    //! Sets what a request does; replaces the previous action. An empty function removes it.
    auto onRequest(std::function<void()> action) -> void { m_action = std::move(action); }

private:
    std::optional<base::error_kind> m_reason;
    std::function<void()> m_action;
};

//! How an attempt ended.
struct attempt_result
{
    //! Empty if the answer is complete.
    std::optional<base::error> failure;
    //! True if `answer_sink::start` was called.
    bool answerStarted = false;
    //! Load of the service on the executing node, if that node gave one.
    std::optional<policy::service_load> load;
};

} // namespace hawthornpick::upstream
