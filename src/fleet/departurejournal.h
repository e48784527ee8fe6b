#pragma once

#include "base/message.h"
#include "base/time.h"
#include "fleet/recordtable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornpick::fleet {

//! New content of the file in which a hub keeps departures.
struct departure_write
{
    std::uint64_t revision = 0;
    std::string content;

    auto operator<=>(const departure_write &) const = default;
};

//! Decision object of a hub with a disk: keeps the departures of upstreams that its directory knows
//! in a file, so that they hold although all processes of the fleet end at once, and holds back the
//! answers to store requests until the file has them. Does no I/O itself.
//! Thread safety of all members: one thread.
class departure_journal
{
public:
    using messages = std::vector<base::outgoing_message>;

    //! Time after the load for which departures of a node that hasn't been heard of since are kept;
    //! longer than an upstream goes on after it has announced that it leaves.
    static constexpr base::milliseconds UNHEARD_RETENTION{600'000};

    //! Returns the records in the content of the file; none if it can't be decoded. Until this call
    //! nothing is written. Precondition: not called before.
    auto onLoaded(std::string_view content, base::time_point now) -> std::vector<node_record>;
    [[nodiscard]] auto isLoaded() const -> bool { return m_loadedAt.has_value(); }

    //! Takes over the departures in a directory.
    auto update(const record_table &records, base::time_point now) -> void;

    //! Returns the next write, if one is due and none is in progress.
    auto takeWrite() -> std::optional<departure_write>;
    //! Returns the answers that waited for the write.
    auto onWritten(std::uint64_t revision) -> messages;

    //! Returns the answer at once if the file has all departures of the last update, and otherwise
    //! from `onWritten`. Only the last answer to a node is kept.
    auto sendWhenDurable(base::outgoing_message answer) -> messages;

private:
    struct deferred_answer
    {
        std::uint64_t requiredRevision = 0;
        base::outgoing_message answer;
    };

    [[nodiscard]] auto isUnheard(const node_record &record, base::time_point now) const -> bool;

    std::optional<base::time_point> m_loadedAt;
    //! Position of the directory at the last update.
    directory_cursor m_cursor;
    std::vector<node_record> m_departures;
    std::uint64_t m_revision = 0;
    std::uint64_t m_writtenRevision = 0;
    bool m_isWriteInProgress = false;
    std::map<base::node_id, deferred_answer> m_deferredAnswers;
};

} // namespace hawthornpick::fleet
