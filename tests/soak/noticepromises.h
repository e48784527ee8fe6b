#pragma once

#include "base/time.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace hawthornpick::soak {

//! Checks that what two upstreams say in their answers holds: one names a limit, one leaves. Only
//! requests count that began at nodes which had passed such an answer on and were not restarted or
//! frozen since; for the limit, not cut off either.
//! Thread safety of all members: any thread.
class notice_promises
{
public:
    //! Requests per second that the limited upstream names.
    static constexpr double LIMIT = 1.0;
    //! Time after the limit was first named from which it must hold.
    static constexpr base::milliseconds LIMIT_SETTLE_TIME{3000};
    static constexpr base::milliseconds LIMIT_WINDOW{4000};
    //! Time after which a node that passed an answer on must keep the limit, or send nothing more.
    static constexpr base::milliseconds LIMIT_TOLD_TIME{500};
    static constexpr base::milliseconds DRAIN_TIME{2500};

    //! A caller sends a request to a node.
    auto onSent(const std::string &id, int node, base::time_point now) -> void;
    //! The caller got the answer, which names a limit or says that the upstream leaves.
    auto onAnswer(const std::string &id, bool namesLimit, bool saysLeaving, base::time_point now)
            -> void;
    //! A node is restarted or frozen, or has just been.
    auto onStopped(int node) -> void;
    //! A node is cut off from others, or has just been.
    auto onCut(int node) -> void;

    //! The upstream that names the limit, or the one that leaves, begins to run a request.
    auto onLimitedRun(const std::string &id, base::time_point now) -> void;
    auto onLeavingRun(const std::string &id) -> void;

    //! All broken promises so far.
    auto broken() -> std::vector<std::string>;

private:
    struct sent_request
    {
        int node = 0;
        base::time_point sentAt;
    };

    std::mutex m_mutex;
    std::map<std::string, sent_request> m_requests;
    base::time_point m_firstNamed = base::time_point::max();
    //! When each node passed the first such answer on.
    std::map<int, base::time_point> m_limitTold;
    std::map<int, base::time_point> m_leavingTold;
    std::vector<base::time_point> m_limitedRuns;
    std::vector<std::string> m_broken;
};

} // namespace hawthornpick::soak
