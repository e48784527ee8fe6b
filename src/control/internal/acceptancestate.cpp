#include "control/acceptancestate.h"

#include "base/thriftcodec.h"
#include "transfer/delta.h"

#include <algorithm>
#include <array>

namespace hawthornpick::control {

namespace {

auto toConfigVersion(std::int64_t value) -> base::config_version
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
            {toConfigVersion(record.version), digestOrZero(record.digest)},
            static_cast<change_outcome>(record.outcome),
            static_cast<reject_reason>(record.reason),
            {toConfigVersion(record.winner), digestOrZero(record.winner_digest)}};
}

} // namespace

auto toWireRecord(const change_record &record) -> wire::change
{
    wire::change wireRecord;
    wireRecord.id = record.id;
    wireRecord.version = static_cast<std::int64_t>(record.version.version);
    wireRecord.digest = base::toBytes(record.version.digest);
    wireRecord.outcome = static_cast<std::int8_t>(record.outcome);
    wireRecord.reason = static_cast<std::int8_t>(record.reason);
    wireRecord.winner = static_cast<std::int64_t>(record.winner.version);
    wireRecord.winner_digest = base::toBytes(record.winner.digest);
    return wireRecord;
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
        collectPart(command);
        return;
    case command_kind::Propose:
        propose(command);
        return;
    case command_kind::Abort:
        abort(toConfigVersion(command.version));
        return;
    case command_kind::Accept:
        accept(toConfigVersion(command.version));
        return;
    case command_kind::InForce:
        markInForce(toConfigVersion(command.version));
        return;
    case command_kind::Members:
        recordReplacement(command);
        return;
    case command_kind::Noop:
        return;
    }
}

auto acceptance_state::recordReplacement(const wire::command &command) -> void
{
    if (!command.change_id.empty() && !m_changeRecords.contains(command.change_id)) {
        addRecord(
                {command.change_id, m_accepted, change_outcome::InForce, reject_reason::None, {}});
    }
}

auto acceptance_state::find(const std::string &changeId) const -> const change_record *
{
    const auto found = m_changeRecords.find(changeId);
    return found == m_changeRecords.end() ? nullptr : &found->second;
}

auto acceptance_state::collectPart(const wire::command &command) -> void
{
    if (command.part == 0) {
        m_partsChangeId = command.change_id;
        m_collectedParts.clear();
    }
    const bool isNextPart = m_partsChangeId == command.change_id
                            && static_cast<std::uint64_t>(command.part) == m_collectedParts.size();
    if (isNextPart) {
        m_collectedParts += command.bytes;
    }
}

auto acceptance_state::assembleContent(const wire::command &command) const
        -> std::optional<std::string>
{
    const auto contentOrDelta =
            (m_partsChangeId == command.change_id ? m_collectedParts : "") + command.bytes;
    if (!command.is_delta) {
        return contentOrDelta;
    }
    return m_acceptedContent ? transfer::applyDelta(*m_acceptedContent, contentOrDelta)
                             : std::nullopt;
}

auto acceptance_state::propose(const wire::command &command) -> void
{
    if (m_changeRecords.contains(command.change_id)) {
        return;
    }
    const auto digest = digestOrZero(command.digest);
    if (toConfigVersion(command.base) != m_accepted.version) {
        reject(command, digest, reject_reason::BaseVersionOutdated);
        return;
    }
    if (m_pending) {
        reject(command, digest, reject_reason::ChangeInProgress);
        return;
    }
    auto content = assembleContent(command);
    m_partsChangeId.clear();
    m_collectedParts.clear();
    if (!content || base::sha256(*content) != digest) {
        reject(command, digest, reject_reason::ContentInvalid);
        return;
    }
    m_pending = version_id{++m_lastAssigned, digest};
    m_pendingChangeId = command.change_id;
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
    m_changeRecordOrder.push_back(record.id);
    m_changeRecords[record.id] = std::move(record);
    if (m_changeRecordOrder.size() > MAX_CHANGE_RECORDS) {
        m_changeRecords.erase(m_changeRecordOrder.front());
        m_changeRecordOrder.pop_front();
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
    m_changeRecords[m_pendingChangeId].outcome = change_outcome::Accepted;
    m_history.push_back({m_accepted, m_pendingChangeId});
    if (m_history.size() > MAX_HISTORY_ENTRIES) {
        m_history.pop_front();
    }
}

auto acceptance_state::abort(base::config_version version) -> void
{
    if (!m_pending || m_pending->version != version) {
        return;
    }
    auto &record = m_changeRecords[m_pendingChangeId];
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
    for (const auto &change : m_history) {
        const auto found = m_changeRecords.find(change.changeId);
        const bool isNewlyInForce =
                change.version.version > m_inForce && change.version.version <= version;
        if (isNewlyInForce && found != m_changeRecords.end()) {
            found->second.outcome = change_outcome::InForce;
        }
    }
    m_inForce = version;
}

auto acceptance_state::encode() const -> std::string
{
    wire::state wireState;
    wireState.accepted = static_cast<std::int64_t>(m_accepted.version);
    wireState.accepted_digest = base::toBytes(m_accepted.digest);
    wireState.assigned = static_cast<std::int64_t>(m_lastAssigned);
    wireState.in_force = static_cast<std::int64_t>(m_inForce);
    if (m_pending) {
        wireState.pending = static_cast<std::int64_t>(m_pending->version);
        wireState.pending_digest = base::toBytes(m_pending->digest);
        wireState.pending_change = m_pendingChangeId;
        wireState.pending_content = *m_pendingContent;
    }
    wireState.accepted_content = m_acceptedContent ? *m_acceptedContent : "";
    wireState.parts_change = m_partsChangeId;
    wireState.parts = m_collectedParts;
    for (const auto &id : m_changeRecordOrder) {
        wireState.changes.push_back(toWireRecord(m_changeRecords.at(id)));
    }
    for (const auto &item : m_history) {
        wire::accepted_version entry;
        entry.version = static_cast<std::int64_t>(item.version.version);
        entry.digest = base::toBytes(item.version.digest);
        entry.change_id = item.changeId;
        wireState.history.push_back(std::move(entry));
    }
    return base::encodeThrift(wireState);
}

auto acceptance_state::decode(std::string_view bytes) -> std::optional<acceptance_state>
{
    const auto wireState = base::decodeThrift<wire::state>(bytes);
    if (!wireState) {
        return std::nullopt;
    }
    acceptance_state state;
    state.m_accepted = {toConfigVersion(wireState->accepted),
                        digestOrZero(wireState->accepted_digest)};
    state.m_lastAssigned = toConfigVersion(wireState->assigned);
    state.m_inForce = toConfigVersion(wireState->in_force);
    if (wireState->accepted != 0) {
        state.m_acceptedContent = std::make_shared<const std::string>(wireState->accepted_content);
    }
    if (wireState->pending != 0) {
        state.m_pending = version_id{toConfigVersion(wireState->pending),
                                     digestOrZero(wireState->pending_digest)};
        state.m_pendingChangeId = wireState->pending_change;
        state.m_pendingContent = std::make_shared<const std::string>(wireState->pending_content);
    }
    state.m_partsChangeId = wireState->parts_change;
    state.m_collectedParts = wireState->parts;
    for (const auto &item : wireState->changes) {
        state.addRecord(fromWireRecord(item));
    }
    for (const auto &item : wireState->history) {
        state.m_history.push_back(
                {{toConfigVersion(item.version), digestOrZero(item.digest)}, item.change_id});
    }
    return state;
}

} // namespace hawthornpick::control
