#include "upstream/wirecodec.h"

#include "base/thriftcodec.h"
#include "upstream/generated/requestwire_types.h"

#include <cmath>

namespace hawthornpick::upstream {

namespace {

constexpr double PERCENT = 100.0;
//! Wire value of an unlimited time.
constexpr std::int64_t UNLIMITED_MS = -1;

auto toRemainingMs(base::time_point limit, base::time_point now) -> std::int64_t
{
    if (limit == base::time_point::max()) {
        return UNLIMITED_MS;
    }
    return std::max<std::int64_t>(base::toMilliseconds(limit - now), 0);
}

auto toWire(const policy::service_load &load) -> wire::load_report
{
    wire::load_report out;
    out.usable_slots = static_cast<std::int32_t>(load.usableSlots);
    out.busy_slots = static_cast<std::int32_t>(load.busySlots);
    out.waiting = static_cast<std::int32_t>(load.waiting);
    out.mean_service_us =
            std::chrono::duration_cast<std::chrono::microseconds>(load.meanServiceTime).count();
    out.acceptance_percent = static_cast<std::int32_t>(std::lround(load.acceptance * PERCENT));
    out.health_percent = static_cast<std::int32_t>(std::lround(load.health * PERCENT));
    if (load.lowestRank != policy::service_load{}.lowestRank) {
        out.__set_lowest_rank(static_cast<std::int32_t>(load.lowestRank));
    }
    if (load.startRate >= 0.0) {
        out.__set_start_rate(load.startRate);
    }
    return out;
}

auto fromWire(const wire::load_report &load) -> policy::service_load
{
    policy::service_load out{static_cast<std::uint32_t>(load.usable_slots),
                             static_cast<std::uint32_t>(load.busy_slots),
                             static_cast<std::uint32_t>(load.waiting),
                             std::chrono::microseconds(load.mean_service_us),
                             static_cast<double>(load.health_percent) / PERCENT,
                             static_cast<double>(load.acceptance_percent) / PERCENT};
    if (load.__isset.lowest_rank) {
        out.lowestRank = static_cast<std::uint32_t>(load.lowest_rank);
    }
    if (load.__isset.start_rate) {
        out.startRate = load.start_rate;
    }
    return out;
}

auto toWire(const std::vector<upstream_statement> &statements)
        -> std::vector<wire::upstream_statement>
{
    std::vector<wire::upstream_statement> out;
    for (const auto &item : statements) {
        auto &added = out.emplace_back();
        added.upstream = item.upstream.str();
        added.incarnation = static_cast<std::int64_t>(item.incarnation);
        added.leaving = item.isLeaving;
        if (item.requestLimit) {
            added.__set_request_limit(*item.requestLimit);
        }
    }
    return out;
}

auto fromWire(const std::vector<wire::upstream_statement> &statements)
        -> std::vector<upstream_statement>
{
    std::vector<upstream_statement> out;
    for (const auto &item : statements) {
        out.push_back(
                {base::upstream_id(item.upstream), static_cast<base::incarnation>(item.incarnation),
                 item.__isset.request_limit ? std::optional(item.request_limit) : std::nullopt,
                 item.leaving});
    }
    return out;
}

auto errorFromWire(std::int8_t number, std::string detail) -> base::error
{
    const auto kind = base::errorKindFromNumber(static_cast<std::uint8_t>(number));
    // With an error kind that only a newer version of the peer defines, it is unknown whether the
    // request was run.
    return {kind.value_or(base::error_kind::OutcomeUnknown), std::move(detail)};
}

} // namespace

auto encodeRequest(const attempt_request &request, base::time_point now) -> std::string
{
    wire::request_head out;
    out.attempt_high = static_cast<std::int64_t>(request.attempt.high);
    out.attempt_low = static_cast<std::int64_t>(request.attempt.low);
    out.node_incarnation = static_cast<std::int64_t>(request.nodeIncarnation);
    out.config_version = static_cast<std::int64_t>(request.configVersion);
    out.organisation = request.organisation.str();
    out.key = request.key.str();
    out.service_name = request.service.str();
    out.route = request.route.str();
    out.idempotent = request.idempotent;
    out.remaining_ms = base::toMilliseconds(request.deadline - now);
    out.request_id = request.requestId;
    out.fingerprint = base::toBytes(request.fingerprint);
    out.method = request.method;
    out.target = request.target;
    out.headers = request.headers;
    if (request.contentLength) {
        out.__set_content_length(static_cast<std::int64_t>(*request.contentLength));
    }
    out.body = request.body;
    out.body_complete = request.bodyComplete;
    out.target_ms = toRemainingMs(request.answerBy, now);
    out.priority = static_cast<std::int32_t>(request.priority);
    out.max_wait_ms = request.maxWait == base::duration::max()
                              ? UNLIMITED_MS
                              : base::toMilliseconds(request.maxWait);
    out.min_health_percent = static_cast<std::int32_t>(request.minHealth * PERCENT);
    if (!request.statements.empty()) {
        out.__set_statements(toWire(request.statements));
    }
    return base::encodeThrift(out);
}

auto decodeRequest(std::string_view bytes, base::time_point now) -> std::optional<attempt_request>
{
    auto in = base::decodeThrift<wire::request_head>(bytes);
    if (!in) {
        return std::nullopt;
    }
    const auto fingerprint = base::digestFromBytes(in->fingerprint);
    if (!fingerprint) {
        return std::nullopt;
    }
    attempt_request out;
    out.attempt = {static_cast<std::uint64_t>(in->attempt_high),
                   static_cast<std::uint64_t>(in->attempt_low)};
    out.nodeIncarnation = static_cast<base::incarnation>(in->node_incarnation);
    out.configVersion = static_cast<base::config_version>(in->config_version);
    out.organisation = base::organisation_id(std::move(in->organisation));
    out.key = base::key_id(std::move(in->key));
    out.service = base::service_id(std::move(in->service_name));
    out.route = base::route_id(std::move(in->route));
    out.idempotent = in->idempotent;
    out.deadline = now + base::milliseconds(in->remaining_ms);
    out.requestId = std::move(in->request_id);
    out.fingerprint = *fingerprint;
    out.method = std::move(in->method);
    out.target = std::move(in->target);
    out.headers = std::move(in->headers);
    if (in->__isset.content_length) {
        out.contentLength = static_cast<std::uint64_t>(in->content_length);
    }
    out.body = std::move(in->body);
    out.bodyComplete = in->body_complete;
    out.minHealth = static_cast<double>(in->min_health_percent) / PERCENT;
    out.answerBy = in->target_ms == UNLIMITED_MS ? base::time_point::max()
                                                 : now + base::milliseconds(in->target_ms);
    out.priority = static_cast<std::uint32_t>(in->priority);
    out.maxWait = in->max_wait_ms == UNLIMITED_MS ? base::duration::max()
                                                  : base::milliseconds(in->max_wait_ms);
    out.statements = fromWire(in->statements);
    return out;
}

auto encodeOpening(const answer_opening &opening) -> std::string
{
    wire::answer_head out;
    if (opening.refusal) {
        out.__set_refusal(static_cast<std::int8_t>(opening.refusal->kind));
        out.detail = opening.refusal->detail;
    }
    out.status = static_cast<std::int32_t>(opening.start.status);
    out.headers = opening.start.headers;
    if (opening.start.contentLength) {
        out.__set_content_length(static_cast<std::int64_t>(*opening.start.contentLength));
    }
    out.body = opening.start.body;
    out.body_complete = opening.start.bodyComplete;
    if (opening.load) {
        out.__set_load(toWire(*opening.load));
    }
    if (!opening.said.statements.empty()) {
        out.__set_statements(toWire(opening.said.statements));
    }
    if (!opening.said.isComplete) {
        out.__set_statements_incomplete(true);
    }
    return base::encodeThrift(out);
}

auto decodeOpening(std::string_view bytes) -> std::optional<answer_opening>
{
    auto in = base::decodeThrift<wire::answer_head>(bytes);
    if (!in) {
        return std::nullopt;
    }
    answer_opening out;
    if (in->__isset.refusal) {
        out.refusal = errorFromWire(in->refusal, std::move(in->detail));
    }
    out.start.status = static_cast<unsigned>(in->status);
    out.start.headers = std::move(in->headers);
    if (in->__isset.content_length) {
        out.start.contentLength = static_cast<std::uint64_t>(in->content_length);
    }
    out.start.body = std::move(in->body);
    out.start.bodyComplete = in->body_complete;
    if (in->__isset.load) {
        out.load = fromWire(in->load);
    }
    out.said = {fromWire(in->statements), !in->__isset.statements_incomplete};
    return out;
}

auto encodeClosing(const answer_closing &closing) -> std::string
{
    wire::answer_end out;
    if (closing.failure) {
        out.__set_failure(static_cast<std::int8_t>(closing.failure->kind));
        out.detail = closing.failure->detail;
    }
    out.load = toWire(closing.load);
    return base::encodeThrift(out);
}

auto decodeClosing(std::string_view bytes) -> std::optional<answer_closing>
{
    auto in = base::decodeThrift<wire::answer_end>(bytes);
    if (!in) {
        return std::nullopt;
    }
    answer_closing out;
    if (in->__isset.failure) {
        out.failure = errorFromWire(in->failure, std::move(in->detail));
    }
    out.load = fromWire(in->load);
    return out;
}

} // namespace hawthornpick::upstream
