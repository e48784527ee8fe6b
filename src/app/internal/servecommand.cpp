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

//! Waits on the main thread for signals and carries out the shutdown.
class shutdown_sequence
{
public:
    shutdown_sequence(node &process, base::milliseconds limit)
        : m_process(process), m_limit(limit), m_signals(m_context, SIGTERM, SIGINT),
          m_timer(m_context)
    {}

    //! Returns `Success` after a complete drain, `Failure` if requests were cut.
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
                  {{"limit_ms", m_limit.count()},
                   {"caller_connections", m_process.openConnections()}});
        m_process.drain([this] { asio::post(m_context, [this] { finish(exit_code::Success); }); });
        m_signals.async_wait([this](const auto &failure, int /*signal*/) {
            if (!failure) {
                cut("second signal");
            }
        });
        m_timer.expires_after(m_limit);
        m_timer.async_wait([this](const auto &failure) {
            if (!failure) {
                cut("shutdown limit reached");
            }
        });
    }

    auto cut(const char *cause) -> void
    {
        base::log(base::log_level::Warning, "shutdown ends with requests under way",
                  {{"cause", cause}, {"caller_connections", m_process.openConnections()}});
        finish(exit_code::Failure);
    }

    auto finish(exit_code result) -> void
    {
        m_result = result;
        base::log(base::log_level::Info, "shutdown finished",
                  {{"complete", result == exit_code::Success}});
        m_context.stop();
    }

    node &m_process;
    base::milliseconds m_limit;
    asio::io_context m_context{1};
    asio::signal_set m_signals;
    asio::steady_timer m_timer;
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
        node process(*settings);
        shutdown_sequence shutdown(process, settings->shutdownLimit);
        process.start();
        base::log(base::log_level::Info, "node started",
                  {{"host", settings->host},
                   {"region", settings->region.str()},
                   {"callers", membership::toString(settings->callerAddress)},
                   {"peers", membership::toString(settings->peerAddress)}});
        return shutdown.run();
    });
}

} // namespace hawthornpick::app
