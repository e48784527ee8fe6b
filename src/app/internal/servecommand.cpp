#include "app/internal/commands.h"

#include "app/node.h"
#include "base/log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>

namespace hawthornpick::app {

namespace {

namespace asio = boost::asio;

//! Waits on the main thread for SIGTERM or SIGINT, then drains the node within a time limit.
class shutdown_sequence
{
public:
    shutdown_sequence(node &drainedNode, base::milliseconds timeLimit)
        : m_node(drainedNode), m_timeLimit(timeLimit), m_signals(m_context, SIGTERM, SIGINT),
          m_limitTimer(m_context)
    {}

    //! Returns `Success` if all requests finished, and `Failure` if SIGINT as a later signal or the
    //! time limit ended the drain early.
    auto run() -> exit_code
    {
        m_signals.async_wait([this](const auto & /*failure*/, int /*signal*/) { onFirstSignal(); });
        m_context.run();
        return m_result;
    }

private:
    auto onFirstSignal() -> void
    {
        base::log(base::log_level::Info, "shutdown started",
                  {{"limit_ms", m_timeLimit.count()},
                   {"caller_connections", m_node.openConnections()}});
        m_node.drain([this] { asio::post(m_context, [this] { finish(exit_code::Success); }); });
        waitForLaterSignal();
        restartTimeLimit();
    }

    // An operator at a terminal may end the drain; a SIGTERM grants the time limit anew.
    auto waitForLaterSignal() -> void
    {
        m_signals.async_wait([this](const auto &failure, int signal) {
            if (failure) {
                return;
            }
            if (signal == SIGINT) {
                abortDrain("interrupted");
                return;
            }
            restartTimeLimit();
            waitForLaterSignal();
        });
    }

    auto restartTimeLimit() -> void
    {
        m_limitTimer.expires_after(m_timeLimit);
        m_limitTimer.async_wait([this](const auto &failure) {
            if (!failure) {
                abortDrain("shutdown limit reached");
            }
        });
    }

    auto abortDrain(const char *cause) -> void
    {
        base::log(base::log_level::Warning, "shutdown ends with requests under way",
                  {{"cause", cause}, {"caller_connections", m_node.openConnections()}});
        finish(exit_code::Failure);
    }

    auto finish(exit_code result) -> void
    {
        m_result = result;
        base::log(base::log_level::Info, "shutdown finished",
                  {{"complete", result == exit_code::Success}});
        m_context.stop();
    }

    node &m_node;
    base::milliseconds m_timeLimit;
    asio::io_context m_context{1};
    asio::signal_set m_signals;
    asio::steady_timer m_limitTimer;
    exit_code m_result = exit_code::Success;
};

} // namespace

auto runServe(const command_options &options) -> exit_code
{
    const auto settings = loadSettings(options.settingsFile);
    if (!settings) {
        return exit_code::InvalidInput;
    }
    return runNode(settings->logLevel, settings->node, [&settings] {
        node runningNode(*settings);
        shutdown_sequence shutdown(runningNode, settings->shutdownLimit);
        runningNode.start();
        base::log(base::log_level::Info, "node started",
                  {{"host", settings->host},
                   {"region", settings->region.str()},
                   {"callers", membership::toString(settings->callerAddress)},
                   {"peers", membership::toString(settings->peerAddress)}});
        return shutdown.run();
    });
}

} // namespace hawthornpick::app
