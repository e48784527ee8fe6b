#pragma once

#include "base/time.h"
#include "upstream/statement.h"

#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace hawthornpick::upstream {

//! What an entry node has been told about the upstreams of other nodes. It tells it back with each
//! request to such a node, so that what an upstream has said holds after a restart of the node
//! beside it.
//! Thread safety of all members: any thread.
class told_statements
{
public:
    //! Time after which a statement that isn't reported any more is forgotten.
    static constexpr std::chrono::minutes RETENTION{10};
    //! Maximum number of statements about one service on one node.
    static constexpr std::size_t MAX_STATEMENTS = 16;

    //! Records what a node told about its upstreams of a service. A report that isn't complete only
    //! adds to what is known.
    auto onReport(const base::node_id &node, const base::service_id &service,
                  const statement_report &report, base::time_point now) -> void;

    //! Returns what is known of the upstreams of a service on a node.
    [[nodiscard]] auto statementsAbout(const base::node_id &node,
                                       const base::service_id &service) const
            -> std::vector<upstream_statement>;

private:
    struct known_statements
    {
        std::vector<upstream_statement> statements;
        base::time_point reportedAt;
    };

    mutable std::mutex m_mutex;
    std::map<std::pair<base::node_id, base::service_id>, known_statements> m_known;
};

} // namespace hawthornpick::upstream
