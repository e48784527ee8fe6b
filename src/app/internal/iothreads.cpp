#include "app/internal/iothreads.h"

namespace hawthornpick::app {

io_threads::io_threads(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        m_contexts.push_back(std::make_unique<boost::asio::io_context>(1));
        m_workGuards.push_back(boost::asio::make_work_guard(*m_contexts.back()));
    }
}

io_threads::~io_threads()
{
    stop();
}

auto io_threads::contexts() const -> std::vector<boost::asio::io_context *>
{
    std::vector<boost::asio::io_context *> pointers;
    pointers.reserve(m_contexts.size());
    for (const auto &context : m_contexts) {
        pointers.push_back(context.get());
    }
    return pointers;
}

auto io_threads::start() -> void
{
    for (auto *context : contexts()) {
        m_threads.emplace_back([context] { context->run(); });
    }
}

auto io_threads::stop() -> void
{
    for (const auto &context : m_contexts) {
        context->stop();
    }
    for (auto &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

} // namespace hawthornpick::app
