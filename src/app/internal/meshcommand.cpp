#include "app/internal/commands.h"

#include "app/meshnode.h"
#include "base/log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>

namespace hawthornpick::app {

namespace {

namespace asio = boost::asio;

//! Reserve before the end of the stop time that the platform allows, after which it may kill the
//! process.
constexpr base::milliseconds STOP_MARGIN{250};
//! The settings file may change without a SIGHUP, so it is also polled.
constexpr base::milliseconds SETTINGS_POLL_INTERVAL{1000};

//! Runs a node until SIGTERM or SIGINT and reloads its settings when the settings file changes.
class mesh_process
{
public:
    mesh_process(std::string settingsFile, config::mesh_settings settings, mesh_adapter adapter)
        : m_settingsFile(std::move(settingsFile)), m_settings(std::move(settings)),
          m_node(m_context, m_settings, std::move(adapter)),
          m_stopSignals(m_context, SIGTERM, SIGINT), m_reloadSignals(m_context, SIGHUP),
          m_stopTimer(m_context), m_settingsTimer(m_context)
    {}

    auto run() -> exit_code
    {
        waitForStop();
        waitForReload();
        pollSettings();
        m_node.start();
        base::log(base::log_level::Info, "node started",
                  {{"host", m_settings.name.str()},
                   {"region", m_settings.region.str()},
                   {"failure_domain", m_settings.failureDomain.str()},
                   {"address", m_settings.address},
                   {"service", m_settings.service.str()},
                   {"first_start", m_settings.isFirstStart}});
        m_context.run();
        return m_result;
    }

private:
    auto waitForStop() -> void
    {
        m_stopSignals.async_wait([this](const auto &failure, int /*signal*/) {
            if (failure) {
                return;
            }
            stop();
            waitForStop();
        });
    }

    auto waitForReload() -> void
    {
        m_reloadSignals.async_wait([this](const auto &failure, int /*signal*/) {
            if (failure) {
                return;
            }
            reload();
            waitForReload();
        });
    }

    auto pollSettings() -> void
    {
        m_settingsTimer.expires_after(SETTINGS_POLL_INTERVAL);
        m_settingsTimer.async_wait([this](const auto &failure) {
            if (failure) {
                return;
            }
            reload();
            pollSettings();
        });
    }

    // If the file can't be read or parsed, the current settings remain in effect.
    auto reload() -> void
    {
        const auto content = readFile(m_settingsFile);
        if (!content || *content == m_settingsFileContent) {
            return;
        }
        m_settingsFileContent = *content;
        const auto parsed = config::parseMeshSettings(m_settingsFile, *content);
        if (!parsed) {
            base::log(base::log_level::Error, "changed settings can't be used",
                      {{"error", config::toString(parsed.error().front())}});
            return;
        }
        if (*parsed == m_settings) {
            return;
        }
        m_settings = *parsed;
        m_node.reload(m_settings);
        base::log(base::log_level::Info, "settings reloaded", {{"file", m_settingsFile}});
    }

    auto stop() -> void
    {
        // The platform grants the stop time anew with each signal.
        base::log(base::log_level::Info, "shutdown started",
                  {{"caller_connections", m_node.openConnections()}});
        m_node.drain([this] { finish(exit_code::Success); });
        m_node.restartStopTime();
        m_stopTimer.expires_after(std::max(m_settings.stopTime - STOP_MARGIN, STOP_MARGIN));
        m_stopTimer.async_wait([this](const auto &failure) {
            if (!failure) {
                finish(exit_code::Failure);
            }
        });
    }

    auto finish(exit_code result) -> void
    {
        m_result = result;
        base::log(base::log_level::Info, "shutdown finished",
                  {{"complete", result == exit_code::Success}});
        m_context.stop();
    }

    std::string m_settingsFile;
    config::mesh_settings m_settings;
    std::string m_settingsFileContent;
    asio::io_context m_context{1};
    mesh_node m_node;
    asio::signal_set m_stopSignals;
    asio::signal_set m_reloadSignals;
    asio::steady_timer m_stopTimer;
    asio::steady_timer m_settingsTimer;
    exit_code m_result = exit_code::Success;
};

} // namespace

auto runMesh(const command_options &options, mesh_adapter adapter) -> exit_code
{
    const auto settings = loadMeshSettings(options.settingsFile);
    if (!settings) {
        return exit_code::InvalidInput;
    }
    return runNode(settings->logLevel, settings->name, [&] {
        mesh_process process(options.settingsFile, *settings, std::move(adapter));
        return process.run();
    });
}

} // namespace hawthornpick::app
