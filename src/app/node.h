#pragma once

#include "base/errorkind.h"
#include "config/settings.h"

#include <functional>
#include <memory>

namespace hawthornpick::app {

class node_state;

//! One process of the fleet: all modules wired together.
class node
{
public:
    //! Binds all addresses and loads the data folder. Throws std::exception with a text for a
    //! person if an address is in use or the data folder can't be used.
    explicit node(const config::settings &settings);

    //! Stops all threads.
    ~node();
    node(const node &) = delete;
    auto operator=(const node &) -> node & = delete;

    //! Starts all threads and returns.
    auto start() -> void;

    //! Takes no new work, lets all requests finish and calls `done` once, on any thread.
    //! Thread safety: any thread; only the first call has an effect.
    auto drain(std::function<void()> done) -> void;

    //! Requests that are under way. Thread safety: any thread.
    [[nodiscard]] auto openConnections() const -> std::size_t;

private:
    std::unique_ptr<node_state> m_state;
};

} // namespace hawthornpick::app
