#pragma once

#include "base/ids.h"
#include "base/snapshotcell.h"
#include "base/time.h"
#include "membership/view.h"
#include "policy/slotqueue.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hawthornpick::upstream {

//! What an upstream says about itself.
struct announcement
{
    //! Name of the upstream on this host.
    std::string name;
    base::service_id service;
    membership::endpoint address;
    std::uint32_t slots = 1;
    membership::upstream_state state = membership::upstream_state::Starting;
    base::incarnation incarnation = 0;
    //! Increases with each announcement of an incarnation; 0 if the upstream gives none.
    std::uint64_t sequence = 0;

    auto operator<=>(const announcement &) const = default;
};

//! An upstream of this host.
struct upstream_record
{
    membership::upstream_entry entry;
    membership::endpoint address;
    //! Name that the upstream gave itself.
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

    //! Null if there is none. Thread safety: immutable.
    [[nodiscard]] auto find(const base::upstream_id &id) const
            -> std::shared_ptr<const upstream_record>;

    //! Queue of a service; null if no upstream of it has announced itself. The queue is the same in
    //! all versions of the table. Thread safety: immutable.
    [[nodiscard]] auto queueOf(const base::service_id &service) const -> queue_pointer;

    //! Thread safety: immutable.
    [[nodiscard]] auto queues() const -> const queue_map & { return m_queues; }

private:
    std::unordered_map<base::upstream_id, std::shared_ptr<const upstream_record>> m_records;
    queue_map m_queues;
};

using table_cell = base::snapshot_cell<upstream_table>;

//! Result of an announcement.
enum class announce_result : std::uint8_t {
    Accepted,
    //! Names an older incarnation than one seen before, or takes a withdrawal or drain back.
    Outdated,
    //! The limit of upstreams on one host is reached.
    Full,
};

//! Upstreams that announced themselves to this node: expiry, order and drain.
//! Thread safety of all members: any thread.
class upstream_registry
{
public:
    //! Time after which an announcement that is not repeated counts as withdrawn.
    static constexpr base::milliseconds ANNOUNCEMENT_LIFE{3000};
    //! Bounds the memory that a faulty process on the host can take.
    static constexpr std::size_t MAX_UPSTREAMS = 256;

    //! Called with all entries after each change, one call at a time.
    using change_function =
            std::function<void(const std::vector<membership::upstream_entry> &entries)>;
    //! Returns how many requests may wait for each slot of a service's upstreams.
    using queue_function = std::function<std::uint32_t(const base::service_id &service)>;

    upstream_registry(base::node_id node, queue_function queuePerSlot, change_function onChange,
                      base::milliseconds announcementLife = ANNOUNCEMENT_LIFE,
                      policy::queue_order order = policy::queue_order::FairShare);

    //! Records an announcement. Within one incarnation `Draining` and a withdrawal are final, while
    //! an upstream whose announcement expired may come back. Of two upstreams at one address the
    //! one with the higher incarnation has replaced the other.
    auto announce(const announcement &what, base::time_point now) -> announce_result;

    //! Records that an upstream leaves; false if it is unknown.
    auto withdraw(const std::string &name) -> bool;

    //! Marks upstreams as gone whose announcement expired. Call every 250 ms or more often.
    auto expire(base::time_point now) -> void;

    //! Sets what the policy allows on an upstream: ejection and slow start. `usableSlots` counts
    //! for this incarnation of the upstream; false if it is unknown.
    auto setAdmission(const base::upstream_id &id, bool ejected, std::uint32_t usableSlots,
                      bool probation) -> bool;

    [[nodiscard]] auto table() const -> const table_cell & { return m_table; }

    //! Returns the entries as published, with departed ones as `Gone`.
    [[nodiscard]] auto entries() const -> std::vector<membership::upstream_entry>;

private:
    struct known
    {
        std::shared_ptr<const upstream_record> record;
        base::time_point expiry;
        std::uint64_t announced = 0;
        bool withdrawn = false;
        // Decision of the policy; without one all announced slots are used.
        std::optional<std::uint32_t> usableSlots;
        bool probation = false;
    };

    [[nodiscard]] auto hasRoomFor(const known *slot) const -> bool;
    [[nodiscard]] auto isReplaced(const announcement &what) const -> bool;
    auto departOlderAt(const announcement &what) -> void;
    [[nodiscard]] auto nextRecord(upstream_record next, const announcement &what) const
            -> upstream_record;
    auto replace(known &slot, upstream_record next) -> void;
    auto depart(known &slot) -> void;
    auto updateQueue(const known &slot) -> void;
    auto publish() -> void;
    [[nodiscard]] auto collect() const -> std::vector<membership::upstream_entry>;

    base::node_id m_node;
    queue_function m_queuePerSlot;
    change_function m_onChange;
    base::milliseconds m_announcementLife;
    policy::queue_order m_order;
    mutable std::mutex m_mutex;
    std::map<std::string, known> m_known;
    queue_map m_queues;
    // Never reset, so that a departed upstream that comes back continues above its old sequence.
    std::uint64_t m_sequence = 0;
    table_cell m_table;
};

} // namespace hawthornpick::upstream
