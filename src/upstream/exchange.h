#pragma once

#include "base/digest.h"
#include "base/errorkind.h"
#include "base/ids.h"
#include "base/time.h"
#include "policy/slots.h"
#include "upstream/statement.h"

#include <boost/asio/awaitable.hpp>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hawthornpick::upstream {

//! One attempt to run a request on an upstream of a given node, as sent by the entry node.
struct attempt_request
{
    base::attempt_id attempt;
    //! Incarnation of the executing node as known to the entry node; 0 skips the check.
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
    //! Header lines to forward, each ended by CRLF, without hop-by-hop, framing, Via and deadline
    //! headers.
    std::string headers;
    //! Length of the whole body in bytes, if it is known.
    std::optional<std::uint64_t> contentLength;
    //! First bytes of the body.
    std::string body;
    //! True if `body` is the whole body.
    bool bodyComplete = true;
    //! Success probability, from 0 to 1, of the service on this node below which the attempt is
    //! refused, so that the entry node can choose another node.
    double minHealth = 0.0;
    //! Time by which the answer meets the latency target.
    base::time_point answerBy = base::time_point::max();
    //! Priority of the request; 0 is the most urgent.
    std::uint32_t priority = 0;
    //! Longest acceptable expected wait for a slot. Above it the attempt is refused, so that the
    //! entry node can choose another node.
    base::duration maxWait = base::duration::max();
    //! What the entry node has been told about the upstreams of the service on the executing node.
    std::vector<upstream_statement> statements = {};

    auto operator<=>(const attempt_request &) const = default;
};

//! Status, headers and first body bytes of an upstream's answer.
struct answer_start
{
    unsigned status = 0;
    //! Header lines to forward, each ended by CRLF, without hop-by-hop and framing headers.
    std::string headers;
    //! Length of the whole body in bytes, if it is known; for HEAD, the length that GET would
    //! return.
    std::optional<std::uint64_t> contentLength;
    std::string body;
    //! True if `body` is the whole body.
    bool bodyComplete = false;

    auto operator<=>(const answer_start &) const = default;
};

//! Source of the rest of a request body. Thread safety: one thread.
struct body_source
{
    //! Returns the next part of the body; an empty part marks its end.
    std::function<boost::asio::awaitable<base::result<std::string>>()> read;
    //! Makes a pending and every later `read` fail.
    std::function<void()> stop;
};

//! Receives an answer. An error means that the receiver is gone. Thread safety: one thread.
struct answer_sink
{
    std::function<boost::asio::awaitable<base::result<void>>(answer_start)> start;
    std::function<boost::asio::awaitable<base::result<void>>(std::string)> data;
};

//! Cancels a running attempt. Thread safety: one thread.
class cancellation
{
public:
    //! Records the reason and runs the current action. Only the first call has an effect.
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

    //! Sets the action that `request` runs, replacing the previous one. An empty function removes
    //! it.
    auto onRequest(std::function<void()> action) -> void { m_action = std::move(action); }

private:
    std::optional<base::error_kind> m_reason;
    std::function<void()> m_action;
};

//! Result of an attempt.
struct attempt_result
{
    //! Empty if the answer is complete.
    std::optional<base::error> failure;
    //! True if `answer_sink::start` was called.
    bool answerStarted = false;
    //! Load of the service on the executing node, if that node reported it.
    std::optional<policy::service_load> load;
};

} // namespace hawthornpick::upstream
