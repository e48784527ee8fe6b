#include "control/acceptancestate.h"

#include "base/thriftcodec.h"
#include "transfer/delta.h"

#include <algorithm>
#include <array>

namespace hawthornpick::control {

namespace {

auto toNumber(std::int64_t value) -> base::config_version
{
    return static_cast<base::config_version>(value);
}

auto digestOrZero(const std::string &bytes) -> base::digest256
{
    return base::digestFromBytes(bytes).value_or(base::digest256{});
}

auto fromWireRecord(const wire::change &record) -> change_record
{
    return {record.id,
            {toNumber(record.version), digestOrZero(record.digest)},
            static_cast<change_outcome>(record.outcome),
            static_cast<reject_reason>(record.reason),
            {toNumber(record.winner), digestOrZero(record.winner_digest)}};
}

} // namespace

auto toWireRecord(const change_record &record) -> wire::change
{
    wire::change out;
    out.id = record.id;
    out.version = static_cast<std::int64_t>(record.version.version);
    out.digest = base::toBytes(record.version.digest);
    out.outcome = static_cast<std::int8_t>(record.outcome);
    out.reason = static_cast<std::int8_t>(record.reason);
    out.winner = static_cast<std::int64_t>(record.winner.version);
    out.winner_digest = base::toBytes(record.winner.digest);
    return out;
}

auto reasonName(reject_reason reason) -> std::string_view
{
    constexpr std::array<std::string_view, 7> NAMES{"none",
                                                    "base_version_outdated",
                                                    "change_in_progress",
                                                    "content_invalid",
                                                    "change_id_reused",
                                                    "witnesses_unreachable",
                                                    "member_invalid"};
    return NAMES.at(static_cast<std::size_t>(reason));
}

auto change_record::answer() const -> change_answer
{
    if (outcome == change_outcome::InForce) {
        return in_force{version};
    }
    if (outcome == change_outcome::Rejected) {
        return rejected{reason, std::string(reasonName(reason)), winner};
    }
    return unknown_yet{id};
}

auto acceptance_state::apply(const wire::command &command) -> void
{
    switch (static_cast<command_kind>(command.kind)) {
    case command_kind::Part:
        addPart(command);
        return;
    case command_kind::Propose:
        propose(command);
        return;
    case command_kind::Abort:
        abort(toNumber(command.version));
        return;
    case command_kind::Accept:
        accept(toNumber(command.version));
        return;
    case command_kind::InForce:
        markInForce(toNumber(command.version));
        return;
    case command_kind::Members:
        completeReplacement(command);
        return;
    case command_kind::Noop:
        return;
    }
}

auto acceptance_state::completeReplacement(const wire::command &command) -> void
{
    if (!command.change_id.empty() && !m_changes.contains(command.change_id)) {
        addRecord(
                {command.change_id, m_accepted, change_outcome::InForce, reject_reason::None, {}});
    }
}

auto acceptance_state::find(const std::string &changeId) const -> const change_record *
{
    const auto found = m_changes.find(changeId);
    return found == m_changes.end() ? nullptr : &found->second;
}

auto acceptance_state::addPart(const wire::command &command) -> void
{
    if (command.part == 0) {
        m_partsChange = command.change_id;
        m_parts.clear();
    }
    const bool continues = m_partsChange == command.change_id
                           && static_cast<std::uint64_t>(command.part) == m_parts.size();
    if (continues) {
        m_parts += command.bytes;
    }
}

auto acceptance_state::contentOf(const wire::command &command) const -> std::optional<std::string>
{
    const auto bytes = (m_partsChange == command.change_id ? m_parts : "") + command.bytes;
    if (!command.is_delta) {
        return bytes;
    }
    return m_acceptedContent ? transfer::applyDelta(*m_acceptedContent, bytes) : std::nullopt;
}

auto acceptance_state::propose(const wire::command &command) -> void
{
    if (m_changes.contains(command.change_id)) {
        return;
    }
    const auto digest = digestOrZero(command.digest);
    if (toNumber(command.base) != m_accepted.version) {
        reject(command, digest, reject_reason::BaseVersionOutdated);
        return;
    }
    if (m_pending) {
        reject(command, digest, reject_reason::ChangeInProgress);
        return;
    }
    auto content = contentOf(command);
    m_partsChange.clear();
    m_parts.clear();
    if (!content || base::sha256(*content) != digest) {
        reject(command, digest, reject_reason::ContentInvalid);
        return;
    }
    m_pending = version_id{++m_assigned, digest};
    m_pendingChange = command.change_id;
    m_pendingContent = std::make_shared<const std::string>(std::move(*content));
    addRecord({command.change_id, *m_pending, change_outcome::Pending, reject_reason::None, {}});
}

auto acceptance_state::reject(const wire::command &command, const base::digest256 &digest,
                              reject_reason reason) -> void
{
    addRecord({command.change_id, {0, digest}, change_outcome::Rejected, reason, m_accepted});
}

auto acceptance_state::addRecord(change_record record) -> void
{
    m_changeOrder.push_back(record.id);
    m_changes[record.id] = std::move(record);
    if (m_changeOrder.size() > MAX_CHANGES) {
        m_changes.erase(m_changeOrder.front());
        m_changeOrder.pop_front();
    }
}

auto acceptance_state::accept(base::config_version version) -> void
{
    if (!m_pending || m_pending->version != version) {
        return;
    }
    m_accepted = *m_pending;
    m_acceptedContent = std::move(m_pendingContent);
    m_pending.reset();
    m_changes[m_pendingChange].outcome = change_outcome::Accepted;
    m_history.push_back({m_accepted, m_pendingChange});
    if (m_history.size() > MAX_HISTORY) {
        m_history.pop_front();
    }
}

auto acceptance_state::abort(base::config_version version) -> void
{
    if (!m_pending || m_pending->version != version) {
        return;
    }
    auto &record = m_changes[m_pendingChange];
    record.outcome = change_outcome::Rejected;
    record.reason = reject_reason::WitnessesUnreachable;
    record.winner = m_accepted;
    m_pending.reset();
    m_pendingContent.reset();
}

auto acceptance_state::markInForce(base::config_version version) -> void
{
    if (version <= m_inForce || version > m_accepted.version) {
        return;
    }
    for (const auto &item : m_history) {
        const auto found = m_changes.find(item.changeId);
        const bool isNew = item.version.version > m_inForce && item.version.version <= version;
        if (isNew && found != m_changes.end()) {
            found->second.outcome = change_outcome::InForce;
        }
    }
    m_inForce = version;
}

auto acceptance_state::encode() const -> std::string
{
    wire::state out;
    out.accepted = static_cast<std::int64_t>(m_accepted.version);
    out.accepted_digest = base::toBytes(m_accepted.digest);
    out.assigned = static_cast<std::int64_t>(m_assigned);
    out.in_force = static_cast<std::int64_t>(m_inForce);
    if (m_pending) {
        out.pending = static_cast<std::int64_t>(m_pending->version);
        out.pending_digest = base::toBytes(m_pending->digest);
        out.pending_change = m_pendingChange;
        out.pending_content = *m_pendingContent;
    }
    out.accepted_content = m_acceptedContent ? *m_acceptedContent : "";
    out.parts_change = m_partsChange;
    out.parts = m_parts;
    for (const auto &id : m_changeOrder) {
        out.changes.push_back(toWireRecord(m_changes.at(id)));
    }
    for (const auto &item : m_history) {
        wire::accepted_version version;
        version.version = static_cast<std::int64_t>(item.version.version);
        version.digest = base::toBytes(item.version.digest);
        version.change_id = item.changeId;
        out.history.push_back(std::move(version));
    }
    return base::encodeThrift(out);
}

auto acceptance_state::decode(std::string_view bytes) -> std::optional<acceptance_state>
{
    const auto in = base::decodeThrift<wire::state>(bytes);
    if (!in) {
        return std::nullopt;
    }
    acceptance_state out;
    out.m_accepted = {toNumber(in->accepted), digestOrZero(in->accepted_digest)};
    out.m_assigned = toNumber(in->assigned);
    out.m_inForce = toNumber(in->in_force);
    if (in->accepted != 0) {
        out.m_acceptedContent = std::make_shared<const std::string>(in->accepted_content);
    }
    if (in->pending != 0) {
        out.m_pending = version_id{toNumber(in->pending), digestOrZero(in->pending_digest)};
        out.m_pendingChange = in->pending_change;
        out.m_pendingContent = std::make_shared<const std::string>(in->pending_content);
    }
    out.m_partsChange = in->parts_change;
    out.m_parts = in->parts;
    for (const auto &item : in->changes) {
        out.addRecord(fromWireRecord(item));
    }
    for (const auto &item : in->history) {
        out.m_history.push_back(
                {{toNumber(item.version), digestOrZero(item.digest)}, item.change_id});
    }
    return out;
}

} // namespace hawthornpick::control
