#include "quorum/messages.h"

#include "base/thriftcodec.h"
#include "quorum/generated/quorumwire_types.h"

namespace hawthornpick::quorum {

namespace {

//! Kind of a `group_answer` on the wire. The numbers are part of the peer protocol.
enum class answer_kind : std::int8_t {
    Accepted = 0,
    Conflict = 1,
    Invalid = 2,
    Unavailable = 3,
    Document = 4,
    OrderAccepted = 5,
    OrderOutdated = 6,
    Evacuations = 7,
};

auto toWire(const member &item) -> wire::member
{
    wire::member out;
    out.node = item.node.str();
    out.disk = static_cast<std::int64_t>(item.diskId);
    return out;
}

auto fromWire(const wire::member &item) -> member
{
    return {base::node_id(item.node), static_cast<std::uint64_t>(item.disk)};
}

auto toWire(const base::evacuation_list &list) -> wire::evacuation_list
{
    wire::evacuation_list out;
    out.revision = static_cast<std::int64_t>(list.revision);
    for (const auto &item : list.items) {
        wire::evacuation entry;
        entry.failure_domain = item.failureDomain.str();
        entry.since = static_cast<std::int64_t>(item.since);
        out.items.push_back(std::move(entry));
    }
    return out;
}

auto fromWire(const wire::evacuation_list &in) -> base::evacuation_list
{
    base::evacuation_list list;
    list.revision = static_cast<std::uint64_t>(in.revision);
    for (const auto &item : in.items) {
        list.items.push_back({base::failure_domain_id(item.failure_domain),
                              static_cast<std::uint64_t>(item.since)});
    }
    return list;
}

auto toWire(const evacuation_order &order) -> wire::evacuation_order
{
    wire::evacuation_order out;
    out.id = static_cast<std::int64_t>(order.id);
    out.base_revision = static_cast<std::int64_t>(order.baseRevision);
    out.failure_domain = order.failureDomain.str();
    out.starts = order.starts;
    out.since = static_cast<std::int64_t>(order.since);
    return out;
}

auto fromWire(const wire::evacuation_order &in) -> evacuation_order
{
    return {static_cast<std::uint64_t>(in.id), static_cast<std::uint64_t>(in.base_revision),
            base::failure_domain_id(in.failure_domain), in.starts,
            static_cast<std::uint64_t>(in.since)};
}

auto toWire(const group_value &value) -> wire::group_value
{
    wire::group_value out;
    out.term = static_cast<std::int64_t>(value.position.term);
    out.index = static_cast<std::int64_t>(value.position.index);
    out.version = static_cast<std::int64_t>(value.version);
    out.content = value.content;
    for (const auto &item : value.changes) {
        wire::accepted_change change;
        change.version = static_cast<std::int64_t>(item.version);
        change.digest = item.digest;
        out.changes.push_back(std::move(change));
    }
    for (const auto &item : value.voters) {
        out.voters.push_back(toWire(item));
    }
    if (value.evacuations.revision > 0) {
        out.__set_evacuations(toWire(value.evacuations));
        std::vector<std::int64_t> orders;
        for (const auto id : value.evacuationOrders) {
            orders.push_back(static_cast<std::int64_t>(id));
        }
        out.__set_evacuation_orders(orders);
    }
    return out;
}

auto fromWire(const wire::group_value &in) -> value_pointer
{
    group_value value;
    value.position = {static_cast<std::uint64_t>(in.term), static_cast<std::uint64_t>(in.index)};
    value.version = static_cast<base::config_version>(in.version);
    value.content = in.content;
    for (const auto &item : in.changes) {
        value.changes.push_back({static_cast<base::config_version>(item.version), item.digest});
    }
    for (const auto &item : in.voters) {
        value.voters.push_back(fromWire(item));
    }
    value.evacuations = fromWire(in.evacuations);
    for (const auto id : in.evacuation_orders) {
        value.evacuationOrders.push_back(static_cast<std::uint64_t>(id));
    }
    return std::make_shared<const group_value>(std::move(value));
}

struct message_writer
{
    wire::message &out;

    auto operator()(const vote_request &item) const -> void
    {
        wire::vote_request part;
        part.term = static_cast<std::int64_t>(item.term);
        part.candidate = toWire(item.candidate);
        part.value_term = static_cast<std::int64_t>(item.newestPosition.term);
        part.value_index = static_cast<std::int64_t>(item.newestPosition.index);
        part.trial = item.isPreVote;
        out.__set_ask_vote(part);
    }
    auto operator()(const vote_answer &item) const -> void
    {
        wire::vote_answer part;
        part.term = static_cast<std::int64_t>(item.term);
        part.voter = toWire(item.voter);
        part.granted = item.isGranted;
        part.trial = item.isPreVote;
        out.__set_vote(part);
    }
    auto operator()(const append_request &item) const -> void
    {
        wire::append_request part;
        part.term = static_cast<std::int64_t>(item.term);
        part.leader = toWire(item.leader);
        part.round = item.round;
        part.committed_term = static_cast<std::int64_t>(item.committedPosition.term);
        part.committed_index = static_cast<std::int64_t>(item.committedPosition.index);
        if (item.value) {
            part.__set_value(toWire(*item.value));
        }
        out.__set_append(part);
    }
    auto operator()(const append_answer &item) const -> void
    {
        wire::append_answer part;
        part.term = static_cast<std::int64_t>(item.term);
        part.voter = toWire(item.voter);
        part.round = item.round;
        part.value_term = static_cast<std::int64_t>(item.durablePosition.term);
        part.value_index = static_cast<std::int64_t>(item.durablePosition.index);
        out.__set_appended(part);
    }
    auto operator()(const join_request &item) const -> void
    {
        wire::join_request part;
        part.newcomer = toWire(item.joiningMember);
        out.__set_join(part);
    }
    auto operator()(const operator_request &item) const -> void
    {
        wire::operator_request part;
        part.number = static_cast<std::int64_t>(item.requestId);
        part.kind = static_cast<std::int8_t>(item.kind);
        part.has_base = item.change.baseVersion.has_value();
        part.base_version = static_cast<std::int64_t>(item.change.baseVersion.value_or(0));
        part.version = static_cast<std::int64_t>(item.change.version);
        part.digest = item.change.digest;
        part.format = static_cast<std::int8_t>(item.change.format);
        part.body = item.change.body;
        if (item.kind == operator_request_kind::EvacuationOrder) {
            part.__set_evacuation(toWire(item.order));
        }
        out.__set_ask(part);
    }
    auto operator()(const operator_answer &item) const -> void;
};

struct answer_writer
{
    wire::operator_answer &out;

    auto operator()(const change_accepted &item) const -> void
    {
        set(answer_kind::Accepted, item.version);
    }
    auto operator()(const change_conflict &item) const -> void
    {
        set(answer_kind::Conflict, item.currentVersion);
    }
    auto operator()(const change_invalid &item) const -> void
    {
        set(answer_kind::Invalid, 0);
        out.detail = item.detail;
    }
    auto operator()(const group_unavailable &item) const -> void
    {
        set(answer_kind::Unavailable, 0);
        out.detail = item.detail;
    }
    auto operator()(const current_document &item) const -> void
    {
        set(answer_kind::Document, item.version);
        out.content = item.content;
    }
    auto operator()(const order_accepted & /*item*/) const -> void
    {
        set(answer_kind::OrderAccepted, 0);
    }
    auto operator()(const order_outdated & /*item*/) const -> void
    {
        set(answer_kind::OrderOutdated, 0);
    }
    auto operator()(const current_evacuations &item) const -> void
    {
        set(answer_kind::Evacuations, 0);
        out.__set_evacuations(toWire(item.list));
    }

private:
    auto set(answer_kind kind, base::config_version version) const -> void
    {
        out.kind = static_cast<std::int8_t>(kind);
        out.version = static_cast<std::int64_t>(version);
    }
};

auto message_writer::operator()(const operator_answer &item) const -> void
{
    wire::operator_answer part;
    part.number = static_cast<std::int64_t>(item.requestId);
    std::visit(answer_writer{part}, item.answer);
    out.__set_answer(part);
}

auto decodeAnswer(wire::operator_answer &in) -> group_answer
{
    const auto version = static_cast<base::config_version>(in.version);
    switch (static_cast<answer_kind>(in.kind)) {
    case answer_kind::Accepted:
        return change_accepted{version};
    case answer_kind::Conflict:
        return change_conflict{version};
    case answer_kind::Invalid:
        return change_invalid{std::move(in.detail)};
    case answer_kind::Document:
        return current_document{version, std::move(in.content)};
    case answer_kind::OrderAccepted:
        return order_accepted{};
    case answer_kind::OrderOutdated:
        return order_outdated{};
    case answer_kind::Evacuations:
        return current_evacuations{fromWire(in.evacuations)};
    case answer_kind::Unavailable:
        break;
    }
    return group_unavailable{std::move(in.detail)};
}

auto decodeRequest(wire::operator_request &in) -> operator_request
{
    operator_request out;
    out.requestId = static_cast<std::uint64_t>(in.number);
    out.kind = static_cast<operator_request_kind>(in.kind);
    if (in.has_base) {
        out.change.baseVersion = static_cast<base::config_version>(in.base_version);
    }
    out.change.version = static_cast<base::config_version>(in.version);
    out.change.format = static_cast<change_format>(in.format);
    out.change.body = std::move(in.body);
    out.change.digest = std::move(in.digest);
    out.order = fromWire(in.evacuation);
    return out;
}

auto decodePosition(std::int64_t term, std::int64_t index) -> value_position
{
    return {static_cast<std::uint64_t>(term), static_cast<std::uint64_t>(index)};
}

auto decodeAppendRequest(const wire::append_request &in) -> append_request
{
    append_request out{static_cast<std::uint64_t>(in.term), fromWire(in.leader), in.round,
                       decodePosition(in.committed_term, in.committed_index), nullptr};
    if (in.__isset.value) {
        out.value = fromWire(in.value);
    }
    return out;
}

} // namespace

auto encodeMessage(const message &content) -> std::string
{
    wire::message out;
    std::visit(message_writer{out}, content);
    return base::encodeThrift(out);
}

auto decodeMessage(std::string_view bytes) -> std::optional<message>
{
    auto in = base::decodeThrift<wire::message>(bytes);
    if (!in) {
        return std::nullopt;
    }
    if (in->__isset.ask_vote) {
        const auto &part = in->ask_vote;
        return vote_request{static_cast<std::uint64_t>(part.term), fromWire(part.candidate),
                            decodePosition(part.value_term, part.value_index), part.trial};
    }
    if (in->__isset.vote) {
        const auto &part = in->vote;
        return vote_answer{static_cast<std::uint64_t>(part.term), fromWire(part.voter),
                           part.granted, part.trial};
    }
    if (in->__isset.append) {
        return decodeAppendRequest(in->append);
    }
    if (in->__isset.appended) {
        const auto &part = in->appended;
        return append_answer{static_cast<std::uint64_t>(part.term), fromWire(part.voter),
                             part.round, decodePosition(part.value_term, part.value_index)};
    }
    if (in->__isset.join) {
        return join_request{fromWire(in->join.newcomer)};
    }
    if (in->__isset.ask) {
        return decodeRequest(in->ask);
    }
    if (in->__isset.answer) {
        return operator_answer{static_cast<std::uint64_t>(in->answer.number),
                               decodeAnswer(in->answer)};
    }
    return std::nullopt;
}

auto encodeValue(const group_value &value) -> std::string
{
    return base::encodeThrift(toWire(value));
}

auto decodeValue(std::string_view bytes) -> value_pointer
{
    const auto in = base::decodeThrift<wire::group_value>(bytes);
    return in ? fromWire(*in) : nullptr;
}

} // namespace hawthornpick::quorum
