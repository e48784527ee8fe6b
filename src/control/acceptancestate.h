#pragma once

#include "control/answers.h"
#include "control/logentry.h"
#include "transfer/contentstore.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornpick::control {

//! Progress of a change. The numbers are part of the disk format.
enum class change_outcome : std::int8_t {
    //! Proposed; the witnesses are being prepared.
    Pending = 0,
    //! Decided, but not yet in force on all nodes.
    Accepted = 1,
    InForce = 2,
    Rejected = 3,
};

//! State of one change, kept under its change id.
struct change_record
{
    std::string id;
    version_id version;
    change_outcome outcome = change_outcome::Pending;
    reject_reason reason = reject_reason::None;
    //! Newest accepted version when the change was rejected.
    version_id winner;

    auto operator<=>(const change_record &) const = default;

    //! Returns the answer to the operator. Thread safety: pure.
    [[nodiscard]] auto answer() const -> change_answer;
};

//! Converts a record to its wire form and leaves `detail` empty. Thread safety: pure.
auto toWireRecord(const change_record &record) -> wire::change;

//! State machine of the replicated log: the accepted, pending and past configuration versions and
//! the results of changes. Applying the same commands gives the same state on each replica. Thread
//! safety of all members: control thread.
class acceptance_state
{
public:
    //! Records of older changes are evicted; an evicted change that is sent again is rejected
    //! because its base version is outdated. 10,000 records cover more than two days of changes at
    //! the design size of the fleet.
    static constexpr std::size_t MAX_CHANGE_RECORDS = 10000;
    static constexpr std::size_t MAX_HISTORY_ENTRIES = 1000;

    //! Applies one committed command. Commands of an unknown kind are ignored.
    auto apply(const wire::command &command) -> void;

    [[nodiscard]] auto accepted() const -> const version_id & { return m_accepted; }
    [[nodiscard]] auto acceptedContent() const -> const transfer::content_pointer &
    {
        return m_acceptedContent;
    }
    [[nodiscard]] auto pending() const -> const std::optional<version_id> & { return m_pending; }
    [[nodiscard]] auto pendingContent() const -> const transfer::content_pointer &
    {
        return m_pendingContent;
    }
    [[nodiscard]] auto inForce() const -> base::config_version { return m_inForce; }
    [[nodiscard]] auto history() const -> const std::deque<accepted_change> & { return m_history; }

    //! Returns the record of a change, or null if there is none. The pointer is valid until the
    //! next `apply`.
    [[nodiscard]] auto find(const std::string &changeId) const -> const change_record *;

    //! Encodes the state for a snapshot; `decode` returns nothing if the bytes are not such a
    //! state.
    [[nodiscard]] auto encode() const -> std::string;
    static auto decode(std::string_view bytes) -> std::optional<acceptance_state>;

private:
    auto propose(const wire::command &command) -> void;
    auto collectPart(const wire::command &command) -> void;
    auto assembleContent(const wire::command &command) const -> std::optional<std::string>;
    auto accept(base::config_version version) -> void;
    auto abort(base::config_version version) -> void;
    auto markInForce(base::config_version version) -> void;
    auto recordReplacement(const wire::command &command) -> void;
    auto addRecord(change_record record) -> void;
    auto reject(const wire::command &command, const base::digest256 &digest, reject_reason reason)
            -> void;

    version_id m_accepted;
    transfer::content_pointer m_acceptedContent;
    std::optional<version_id> m_pending;
    std::string m_pendingChangeId;
    transfer::content_pointer m_pendingContent;
    // Last version number given to a change. The number of an aborted version is not given again,
    // as witnesses may still hold the content of that version.
    base::config_version m_lastAssigned = 0;
    base::config_version m_inForce = 0;
    // Content parts received for the next proposal, and the change that they belong to.
    std::string m_partsChangeId;
    std::string m_collectedParts;
    std::map<std::string, change_record> m_changeRecords;
    // Change ids, oldest first.
    std::deque<std::string> m_changeRecordOrder;
    std::deque<accepted_change> m_history;
};

} // namespace hawthornpick::control
