#pragma once

#include "base/ids.h"
#include "base/snapshotcell.h"
#include "base/time.h"
#include "membership/view.h"
#include "policy/slotqueue.h"
#include "upstream/startgates.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hawthornpick::upstream {

//! Announcement of an upstream of this host.
struct announcement
{
    //! Name of the upstream, unique on this host.
    std::string name;
    base::service_id service;
    membership::endpoint address;
    std::uint32_t slots = 1;
    membership::upstream_state state = membership::upstream_state::Starting;
    base::incarnation incarnation = 0;
    //! Increases with each announcement of one incarnation; 0 if the upstream sends none. A lower
    //! sequence than the last one marks a delayed announcement.
    std::uint64_t sequence = 0;
    //! Time for which the upstream stays cold; nothing if it doesn't say.
    std::optional<base::milliseconds> coldRemaining = {};

    auto operator<=>(const announcement &) const = default;
};

//! State of an upstream of this host.
struct upstream_record
{
    membership::upstream_entry entry;
    membership::endpoint address;
    //! Name from the announcement.
    std::string name;
};

using queue_pointer = std::shared_ptr<policy::slot_queue>;
using queue_map = std::unordered_map<base::service_id, queue_pointer>;

//! Immutable table of the upstreams of this host, read by the I/O threads.
class upstream_table
{
public:
    upstream_table() = default;
    upstream_table(std::vector<std::shared_ptr<const upstream_record>> records, queue_map queues);

    //! Returns the record of a live upstream, or null. Thread safety: immutable.
    [[nodiscard]] auto find(const base::upstream_id &id) const
            -> std::shared_ptr<const upstream_record>;

    //! Returns the queue of a service, or null if no upstream of it has announced itself. All
    //! versions of the table share one queue for each service. Thread safety: immutable.
    [[nodiscard]] auto queueOf(const base::service_id &service) const -> queue_pointer;

    //! Thread safety: immutable.
    [[nodiscard]] auto queues() const -> const queue_map & { return m_queues; }

private:
    std::unordered_map<base::upstream_id, std::shared_ptr<const upstream_record>> m_records;
    queue_map m_queues;
};

using upstream_table_cell = base::snapshot_cell<upstream_table>;

//! Result of an announcement.
enum class announce_result : std::uint8_t {
    Accepted,
    //! The announcement is delayed, has an older incarnation than a known one, or would undo a
    //! drain or withdrawal of the same incarnation, also one that a former process acknowledged.
    Outdated,
    //! The maximum number of upstreams on this host is reached.
    Full,
};

//! Result of a withdrawal.
enum class withdraw_result : std::uint8_t {
    Withdrawn,
    //! No upstream of this name is known. Announcements under the name are rejected for
    //! `upstream_registry::UNKNOWN_WITHDRAWAL_LIFE`.
    Unknown,
};

//! Whether upstreams may be used from the start of the node.
enum class initial_use : std::uint8_t {
    Allowed,
    //! Only after `allowUse`: a former process of the node may have acknowledged departures.
    Withheld,
};

//! Registry of the upstreams that announced themselves to this node. Expires announcements, rejects
//! outdated ones and updates the queues of the services.
//! Thread safety of all members: any thread.
class upstream_registry
{
public:
    //! Time after which an upstream that does not repeat its announcement is marked as gone.
    static constexpr base::milliseconds ANNOUNCEMENT_LIFE{3000};
    //! Maximum number of live upstreams; bounds the memory that a faulty process can cause.
    static constexpr std::size_t MAX_UPSTREAMS = 256;

    //! Time for which announcements under the name of an unknown upstream that was withdrawn are
    //! rejected. Longer than an announcement may be delayed.
    static constexpr base::milliseconds UNKNOWN_WITHDRAWAL_LIFE{30'000};

    //! Called with all entries after each change, in the order of the changes and never
    //! concurrently.
    using change_function =
            std::function<void(const std::vector<membership::upstream_entry> &entries)>;
    //! Returns the maximum number of waiting requests per slot of a service; nothing if the
    //! configuration doesn't have the service.
    using queue_limit_function =
            std::function<std::optional<std::uint32_t>(const base::service_id &service)>;

    upstream_registry(base::node_id node, queue_limit_function queuePerSlot,
                      change_function onChange,
                      base::milliseconds announcementLife = ANNOUNCEMENT_LIFE,
                      policy::queue_order queueOrder = policy::queue_order::FairShare,
                      initial_use use = initial_use::Allowed);

    //! Records an announcement. Within one incarnation `Draining` and a withdrawal are final, but
    //! an upstream whose announcement expired may announce itself again. If another upstream has
    //! the same address, the one with the lower incarnation is marked as gone or rejected; with
    //! equal incarnations the later announcement wins. One of an unknown service displaces none of
    //! a known service.
    auto announce(const announcement &received, base::time_point now) -> announce_result;

    //! Records that an incarnation has said in an answer that it leaves. As final as an
    //! announcement with the state `Draining`. Other incarnations than the registered one are
    //! ignored.
    auto markLeaving(const base::upstream_id &id, base::incarnation incarnation) -> void;

    //! Marks an upstream as withdrawn and gone.
    auto withdraw(const std::string &name, base::time_point now) -> withdraw_result;

    //! Takes over what former processes of the node published: an incarnation that announced that
    //! it leaves is marked as gone or, if it announces itself later, rejected, and so is an older
    //! one. Idempotent.
    auto restore(const std::vector<membership::upstream_entry> &former, base::time_point now)
            -> void;

    //! Allows the use of upstreams, which are published as `Starting` until then if the registry
    //! was created with `initial_use::Withheld`.
    auto allowUse() -> void;

    //! Marks upstreams with expired announcements as gone. Call at least every 250 ms.
    auto expire(base::time_point now) -> void;

    //! Applies the policy's decision on ejection, slow start and probation. `usableSlots` and
    //! `probation` apply until the upstream announces a new incarnation. Returns false if the
    //! upstream is unknown.
    auto setAdmission(const base::upstream_id &id, bool ejected, std::uint32_t usableSlots,
                      bool probation) -> bool;

    [[nodiscard]] auto table() const -> const upstream_table_cell & { return m_table; }

    //! Returns the gates of the upstreams, which follow the announcements.
    [[nodiscard]] auto startGates() const -> const std::shared_ptr<start_gates> &
    {
        return m_startGates;
    }

    //! Returns the entries as published. Upstreams that left are included in state `Gone`.
    [[nodiscard]] auto entries() const -> std::vector<membership::upstream_entry>;

private:
    struct registration
    {
        std::shared_ptr<const upstream_record> record;
        base::time_point expiry;
        std::uint64_t lastSequence = 0;
        bool withdrawn = false;
        membership::upstream_state announcedState = membership::upstream_state::Starting;
        // Limit set by the policy; without one all announced slots may be used.
        std::optional<std::uint32_t> usableSlots;
        bool probation = false;
    };

    [[nodiscard]] auto hasCapacityFor(const registration *upstream) const -> bool;
    // An announcement from elsewhere may name a service that doesn't exist.
    [[nodiscard]] auto mayDisplace(const base::service_id &newer,
                                   const base::service_id &older) const -> bool;
    // True if a live upstream with a higher incarnation uses the same address.
    [[nodiscard]] auto isSuperseded(const announcement &received) const -> bool;
    // Marks other upstreams with the same address as withdrawn and gone.
    auto removeOthersAtAddress(const announcement &received) -> void;
    auto restoreEntry(const membership::upstream_entry &former, base::time_point now) -> void;
    [[nodiscard]] auto usedState(membership::upstream_state announced) const
            -> membership::upstream_state;
    [[nodiscard]] auto makeRecord(upstream_record record, const announcement &received) const
            -> upstream_record;
    [[nodiscard]] auto upstreamIdOf(const std::string &name) const -> base::upstream_id;
    auto storeRecord(registration &upstream, upstream_record next) -> void;
    auto markGone(registration &upstream) -> void;
    //! Marks an upstream as gone because it has announced that it leaves.
    auto markLeft(registration &upstream) -> void;
    auto updateQueue(const registration &upstream) -> void;
    auto publish() -> void;
    [[nodiscard]] auto collectEntries() const -> std::vector<membership::upstream_entry>;

    base::node_id m_node;
    queue_limit_function m_queuePerSlot;
    change_function m_onChange;
    base::milliseconds m_announcementLife;
    policy::queue_order m_queueOrder;
    mutable std::mutex m_mutex;
    std::map<std::string, registration> m_registrations;
    //! Withdrawn names without a registration, each with the time until which they are rejected.
    std::map<std::string, base::time_point> m_unknownWithdrawals;
    bool m_isUseAllowed;
    queue_map m_queues;
    // Never reset, so that an upstream that announces itself again after it was gone gets a higher
    // sequence than before.
    std::uint64_t m_sequence = 0;
    upstream_table_cell m_table;
    std::shared_ptr<start_gates> m_startGates = std::make_shared<start_gates>();
};

} // namespace hawthornpick::upstream
