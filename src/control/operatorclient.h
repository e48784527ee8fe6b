#pragma once

#include "base/random.h"
#include "control/answers.h"
#include "control/messages.h"
#include "transfer/contentexchange.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornpick::control {

//! Receives the answer to a change; `unknown_yet` if none came in time.
using change_callback = std::function<void(const change_answer &)>;
//! Receives the status; nothing if no majority of the controllers confirmed it in time.
using status_callback = std::function<void(const std::optional<control_status> &)>;

//! Configuration change requested by an operator.
struct change_request
{
    std::string changeId;
    //! Accepted version that the change is based on.
    base::config_version base = 0;
    //! SHA-256 of `content`.
    base::digest256 digest;
    //! Canonical encoding of the configuration set; see `config::encode`.
    std::string content;
};

//! Sends operators' requests of a node to the leader of the controllers and repeats them until an
//! answer arrives or `ANSWER_TIMEOUT` has passed. The class does no network I/O and reads no clock.
//! Thread safety of all members: control thread; callbacks run there.
class operator_client
{
public:
    using messages = std::vector<base::outgoing_message>;

    //! Longer than the election of a leader and the preparation and draining of a change take
    //! together.
    static constexpr base::milliseconds ANSWER_TIMEOUT{12000};
    static constexpr base::milliseconds RESEND_INTERVAL{500};

    //! Precondition: `exchange` outlives the client.
    operator_client(std::vector<base::node_id> controllers, transfer::content_exchange &exchange,
                    base::random_source random);

    //! Answers immediately with `ContentInvalid` if the digest does not match the content.
    auto apply(change_request change, change_callback done, base::time_point now) -> messages;
    auto changeResult(const std::string &changeId, change_callback done, base::time_point now)
            -> messages;
    auto status(status_callback done, base::time_point now) -> messages;
    auto replaceController(const base::node_id &oldNode, const base::node_id &newNode,
                           const std::string &changeId, change_callback done, base::time_point now)
            -> messages;

    //! Handles an operator reply of the channel `Consensus`; ignores other kinds.
    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages;
    auto tick(base::time_point now) -> messages;

private:
    struct pending_request
    {
        wire::operator_request request;
        // Held here because the content store may evict it before a controller fetches it.
        transfer::content_pointer content;
        // Gets a null pointer if no reply came before the deadline.
        std::function<void(const wire::operator_reply *)> onReply;
        base::time_point deadline;
        base::time_point sentAt;
    };

    auto start(pending_request pending, base::time_point now) -> messages;
    auto send(pending_request &pending, base::time_point now) -> messages;
    auto chooseRandomTarget() -> void;

    std::vector<base::node_id> m_controllers;
    transfer::content_exchange &m_exchange;
    base::random_source m_random;
    // Controller that requests are sent to: the leader named by the last redirect or a random one.
    base::node_id m_targetController;
    std::int64_t m_lastRequestId = 0;
    std::map<std::int64_t, pending_request> m_pendingRequests;
};

} // namespace hawthornpick::control
