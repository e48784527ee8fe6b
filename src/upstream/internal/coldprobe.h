#pragma once

#include "config/snapshot.h"
#include "upstream/deadlinetimer.h"
#include "upstream/registry.h"
#include "upstream/startgates.h"
#include "upstream/wireprofile.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <map>
#include <memory>
#include <optional>

namespace hawthornpick::upstream {

//! Asks upstreams that are in doubt whether they are cold, at the health path of their service, and
//! keeps the connection of the answer open: if it is lost before the upstream closes idle
//! connections, the upstream is in doubt again.
//! Thread safety: `ask` any thread, the other members the thread of the context.
class cold_probe : public std::enable_shared_from_this<cold_probe>
{
public:
    //! Minimum time between two questions to one upstream, twice as long after each question
    //! without an answer.
    static constexpr base::milliseconds QUESTION_INTERVAL{1000};
    static constexpr base::milliseconds MAX_QUESTION_INTERVAL{8000};
    static constexpr base::milliseconds ANSWER_TIMEOUT{300};

    //! Precondition: the references outlive the run of the context. `overage` is the ratio by which
    //! the rate of a cold upstream may be exceeded.
    cold_probe(boost::asio::io_context &context, const config::snapshot_cell &configuration,
               const upstream_table_cell &upstreams, std::shared_ptr<start_gates> startGates,
               wire_profile wire, double overage);

    //! Asks an upstream once, over the connection of the last answer if that is still open, and
    //! then calls `start_gates::endQuestion`.
    auto ask(const base::upstream_id &upstream) -> void;

    //! Ends questions and closes connections.
    auto stop() -> void;

private:
    using tcp_socket = boost::asio::ip::tcp::socket;

    //! Upstream that is asked and the settings of its service.
    struct question_target
    {
        std::shared_ptr<const upstream_record> record;
        std::string path;
        policy::cold_terms terms;
    };
    struct question
    {
        explicit question(const boost::asio::any_io_executor &executor)
            : socket(executor), timer(executor)
        {}
        tcp_socket socket;
        deadline_timer timer;
        boost::beast::flat_buffer buffer;
        //! Time for which the upstream keeps the connection open while it is idle; nothing if it
        //! closes it, and zero if it hasn't said.
        std::optional<base::milliseconds> idleTime;
        bool isWatched = false;
        //! True if the upstream is to be asked again.
        bool isWanted = false;
    };

    struct next_question
    {
        base::time_point time;
        base::milliseconds interval{0};
    };

    auto startQuestion(const base::upstream_id &upstream) -> void;
    static auto run(std::shared_ptr<cold_probe> self, base::upstream_id upstream)
            -> boost::asio::awaitable<void>;
    auto askAndWatch(const base::upstream_id &upstream) -> boost::asio::awaitable<void>;
    [[nodiscard]] auto targetOf(const base::upstream_id &upstream) const
            -> std::optional<question_target>;
    //! Waits for the time of the next question and reserves it. Returns false if it is not needed.
    auto reserve(const base::upstream_id &upstream) -> boost::asio::awaitable<bool>;
    //! Records a question that is asked now.
    auto scheduleNextQuestion(const base::upstream_id &upstream) -> void;
    auto connect(question &state, const question_target &target) -> boost::asio::awaitable<bool>;
    static auto setTimeLimit(question &state) -> void;
    //! Returns true if the answer was accepted.
    auto askOnce(question &state, const question_target &target) -> boost::asio::awaitable<bool>;
    //! Waits for the end of the connection. Returns true if the upstream is to be asked again.
    auto watch(question &state, const question_target &target) -> boost::asio::awaitable<bool>;

    boost::asio::io_context &m_context;
    const config::snapshot_cell &m_configuration;
    const upstream_table_cell &m_upstreams;
    std::shared_ptr<start_gates> m_startGates;
    wire_profile m_wire;
    double m_overage;
    bool m_isStopped = false;
    std::map<base::upstream_id, next_question> m_nextQuestions;
    //! Questions whose connection is open.
    std::map<base::upstream_id, question *> m_open;
};

//! Returns the limits of a service for cold upstreams. Thread safety: pure.
inline auto coldTermsOf(const config::service &service, double overage) -> policy::cold_terms
{
    return {service.coldRate, overage, service.coldTime};
}

} // namespace hawthornpick::upstream
