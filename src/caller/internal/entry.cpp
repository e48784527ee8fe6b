#include "caller/internal/entry.h"

#include "base/digest.h"
#include "config/priority.h"
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

// Longer bodies are streamed, which excludes a retry.
constexpr std::size_t MAX_BUFFERED_BODY_BYTES = 64UL * 1024;
// The same limit for routes with large bodies. A body within it can be placed again after a
// refusal, and its caller may send slowly without occupying a slot of an upstream.
constexpr std::size_t MAX_BUFFERED_LARGE_BODY_BYTES = 512UL * 1024;
// Start of a body that enters the fingerprint.
constexpr std::size_t MAX_FINGERPRINT_BODY_BYTES = 64UL * 1024;
constexpr std::size_t MAX_REQUEST_ID_BYTES = 128;
constexpr std::size_t MAX_IDEMPOTENCY_KEY_BYTES = 256;

// Time within which the configuration of a node in touch with the controllers is confirmed.
constexpr base::milliseconds CONFIRMATION_RETRY_AFTER{500};

// Returns true if another configuration may allow the request.
auto deniesByConfiguration(error_kind kind) -> bool
{
    switch (kind) {
    case error_kind::NoRoute:
    case error_kind::MethodNotAllowed:
    case error_kind::KeyMissing:
    case error_kind::KeyInvalid:
    case error_kind::BodyTooLarge:
    case error_kind::IdempotencyKeyRequired:
        return true;
    default:
        return false;
    }
}

auto refuse(error_kind kind, std::string detail = {}) -> std::optional<refusal>
{
    return refusal{{kind, std::move(detail)}, {}};
}

auto isValidRequestId(std::string_view text) -> bool
{
    return !text.empty() && text.size() <= MAX_REQUEST_ID_BYTES
           && std::all_of(text.begin(), text.end(), [](char c) {
                  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
                         || std::string_view("-_.:/+=").find(c) != std::string_view::npos;
              });
}

// Identifies a request that crashes upstreams, and the content of a request with an
// Idempotency-Key. Fields are separated by bytes that they cannot contain. The route is left out,
// because a configuration may rename or split it between two repeats. The digest does not depend
// on how much of the body is buffered, which differs with the memory that is free.
auto computeFingerprint(const upstream::attempt_request &request, const request_head &head)
        -> base::digest256
{
    std::string text = request.organisation.str() + '\n' + head.host + '\n' + request.method + ' '
                       + request.target + '\n';
    const bool isShort = request.bodyComplete && request.body.size() < MAX_FINGERPRINT_BODY_BYTES;
    if (isShort) {
        text += std::to_string(request.body.size());
    } else {
        text += head.framing == body_framing::Length ? std::to_string(head.contentLength)
                                                     : "chunked";
    }
    text.append("\n").append(request.body, 0, MAX_FINGERPRINT_BODY_BYTES);
    return base::sha256(text);
}

auto failWithoutLinks() -> asio::awaitable<upstream::attempt_result>
{
    co_return upstream::attempt_result{base::error{error_kind::PeerUnreachable, {}}, false, {}};
}

auto makeResponseSink(attempt_state &attempt) -> upstream::answer_sink
{
    return {[&attempt](upstream::answer_start start) {
                return attempt.response.start(std::move(start));
            },
            [&attempt](std::string part) {
                return attempt.response.data(std::move(part));
            }};
}

auto runAttemptOnNode(entry_dependencies dependencies, attempt_state &attempt,
                      upstream::body_source source) -> asio::awaitable<upstream::attempt_result>
{
    const auto sink = makeResponseSink(attempt);
    const auto &chosen = attempt.chosen;
    if (chosen.id == dependencies.node) {
        co_return co_await dependencies.local.run(attempt.request, source, sink, attempt.cancel);
    }
    if (dependencies.remote == nullptr) {
        co_return co_await failWithoutLinks();
    }
    const upstream::remote_node target{chosen.id, chosen.address, chosen.incarnation};
    co_return co_await dependencies.remote->run(target, attempt.request, source, sink,
                                                attempt.cancel);
}

auto makeReport(const attempt_state &attempt, const upstream::attempt_result &result)
        -> attempt_report
{
    const auto kind = result.failure ? std::optional(result.failure->kind) : std::nullopt;
    return {attempt.request.service,
            attempt.request.organisation,
            attempt.chosen,
            kind,
            result.load,
            base::clock::now() - attempt.startTime,
            attempt.request.route,
            attempt.request.requestId,
            attempt.response.status(),
            attempt.response.bodyBytes(),
            attempt.request.idempotent,
            attempt.request.body.size()};
}

// Reports the attempt to the hooks at its end, also if it was cancelled.
auto runAndReportAttempt(entry_dependencies dependencies, attempt_state &attempt,
                         upstream::body_source source) -> asio::awaitable<upstream::attempt_result>
{
    auto result = co_await runAttemptOnNode(dependencies, attempt, std::move(source));
    const auto &onAttemptEnd = dependencies.hooks.onAttemptEnd;
    if (onAttemptEnd) {
        onAttemptEnd(makeReport(attempt, result));
    }
    co_return result;
}

auto makeAttemptRunner(const entry_dependencies &dependencies) -> attempt_set::attempt_runner
{
    return [dependencies](attempt_state &attempt, const upstream::body_source &source) {
        return runAndReportAttempt(dependencies, attempt, source);
    };
}

} // namespace

auto requestIdFor(const request_fields &fields, const upstream::wire_profile &wire,
                  base::random_source &random) -> std::string
{
    const auto given = findSingleValue(fields, wire.requestId);
    if (given && isValidRequestId(*given)) {
        return std::string(*given);
    }
    if (wire.needsRequestId) {
        return {};
    }
    std::array<char, 16> digits{};
    const auto end =
            std::to_chars(digits.data(), digits.data() + digits.size(), random.bits(), 16).ptr;
    return {digits.data(), end};
}

entry_context::entry_context(entry_dependencies dependencies, std::uint64_t seed)
    : m_dependencies(dependencies), m_configuration(m_dependencies.configuration),
      m_fleet(m_dependencies.fleet), m_random(seed)
{}

request_handler::request_handler(entry_context &entryContext, caller_input &input,
                                 request_parser &parser, const request_head &head,
                                 response_writer &writer, std::string requestId)
    : m_entryContext(entryContext), m_input(input), m_parser(parser), m_head(head),
      m_writer(writer), m_arrival(base::clock::now()), m_snapshot(entryContext.configuration()),
      m_attempts(input.socket().get_executor(), makeAttemptRunner(entryContext.dependencies()))
{
    m_request.requestId = std::move(requestId);
}

auto request_handler::run() -> asio::awaitable<bool>
{
    const auto refused = co_await process();
    reportRequestEnd(refused);
    if (!refused) {
        co_return m_parser.is_done();
    }
    co_return co_await writeRefusal(*refused);
}

auto request_handler::writeRefusal(const refusal &refused) -> asio::awaitable<bool>
{
    m_entryContext.dependencies().metrics.countRefusal(refused.error.kind);
    if (m_writer.hasStarted() || refused.error.kind == error_kind::CallerGone) {
        // A reset keeps the caller from taking a truncated response for a complete one.
        m_input.abort();
        co_return false;
    }
    // On a reused connection, the unread rest of the body would be parsed as the next request.
    if (!m_parser.is_done()) {
        m_writer.closeAfterResponse();
    }
    const auto written = co_await m_writer.error(refused.error, refused.retryAfter);
    co_return written.has_value();
}

auto request_handler::reportRequestEnd(const optional_refusal &refused) const -> void
{
    const auto &onRequestEnd = m_entryContext.dependencies().hooks.onRequestEnd;
    if (!onRequestEnd) {
        return;
    }
    request_report report;
    report.requestId = m_request.requestId;
    report.organisation = m_request.organisation;
    report.route = m_route == nullptr ? base::route_id() : m_route->id;
    report.service = m_service.id;
    report.version = m_snapshot->version();
    report.idempotent = m_request.idempotent;
    report.attempts = m_totalAttempts;
    report.elapsed = base::clock::now() - m_arrival;
    report.isLate = m_route != nullptr && base::clock::now() > targetTime();
    if (refused) {
        report.failure = refused->error;
        report.retryAfter = refused->retryAfter;
        report.status = m_entryContext.dependencies().wire.statusOf(refused->error.kind);
    } else {
        report.status = m_writer.status();
    }
    onRequestEnd(report);
}

auto request_handler::process() -> asio::awaitable<optional_refusal>
{
    if (auto refused = co_await admit()) {
        co_return refused;
    }
    if (auto refused = co_await readBodyStart()) {
        co_return refused;
    }
    if (m_input.hasEnded()) {
        co_return refuse(error_kind::CallerGone);
    }
    m_input.onDisconnect([this] { m_cancel.request(error_kind::CallerGone); });
    auto refused = co_await forward();
    m_input.onDisconnect(nullptr);
    co_return refused;
}

auto request_handler::admit() -> asio::awaitable<optional_refusal>
{
    for (const auto step :
         {&request_handler::checkPreconditions, &request_handler::matchRoute,
          &request_handler::authenticate, &request_handler::checkIdempotencyKey}) {
        if (auto refused = (this->*step)()) {
            co_return replaceUncertainDenial(std::move(*refused));
        }
    }
    co_return co_await checkRateLimit();
}

auto request_handler::checkPreconditions() -> optional_refusal
{
    if (m_request.requestId.empty()) {
        return refuse(error_kind::BadRequest, "request id header is missing, repeated, longer than "
                                              "128 bytes or has characters other "
                                              "than letters, digits and -_.:/+=");
    }
    if (m_head.isKeyInTarget && m_entryContext.dependencies().wire.refusesKeysInTarget) {
        return refuse(error_kind::KeyInQuery);
    }
    if (m_snapshot->version() == 0) {
        return refuse(error_kind::NoConfiguration);
    }
    const auto outdatedUse = m_entryContext.dependencies().hooks.outdatedUse;
    if (outdatedUse == outdated_configuration_use::None && !isConfigurationCurrent()) {
        return refuse(error_kind::ConfigNotCurrent);
    }
    return {};
}

auto request_handler::isConfigurationCurrent() const -> bool
{
    const auto &isCurrent = m_entryContext.dependencies().hooks.isConfigurationCurrent;
    return !isCurrent || isCurrent();
}

auto request_handler::replaceUncertainDenial(refusal refused) const -> refusal
{
    if (!deniesByConfiguration(refused.error.kind) || isConfigurationCurrent()) {
        return refused;
    }
    return {{error_kind::ConfigNotCurrent, std::string(base::answerFor(refused.error.kind).reason)},
            CONFIRMATION_RETRY_AFTER};
}

auto request_handler::matchRoute() -> optional_refusal
{
    const auto match = m_snapshot->match(m_head.host, m_head.path, m_head.method);
    if (match.found == nullptr) {
        return refuse(match.methodMismatch ? error_kind::MethodNotAllowed : error_kind::NoRoute);
    }
    m_route = match.found;
    if (m_head.contentLength > m_route->maxBodyBytes) {
        return refuse(error_kind::BodyTooLarge);
    }
    const auto &chooseService = m_entryContext.dependencies().hooks.chooseService;
    const auto serviceId = chooseService ? chooseService(*m_route) : m_route->service;
    const auto *service = m_snapshot->serviceById(serviceId);
    if (service == nullptr) {
        return refuse(error_kind::NoUpstream);
    }
    m_service = *service;
    const auto &canFinishBy = m_entryContext.dependencies().hooks.canFinishBy;
    if (canFinishBy && !canFinishBy(deadline())) {
        return refuse(error_kind::ShuttingDown);
    }
    return {};
}

auto request_handler::authenticate() -> optional_refusal
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

auto request_handler::checkIdempotencyKey() -> optional_refusal
{
    if (m_route->idempotent) {
        return {};
    }
    const auto key = findSingleValue(m_parser.get().base(), "Idempotency-Key");
    if (key && key->size() > MAX_IDEMPOTENCY_KEY_BYTES) {
        return refuse(error_kind::BadRequest, "Idempotency-Key is longer than 256 bytes");
    }
    if (key && !key->empty()) {
        m_idempotency.emplace(m_entryContext.dependencies().hooks.idempotency, std::string(*key),
                              m_route->recordLife);
        return {};
    }
    if (m_route->idempotencyKey == config::idempotency_key_use::Required) {
        return refuse(error_kind::IdempotencyKeyRequired);
    }
    return {};
}

auto request_handler::checkRateLimit() -> asio::awaitable<optional_refusal>
{
    const auto &takeRateToken = m_entryContext.dependencies().hooks.takeRateToken;
    if (!takeRateToken || m_request.organisation.empty()) {
        co_return std::nullopt;
    }
    const auto decision = co_await takeRateToken(m_request.organisation);
    if (decision.refusal) {
        co_return refusal{{*decision.refusal, decision.detail}, decision.retryAfter};
    }
    co_return std::nullopt;
}

auto request_handler::deadline() const -> base::time_point
{
    auto timeout = m_route->deadline;
    if (const auto text = findSingleValue(m_parser.get().base(),
                                          m_entryContext.dependencies().wire.deadline)) {
        std::int64_t callerTimeoutMs = 0;
        const auto [end, error] =
                std::from_chars(text->data(), text->data() + text->size(), callerTimeoutMs);
        if (error == std::errc{} && end == text->data() + text->size() && callerTimeoutMs >= 0) {
            timeout = std::min(timeout, base::milliseconds(callerTimeoutMs));
        }
    }
    return m_arrival + timeout;
}

// A caller that is about to send a large body, or waits for permission to send it, is refused
// before that if no upstream can take the request.
auto request_handler::checkPlaceable() -> optional_refusal
{
    const auto &checkPlaceable = m_entryContext.dependencies().hooks.checkPlaceable;
    const bool hasBody = m_head.framing != body_framing::None;
    if (!checkPlaceable || !hasBody || !(m_route->hasLargeBodies || m_head.expectsContinue)) {
        return {};
    }
    auto placeable = checkPlaceable(makeSelectionRequest());
    if (placeable) {
        return {};
    }
    return makeFinalRefusal(std::move(placeable.error()));
}

// Returns the number of bytes to buffer before the request is placed.
auto request_handler::reserveBodyBuffer() -> std::size_t
{
    if (!m_route->hasLargeBodies || m_head.framing == body_framing::None) {
        return MAX_BUFFERED_BODY_BYTES;
    }
    const auto wantedBytes =
            m_head.framing == body_framing::Length
                    ? std::min<std::uint64_t>(m_head.contentLength, MAX_BUFFERED_LARGE_BODY_BYTES)
                    : MAX_BUFFERED_LARGE_BODY_BYTES;
    m_bodyBuffer.emplace(m_entryContext.largeBodyBuffers(), wantedBytes);
    return std::max(m_bodyBuffer->bytes(), MAX_BUFFERED_BODY_BYTES);
}

auto request_handler::readBodyStart() -> asio::awaitable<optional_refusal>
{
    m_request.deadline = deadline();
    m_request.service = m_service.id;
    m_request.route = m_route->id;
    m_request.idempotent = m_route->idempotent;
    if (m_head.framing == body_framing::Length) {
        m_request.contentLength = m_head.contentLength;
    }
    if (auto refused = checkPlaceable()) {
        co_return refused;
    }
    m_body.emplace(m_input, m_parser, m_route->maxBodyBytes, m_request.deadline);
    if (m_head.expectsContinue && m_input.buffer().size() == 0) {
        if (const auto sent = co_await m_writer.sendContinue(); !sent) {
            co_return refusal{sent.error(), {}};
        }
    }
    auto body = co_await m_body->readAtLeast(reserveBodyBuffer());
    if (!body) {
        co_return refusal{body.error(), {}};
    }
    buildAttemptRequest(std::move(*body));
    co_return std::nullopt;
}

auto request_handler::buildAttemptRequest(std::string body) -> void
{
    boost::system::error_code ignored;
    const auto callerAddress = m_input.socket().remote_endpoint(ignored).address().to_string();
    m_request.configVersion = m_snapshot->version();
    m_request.method = m_head.method;
    m_request.target = m_head.target;
    const auto &wire = m_entryContext.dependencies().wire;
    m_request.headers = makeUpstreamHeaders(m_parser.get().base(), m_head, wire, callerAddress);
    if (!wire.organisation.empty() && !m_request.organisation.empty()) {
        upstream::appendHeader(m_request.headers, wire.organisation, m_request.organisation.str());
    }
    const auto &callerService = m_entryContext.dependencies().hooks.callerService;
    if (!wire.callerService.empty() && callerService) {
        upstream::appendHeader(m_request.headers, wire.callerService, callerService().str());
    }
    m_request.bodyComplete = m_body->complete();
    if (m_request.bodyComplete) {
        m_request.contentLength = body.size();
    }
    m_request.body = std::move(body);
    m_request.fingerprint = computeFingerprint(m_request, m_head);
    m_request.answerBy = targetTime();
    m_request.priority = priority();
}

auto request_handler::priority() const -> std::uint32_t
{
    return config::priorityRank(m_snapshot->organisationById(m_request.organisation), *m_route);
}

auto request_handler::forward() -> asio::awaitable<optional_refusal>
{
    auto refused = co_await runAttempts();
    if (m_idempotency && refused && !m_mayHaveRun) {
        m_idempotency->release();
    }
    co_return refused;
}

auto request_handler::bodySource() -> upstream::body_source
{
    if (m_request.bodyComplete) {
        return {};
    }
    return {[this] {
                m_isBodyConsumed = true;
                return readRemainingBody();
            },
            [this] {
                m_input.interruptWait();
            }};
}

// Once the executing node has the start of the body, it may have started the request. A later
// failure to read the body must therefore not be reported as an error kind whose outcome is "not
// run".
auto request_handler::readRemainingBody() -> asio::awaitable<base::result<std::string>>
{
    auto part = co_await m_body->read();
    if (!part && base::isNotRun(part.error().kind)) {
        co_return base::fail(error_kind::OutcomeUnknown,
                             std::string(base::answerFor(part.error().kind).reason));
    }
    co_return part;
}

} // namespace hawthornpick::caller
