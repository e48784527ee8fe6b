#include "upstream/internal/coldprobe.h"

#include "upstream/headerrules.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <charconv>

namespace hawthornpick::upstream {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto AS_TUPLE = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t MAX_ANSWER_BYTES = 64UL * 1024;
constexpr double MAX_COLD_MILLISECONDS = 86'400'000.0;
//! The answer may arrive this long after the upstream began to count the idle time.
constexpr base::milliseconds IDLE_TIME_TOLERANCE{200};

using answer_message = http::response<http::string_body>;

auto headerOf(const answer_message &answer, const std::string &name) -> std::optional<std::string>
{
    const auto field = answer.find(name);
    if (name.empty() || field == answer.end()) {
        return std::nullopt;
    }
    return std::string(field->value().data(), field->value().size());
}

// Returns the time that the upstream stays cold; nothing if the answer doesn't tell.
auto coldTimeIn(const answer_message &answer, const std::string &header)
        -> std::optional<base::duration>
{
    const auto text = headerOf(answer, header);
    if (!text) {
        return answer.result_int() == 200 ? std::optional(base::duration::zero()) : std::nullopt;
    }
    const auto milliseconds = base::parseTimeSpan(*text + "ms");
    if (!milliseconds) {
        return std::nullopt;
    }
    return base::fromSeconds(std::clamp(*milliseconds, 0.0, MAX_COLD_MILLISECONDS) / 1000.0);
}

auto idleTimeIn(const answer_message &answer) -> std::optional<base::milliseconds>
{
    if (!answer.keep_alive()) {
        return std::nullopt;
    }
    constexpr std::string_view PARAMETER = "timeout=";
    const auto text = headerOf(answer, "Keep-Alive").value_or("");
    const auto position = text.find(PARAMETER);
    std::uint32_t seconds = 0;
    if (position != std::string::npos) {
        const auto *begin = text.data() + position + PARAMETER.size();
        std::from_chars(begin, text.data() + text.size(), seconds);
    }
    return std::chrono::seconds(seconds);
}

auto formatQuestion(const std::string &path, const membership::endpoint &address) -> std::string
{
    std::string out = "GET " + path + " HTTP/1.1\r\n";
    const bool isV6 = address.address.find(':') != std::string::npos;
    const auto host = isV6 ? "[" + address.address + "]" : address.address;
    appendHeader(out, "Host", host + ":" + std::to_string(address.port));
    out.append("\r\n");
    return out;
}

} // namespace

cold_probe::cold_probe(asio::io_context &context, const config::snapshot_cell &configuration,
                       const upstream_table_cell &upstreams,
                       std::shared_ptr<start_gates> startGates, wire_profile wire, double overage)
    : m_context(context), m_configuration(configuration), m_upstreams(upstreams),
      m_startGates(std::move(startGates)), m_wire(std::move(wire)), m_overage(overage)
{}

auto cold_probe::ask(const base::upstream_id &upstream) -> void
{
    asio::post(m_context, [self = shared_from_this(), upstream] { self->startQuestion(upstream); });
}

auto cold_probe::startQuestion(const base::upstream_id &upstream) -> void
{
    const auto open = m_open.find(upstream);
    if (open == m_open.end()) {
        asio::co_spawn(m_context, run(shared_from_this(), upstream), asio::detached);
        return;
    }
    open->second->isWanted = true;
    if (open->second->isWatched) {
        boost::system::error_code ignored;
        open->second->socket.cancel(ignored);
    }
}

auto cold_probe::stop() -> void
{
    m_isStopped = true;
    for (const auto &[upstream, open] : m_open) {
        boost::system::error_code ignored;
        open->socket.close(ignored);
    }
}

auto cold_probe::targetOf(const base::upstream_id &upstream) const -> std::optional<question_target>
{
    auto record = m_upstreams.load()->find(upstream);
    if (!record || record->entry.state != membership::upstream_state::Ready || m_isStopped
        || m_wire.upstreamId.empty() || m_wire.coldTime.empty()) {
        return std::nullopt;
    }
    const auto configuration = m_configuration.load();
    const auto *service = configuration->serviceById(record->entry.service);
    if (service == nullptr || service->healthPath.empty()) {
        return std::nullopt;
    }
    return question_target{std::move(record), service->healthPath,
                           coldTermsOf(*service, m_overage)};
}

auto cold_probe::run(std::shared_ptr<cold_probe> self, base::upstream_id upstream)
        -> asio::awaitable<void>
{
    co_await self->askAndWatch(upstream);
    self->m_startGates->endQuestion(upstream);
}

auto cold_probe::askAndWatch(const base::upstream_id &upstream) -> asio::awaitable<void>
{
    question state(m_context.get_executor());
    bool isOpen = false;
    for (bool isWanted = true; isWanted;) {
        const bool isReserved = co_await reserve(upstream);
        const auto target = targetOf(upstream);
        if (!isReserved) {
            break;
        }
        if (!target) {
            m_startGates->cancelReservation(upstream);
            break;
        }
        scheduleNextQuestion(upstream);
        m_open[upstream] = &state;
        if (!isOpen) {
            isOpen = co_await connect(state, *target);
        }
        if (!isOpen) {
            break;
        }
        const bool isAnswered = co_await askOnce(state, *target);
        if (!isAnswered || !state.idleTime) {
            break;
        }
        m_nextQuestions[upstream].interval = base::milliseconds(0);
        m_startGates->endQuestion(upstream);
        isWanted = co_await watch(state, *target);
    }
    m_open.erase(upstream);
}

auto cold_probe::scheduleNextQuestion(const base::upstream_id &upstream) -> void
{
    const auto now = base::clock::now();
    std::erase_if(m_nextQuestions, [now](const auto &item) {
        return item.second.time + MAX_QUESTION_INTERVAL <= now;
    });
    auto &next = m_nextQuestions[upstream];
    next.interval = std::clamp(next.interval * 2, QUESTION_INTERVAL, MAX_QUESTION_INTERVAL);
    next.time = now + next.interval;
}

auto cold_probe::reserve(const base::upstream_id &upstream) -> asio::awaitable<bool>
{
    asio::steady_timer timer(m_context);
    while (true) {
        const auto target = targetOf(upstream);
        const auto now = base::clock::now();
        if (!target
            || !m_startGates->isInDoubt(upstream, target->record->entry.incarnation, target->terms,
                                        now)) {
            co_return false;
        }
        const auto next = m_nextQuestions.find(upstream);
        auto askTime = next == m_nextQuestions.end() ? now : next->second.time;
        if (askTime <= now) {
            if (m_startGates->tryReserveQuestion(upstream, target->terms, now)) {
                co_return true;
            }
            askTime = m_startGates->nextStart(upstream, target->terms, now);
        }
        if (askTime == base::time_point::max()) {
            co_return false;
        }
        timer.expires_at(askTime);
        co_await timer.async_wait(AS_TUPLE);
    }
}

auto cold_probe::connect(question &state, const question_target &target) -> asio::awaitable<bool>
{
    const auto &record = *target.record;
    auto &socket = state.socket;
    setTimeLimit(state);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(record.address.address),
                                           record.address.port);
    const auto [error] = co_await socket.async_connect(endpoint, AS_TUPLE);
    const bool isOpen = !error && socket.is_open();
    if (!isOpen) {
        m_startGates->cancelReservation(record.entry.id);
    }
    co_return isOpen;
}

auto cold_probe::setTimeLimit(question &state) -> void
{
    state.timer.set(base::clock::now() + ANSWER_TIMEOUT, [&socket = state.socket] {
        boost::system::error_code ignored;
        socket.close(ignored);
    });
}

auto cold_probe::askOnce(question &state, const question_target &target) -> asio::awaitable<bool>
{
    const auto &record = *target.record;
    const auto &id = record.entry.id;
    auto &socket = state.socket;
    setTimeLimit(state);
    const auto askTime = base::clock::now();
    m_startGates->onSent(id, target.terms, askTime);
    const auto bytes = formatQuestion(target.path, record.address);
    const auto [writeError, written] =
            co_await asio::async_write(socket, asio::buffer(bytes), AS_TUPLE);
    if (writeError) {
        co_return false;
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(MAX_ANSWER_BYTES);
    const auto [readError, count] =
            co_await http::async_read(socket, state.buffer, parser, AS_TUPLE);
    state.timer.clear();
    if (readError) {
        co_return false;
    }
    const auto &answer = parser.get();
    const bool isFromUpstream = base::isFinalStatus(answer.result_int())
                                && headerOf(answer, m_wire.upstreamId) == record.name;
    if (!isFromUpstream) {
        co_return false;
    }
    m_startGates->onNotice(id, record.entry.incarnation, noticeIn(answer, m_wire), askTime,
                           base::clock::now());
    const auto coldTime = coldTimeIn(answer, m_wire.coldTime);
    if (!coldTime) {
        co_return false;
    }
    m_startGates->onAnswer(id, record.entry.incarnation, *coldTime, askTime, base::clock::now());
    state.idleTime = idleTimeIn(answer);
    co_return true;
}

// Processes that end close their connections like those that no longer want an idle one; only the
// time tells them apart.
auto cold_probe::watch(question &state, const question_target &target) -> asio::awaitable<bool>
{
    const auto &id = target.record->entry.id;
    const auto idleSince = base::clock::now();
    m_startGates->setWatched(id, true);
    state.isWatched = true;
    std::array<char, 1> byte{};
    const auto [error, count] = co_await state.socket.async_read_some(asio::buffer(byte), AS_TUPLE);
    state.isWatched = false;
    m_startGates->setWatched(id, false);
    if (m_isStopped) {
        co_return false;
    }
    const bool isWanted = std::exchange(state.isWanted, false);
    if (isWanted && error == asio::error::operation_aborted) {
        co_return true;
    }
    const auto now = base::clock::now();
    const bool isIdleClose =
            error == asio::error::eof && now + IDLE_TIME_TOLERANCE >= idleSince + *state.idleTime;
    if (error && !isIdleClose) {
        m_startGates->onDoubt(id, target.record->entry.incarnation, now);
    }
    co_return false;
}

} // namespace hawthornpick::upstream
