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

using change_callback = std::function<void(const change_answer &)>;
//! Gets nothing if no majority of the controllers confirmed the state in time.
using status_callback = std::function<void(const std::optional<control_status> &)>;

//! A change as an operator requests it.
struct change_request
{
    std::string changeId;
    base::config_version base = 0;
    base::digest256 digest;
    //! Canonical bytes of the set, see config::encode.
    std::string content;
};

//! Decision object of every node: carries operators' requests to the leading controller and repeats
//! them until an answer comes or the time is over.
//! Thread safety of all members: control thread; callbacks run there.
class operator_client
{
public:
    using messages = std::vector<base::outgoing_message>;

    //! Longer than the time to elect a leader, prepare and drain.
    static constexpr base::milliseconds ANSWER_TIME{12000};
    static constexpr base::milliseconds RESEND_INTERVAL{500};

    operator_client(std::vector<base::node_id> controllers, transfer::content_exchange &exchange,
                    base::random_source random);

    //! Answers at once with `ContentInvalid` if the digest does not match the content.
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
    struct open_request
    {
        wire::operator_request request;
        // Kept here because the store may forget it before a controller asks for it.
        transfer::content_pointer content;
        std::function<void(const wire::operator_reply *)> done;
        base::time_point until;
        base::time_point sentAt;
    };

    auto start(open_request item, base::time_point now) -> messages;
    auto send(open_request &item, base::time_point now) -> messages;
    auto chooseAnother() -> void;

    std::vector<base::node_id> m_controllers;
    transfer::content_exchange &m_exchange;
    base::random_source m_random;
    base::node_id m_target;
    std::int64_t m_lastId = 0;
    std::map<std::int64_t, open_request> m_open;
};

} // namespace hawthornpick::control
