#include "caller/internal/entry.h"

#include "base/digest.h"
#include "upstream/headerrules.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>

namespace hawthornpick::caller {

namespace asio = boost::asio;

using base::error_kind;

namespace {

// Longest body that is kept for a retry; also the part that enters the fingerprint.
constexpr std::size_t MAX_BUFFERED_BODY_BYTES = 64UL * 1024;
constexpr std::size_t MAX_REQUEST_ID_BYTES = 128;
constexpr std::size_t MAX_IDEMPOTENCY_KEY_BYTES = 256;

auto refuse(error_kind kind, std::string detail = {}) -> std::optional<refusal>
{
    return refusal{{kind, std::move(detail)}, {}};
}

auto isRequestId(std::string_view text) -> bool
{
    return !text.empty() && text.size() <= MAX_REQUEST_ID_BYTES
           && std::all_of(text.begin(), text.end(), [](char c) {
                  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
                         || std::string_view("-_.:/+=").find(c) != std::string_view::npos;
              });
}

// Kinds after which another node or another moment may succeed. The others say something about the
// request itself or about its remaining time.
auto isRetryable(error_kind kind) -> bool
{
    switch (kind) {
    case error_kind::ConfigNotCurrent:
    case error_kind::NoUpstream:
    case error_kind::UpstreamEjected:
    case error_kind::UpstreamDraining:
    case error_kind::IncarnationChanged:
    case error_kind::QueueFull:
    case error_kind::UpstreamUnreachable:
    case error_kind::UpstreamFailed:
    case error_kind::UpstreamTimeout:
    case error_kind::PeerUnreachable:
    case error_kind::OutcomeUnknown:
    case error_kind::ShuttingDown:
        return true;
    default:
        return false;
    }
}

// Failures of one upstream, not of the node beside it.
auto isUpstreamFailure(error_kind kind) -> bool
{
    return kind == error_kind::UpstreamUnreachable || kind == error_kind::UpstreamFailed
           || kind == error_kind::UpstreamTimeout;
}

auto isNotRun(error_kind kind) -> bool
{
    return base::answerFor(kind).result == base::outcome::NotRun;
}

// Identifies a request that crashes upstreams. Fields are separated by bytes that they can't hold.
auto fingerprintOf(const upstream::attempt_request &request) -> base::digest256
{
    std::string text = request.organisation.str() + '\n' + request.route.str() + '\n'
                       + request.method + ' ' + request.target + '\n';
    text += request.contentLength ? std::to_string(*request.contentLength) : "chunked";
    text += '\n' + request.body;
    return base::sha256(text);
}

auto unreachable() -> asio::awaitable<upstream::attempt_result>
{
    co_return upstream::attempt_result{base::error{error_kind::PeerUnreachable, {}}, false, {}};
}

} // namespace

auto requestIdFor(const request_fields &fields, base::random_source &random) -> std::string
{
    const auto given = singleValue(fields, "X-Request-Id");
    if (given && isRequestId(*given)) {
        return std::string(*given);
    }
    std::array<char, 16> digits{};
    const auto end =
            std::to_chars(digits.data(), digits.data() + digits.size(), random.bits(), 16).ptr;
    return {digits.data(), end};
}

entry::entry(entry_dependencies dependencies, std::uint64_t seed)
    : m_dependencies(dependencies), m_configuration(m_dependencies.configuration),
      m_fleet(m_dependencies.fleet), m_random(seed)
{}

entry_request::entry_request(entry &owner, caller_input &input, request_parser &parser,
                             const request_head &head, answer_writer &writer, std::string requestId)
    : m_owner(owner), m_input(input), m_parser(parser), m_head(head), m_writer(writer),
      m_arrival(base::clock::now()), m_snapshot(owner.configuration())
{
    m_request.requestId = std::move(requestId);
}

auto entry_request::run() -> asio::awaitable<bool>
{
    const auto refused = co_await process();
    if (!refused) {
        co_return m_parser.is_done();
    }
    co_return co_await writeRefusal(*refused);
}

auto entry_request::writeRefusal(const refusal &why) -> asio::awaitable<bool>
{
    m_owner.dependencies().metrics.countRefusal(why.what.kind);
    if (m_writer.started() || why.what.kind == error_kind::CallerGone) {
        // The caller must not take the part that it has got for a whole answer.
        m_input.abort();
        co_return false;
    }
    // The rest of a body that was not read would be taken for the next request.
    if (!m_parser.is_done()) {
        m_writer.closeAfterAnswer();
    }
    const auto written = co_await m_writer.error(why.what, why.retryAfter);
    co_return written.has_value();
}

auto entry_request::process() -> asio::awaitable<refusal_or_done>
{
    if (auto refused = co_await admit()) {
        co_return refused;
    }
    if (auto refused = co_await readBody()) {
        co_return refused;
    }
    if (m_input.ended()) {
        co_return refuse(error_kind::CallerGone);
    }
    m_input.onEnd([this] { m_cancel.request(error_kind::CallerGone); });
    auto refused = co_await forward();
    m_input.onEnd(nullptr);
    co_return refused;
}

auto entry_request::admit() -> asio::awaitable<refusal_or_done>
{
    for (const auto step : {&entry_request::checkNode, &entry_request::matchRoute,
                            &entry_request::checkKey, &entry_request::checkIdempotencyKey}) {
        if (auto refused = (this->*step)()) {
            co_return refused;
        }
    }
    co_return co_await takeToken();
}

auto entry_request::checkNode() -> refusal_or_done
{
    if (m_head.keyInQuery) {
        return refuse(error_kind::KeyInQuery);
    }
    if (m_snapshot->version() == 0) {
        return refuse(error_kind::NoConfiguration);
    }
    const auto &isCurrent = m_owner.dependencies().hooks.isCurrent;
    if (isCurrent && !isCurrent()) {
        return refuse(error_kind::ConfigNotCurrent);
    }
    return {};
}

auto entry_request::matchRoute() -> refusal_or_done
{
    const auto match = m_snapshot->match(m_head.host, m_head.path, m_head.method);
    if (match.found == nullptr) {
        return refuse(match.methodMismatch ? error_kind::MethodNotAllowed : error_kind::NoRoute);
    }
    m_route = match.found;
    if (m_head.contentLength > m_route->maxBodyBytes) {
        return refuse(error_kind::BodyTooLarge);
    }
    const auto *service = m_snapshot->serviceById(m_route->service);
    if (service == nullptr) {
        return refuse(error_kind::NoUpstream);
    }
    m_service = *service;
    return {};
}

auto entry_request::checkKey() -> refusal_or_done
{
    if (m_route->access == config::route_access::Open) {
        return {};
    }
    if (!m_head.key || m_head.key->empty()) {
        return refuse(error_kind::KeyMissing);
    }
    const auto *key = m_snapshot->keyByDigest(base::sha256(*m_head.key));
    if (key == nullptr) {
        return refuse(error_kind::KeyInvalid);
    }
    m_request.key = key->id;
    m_request.organisation = key->organisation;
    return {};
}

auto entry_request::checkIdempotencyKey() -> refusal_or_done
{
    if (m_route->idempotent) {
        return {};
    }
    const auto key = singleValue(m_parser.get().base(), "Idempotency-Key");
    if (key && key->size() > MAX_IDEMPOTENCY_KEY_BYTES) {
        return refuse(error_kind::BadRequest, "Idempotency-Key is too long");
    }
    if (key && !key->empty()) {
        m_record.emplace(m_owner.dependencies().hooks.idempotency, std::string(*key),
                         m_route->recordLife);
        return {};
    }
    if (m_route->idempotencyKey == config::idempotency_key_use::Required) {
        return refuse(error_kind::IdempotencyKeyRequired);
    }
    return {};
}

auto entry_request::takeToken() -> asio::awaitable<refusal_or_done>
{
    const auto &admit = m_owner.dependencies().hooks.admit;
    if (!admit || m_request.organisation.empty()) {
        co_return std::nullopt;
    }
    const auto decision = co_await admit(m_request.organisation);
    if (decision.refusal) {
        co_return refusal{{*decision.refusal, {}}, decision.retryAfter};
    }
    co_return std::nullopt;
}

auto entry_request::deadline() const -> base::time_point
{
    auto limit = m_route->deadline;
    if (const auto text = singleValue(m_parser.get().base(), "X-Request-Deadline-Ms")) {
        std::int64_t wanted = 0;
        const auto [end, error] =
                std::from_chars(text->data(), text->data() + text->size(), wanted);
        if (error == std::errc{} && end == text->data() + text->size() && wanted >= 0) {
            limit = std::min(limit, base::milliseconds(wanted));
        }
    }
    return m_arrival + limit;
}

auto entry_request::readBody() -> asio::awaitable<refusal_or_done>
{
    m_request.deadline = deadline();
    m_body.emplace(m_input, m_parser, m_route->maxBodyBytes, m_request.deadline);
    if (m_head.expectsContinue && m_input.buffer().size() == 0) {
        if (const auto sent = co_await m_writer.sendContinue(); !sent) {
            co_return refusal{sent.error(), {}};
        }
    }
    auto body = co_await m_body->readPrefix(MAX_BUFFERED_BODY_BYTES);
    if (!body) {
        co_return refusal{body.error(), {}};
    }
    prepare(std::move(*body));
    co_return std::nullopt;
}

auto entry_request::prepare(std::string body) -> void
{
    boost::system::error_code ignored;
    const auto address = m_input.socket().remote_endpoint(ignored).address().to_string();
    m_request.configVersion = m_snapshot->version();
    m_request.service = m_route->service;
    m_request.route = m_route->id;
    m_request.idempotent = m_route->idempotent;
    m_request.method = m_head.method;
    m_request.target = m_head.target;
    m_request.headers = cleanHeaders(m_parser.get().base(), m_head, address);
    m_request.bodyComplete = m_body->complete();
    if (m_request.bodyComplete) {
        m_request.contentLength = body.size();
    } else if (m_head.framing == body_framing::Length) {
        m_request.contentLength = m_head.contentLength;
    }
    m_request.body = std::move(body);
    m_request.fingerprint = fingerprintOf(m_request);
}

auto entry_request::forward() -> asio::awaitable<refusal_or_done>
{
    auto refused = co_await runAttempts();
    if (m_record && refused && !m_mayHaveRun) {
        m_record->release();
    }
    co_return refused;
}

// A later refusal before start does not undo an earlier attempt.
auto entry_request::finalRefusal(base::error what) const -> refusal
{
    if (m_mayHaveRun && isNotRun(what.kind)) {
        return {{error_kind::OutcomeUnknown, std::string(base::answerFor(what.kind).reason)}, {}};
    }
    return {std::move(what), {}};
}

auto entry_request::runAttempts() -> asio::awaitable<refusal_or_done>
{
    const auto &hooks = m_owner.dependencies().hooks;
    if (hooks.onFirstAttempt) {
        hooks.onFirstAttempt(m_service, m_request.organisation);
    }
    while (true) {
        const auto chosen = choose();
        if (!chosen) {
            // The refusal of the last attempt says more than the lack of another node.
            co_return finalRefusal(m_lastFailure.value_or(chosen.error()));
        }
        nameAttempt(*chosen);
        if (m_record) {
            auto claim = co_await m_record->prepareAttempt(m_request, *chosen);
            if (claim && std::holds_alternative<idempotency_replay>(*claim)) {
                co_return co_await replay(std::get<idempotency_replay>(*claim));
            }
            if (claim) {
                co_return refusal{std::get<base::error>(*claim), {}};
            }
        }
        const auto result = co_await attemptOn(*chosen);
        if (!result.failure) {
            m_mayHaveRun = true;
            if (m_record) {
                m_record->complete();
            }
            const auto ended = co_await m_writer.end();
            co_return ended ? std::nullopt : refusal_or_done(refusal{ended.error(), {}});
        }
        m_lastFailure = result.failure;
        const bool retry = co_await mayRetry(result, *chosen);
        if (!retry) {
            co_return finalRefusal(*m_lastFailure);
        }
        m_owner.dependencies().metrics.countRetry(result.failure->kind);
        co_await pauseBeforeRetry();
    }
}

auto entry_request::nameAttempt(const chosen_node &chosen) -> void
{
    ++m_attempts;
    m_request.attempt = m_owner.random().attemptId();
    m_request.nodeIncarnation = chosen.incarnation;
}

auto entry_request::replay(const idempotency_replay &stored) -> asio::awaitable<refusal_or_done>
{
    auto answer = decodeStoredAnswer(stored.answer);
    if (!answer) {
        co_return refuse(error_kind::OutcomeUnknown, "the stored answer is damaged");
    }
    upstream::appendHeader(answer->headers, "Idempotency-Replayed", "true");
    auto sent = co_await m_writer.start(std::move(*answer));
    if (sent) {
        sent = co_await m_writer.end();
    }
    co_return sent ? std::nullopt : refusal_or_done(refusal{sent.error(), {}});
}

auto entry_request::choose() -> base::result<chosen_node>
{
    const auto &select = m_owner.dependencies().hooks.select;
    selection_request wanted{*m_owner.fleet(),     m_service,
                             m_request.idempotent, m_request.body.size(),
                             m_excluded,           m_request.organisation,
                             m_request.route,      m_request.fingerprint};
    wanted.excluded.insert(wanted.excluded.end(), m_failed.begin(), m_failed.end());
    auto chosen = select(wanted);
    if (!chosen && !m_failed.empty()) {
        // A node whose upstream failed may have another upstream.
        wanted.excluded = m_excluded;
        chosen = select(wanted);
    }
    return chosen;
}

auto entry_request::attemptOn(const chosen_node &chosen)
        -> asio::awaitable<upstream::attempt_result>
{
    const auto start = base::clock::now();
    const auto bodySource = source();
    const auto answerSink = sink();
    auto result = co_await runOn(chosen, bodySource, answerSink);
    const auto &report = m_owner.dependencies().hooks.onAttemptEnd;
    if (report) {
        const auto kind = result.failure ? std::optional(result.failure->kind) : std::nullopt;
        report({m_request.service, m_request.organisation, chosen, kind, result.load,
                base::clock::now() - start});
    }
    co_return result;
}

auto entry_request::runOn(const chosen_node &chosen, const upstream::body_source &source,
                          const upstream::answer_sink &sink)
        -> asio::awaitable<upstream::attempt_result>
{
    auto &dependencies = m_owner.dependencies();
    if (chosen.id == dependencies.node) {
        return dependencies.local.run(m_request, source, sink, m_cancel);
    }
    if (dependencies.remote == nullptr) {
        return unreachable();
    }
    return dependencies.remote->run({chosen.id, chosen.address, chosen.incarnation}, m_request,
                                    source, sink, m_cancel);
}

auto entry_request::provedNotRun(const base::error &failure, const chosen_node &chosen)
        -> asio::awaitable<bool>
{
    if (isNotRun(failure.kind)) {
        co_return true;
    }
    const auto &fence = m_owner.dependencies().hooks.fence;
    if (failure.kind != error_kind::OutcomeUnknown || !fence) {
        co_return false;
    }
    co_return co_await fence(m_request.attempt, chosen);
}

auto entry_request::mayRetry(const upstream::attempt_result &result, const chosen_node &chosen)
        -> asio::awaitable<bool>
{
    const auto kind = result.failure->kind;
    const bool mayHaveRun = result.answerStarted || !isNotRun(kind);
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    if (result.answerStarted || m_writer.started() || m_bodyUsed || !isRetryable(kind)
        || m_cancel.reason()) {
        co_return false;
    }
    if (!m_request.idempotent) {
        const bool proved = co_await provedNotRun(*result.failure, chosen);
        if (!proved) {
            co_return false;
        }
        // All earlier attempts of a non-idempotent request were proved as well.
        m_mayHaveRun = false;
        if (!isNotRun(kind)) {
            m_lastFailure = base::error{error_kind::PeerUnreachable, "fenced before start"};
        }
    }
    if (m_attempts >= m_service.maxAttempts || base::clock::now() >= m_request.deadline) {
        co_return false;
    }
    (isUpstreamFailure(kind) ? m_failed : m_excluded).push_back(chosen.id);
    const auto &spendRetry = m_owner.dependencies().hooks.spendRetry;
    if (spendRetry && !spendRetry(m_service, m_request.organisation)) {
        // Only a refusal before start may be reported under a kind that says "not run".
        if (isNotRun(kind)) {
            m_lastFailure = base::error{error_kind::RetryBudgetExhausted, {}};
        }
        co_return false;
    }
    co_return true;
}

auto entry_request::pauseBeforeRetry() -> asio::awaitable<void>
{
    const auto pause = policy::retryDelay(m_attempts, m_owner.random());
    asio::steady_timer timer(m_input.socket().get_executor(), pause);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

auto entry_request::source() -> upstream::body_source
{
    if (m_request.bodyComplete) {
        return {};
    }
    return {[this] {
                m_bodyUsed = true;
                return readRest();
            },
            [this] {
                m_input.interrupt();
            }};
}

// Once the executing node has the start of the body, the request may have been started, so that no
// later failure may be reported under a kind that says "not run".
auto entry_request::readRest() -> asio::awaitable<base::result<std::string>>
{
    auto part = co_await m_body->read();
    if (!part && isNotRun(part.error().kind)) {
        co_return base::fail(error_kind::OutcomeUnknown,
                             std::string(base::answerFor(part.error().kind).reason));
    }
    co_return part;
}

auto entry_request::sink() -> upstream::answer_sink
{
    return {[this](upstream::answer_start start) {
                if (m_record) {
                    m_record->keepStart(start);
                }
                return m_writer.start(std::move(start));
            },
            [this](std::string part) {
                if (m_record) {
                    m_record->keepData(part);
                }
                return m_writer.data(std::move(part));
            }};
}

} // namespace hawthornpick::caller
