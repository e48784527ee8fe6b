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
    Pending = 0,
    Accepted = 1,
    InForce = 2,
    Rejected = 3,
};

//! Row of the change-id table.
struct change_record
{
    std::string id;
    version_id version;
    change_outcome outcome = change_outcome::Pending;
    reject_reason reason = reject_reason::None;
    version_id winner;

    auto operator<=>(const change_record &) const = default;

    //! Returns the answer to the operator. Thread safety: immutable.
    [[nodiscard]] auto answer() const -> change_answer;
};

//! Wire form of a record, without the text of the reason. Thread safety: pure.
auto toWireRecord(const change_record &record) -> wire::change;

//! Replicated state: the result of applying the committed log. Deterministic.
//! Thread safety of all members: control thread.
class acceptance_state
{
public:
    //! Results of older changes are forgotten; a resend of one is rejected by its base version.
    //! 10,000 are more than two days at the design size.
    static constexpr std::size_t MAX_CHANGES = 10000;
    static constexpr std::size_t MAX_HISTORY = 1000;

    //! Applies one committed command; unknown kinds are ignored.
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

    //! Returns the record of a change id, or null.
    [[nodiscard]] auto find(const std::string &changeId) const -> const change_record *;

    [[nodiscard]] auto encode() const -> std::string;
    static auto decode(std::string_view bytes) -> std::optional<acceptance_state>;

private:
    auto propose(const wire::command &command) -> void;
    auto addPart(const wire::command &command) -> void;
    auto contentOf(const wire::command &command) const -> std::optional<std::string>;
    auto accept(base::config_version version) -> void;
    auto abort(base::config_version version) -> void;
    auto markInForce(base::config_version version) -> void;
    auto completeReplacement(const wire::command &command) -> void;
    auto addRecord(change_record record) -> void;
    auto reject(const wire::command &command, const base::digest256 &digest, reject_reason reason)
            -> void;

    version_id m_accepted;
    transfer::content_pointer m_acceptedContent;
    std::optional<version_id> m_pending;
    std::string m_pendingChange;
    transfer::content_pointer m_pendingContent;
    // Numbers of aborted versions are not used again, as witnesses may still hold their content.
    base::config_version m_assigned = 0;
    base::config_version m_inForce = 0;
    std::string m_partsChange;
    std::string m_parts;
    std::map<std::string, change_record> m_changes;
    std::deque<std::string> m_changeOrder;
    std::deque<accepted_change> m_history;
};

} // namespace hawthornpick::control
