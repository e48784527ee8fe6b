#pragma once

#include "base/errorkind.h"
#include "config/settings.h"

#include <functional>
#include <memory>

namespace hawthornpick::app {

class node_state;

//! One process of a fleet with configured controllers and witnesses. Creates the components of the
//! process and connects them.
class node
{
public:
    //! Binds all addresses and loads the data folder. Throws a std::exception with a readable
    //! message if an address is in use or the data folder can't be read or written.
    explicit node(const config::settings &settings);

    //! Stops all threads.
    ~node();
    node(const node &) = delete;
    auto operator=(const node &) -> node & = delete;

    //! Starts all threads and returns.
    auto start() -> void;

    //! Announces that the node leaves, stops accepting requests, waits until the in-flight ones
    //! have finished and calls `done` once, on any thread. Only the first call has an effect.
    //! Thread safety: any thread.
    auto drain(std::function<void()> done) -> void;

    //! Number of open caller connections. Thread safety: any thread.
    [[nodiscard]] auto openConnections() const -> std::size_t;

private:
    std::unique_ptr<node_state> m_state;
};

} // namespace hawthornpick::app
