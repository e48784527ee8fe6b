#include "upstream/registry.h"

#include <algorithm>

namespace hawthornpick::upstream {

namespace {

using membership::upstream_state;

// Departed upstreams are remembered for their incarnation; the limit keeps room for live ones.
constexpr std::size_t MAX_REMEMBERED = 4 * upstream_registry::MAX_UPSTREAMS;

// Longer than a late announcement of the old process can be under way on the loopback interface.
constexpr base::milliseconds DEPARTED_MEMORY{600'000};

auto isLive(const upstream_record &record) -> bool
{
    return record.entry.state != upstream_state::Gone;
}

auto takesBack(const membership::upstream_entry &old, bool withdrawn, const announcement &next)
        -> bool
{
    if (next.incarnation != old.incarnation) {
        return next.incarnation < old.incarnation;
    }
    const bool draining = old.state == upstream_state::Draining;
    return withdrawn || (draining && next.state != upstream_state::Draining);
}

} // namespace

upstream_table::upstream_table(std::vector<std::shared_ptr<const upstream_record>> records,
                               queue_map queues)
    : m_queues(std::move(queues))
{
    for (auto &record : records) {
        auto id = record->entry.id;
        m_records.emplace(std::move(id), std::move(record));
    }
}

auto upstream_table::find(const base::upstream_id &id) const
        -> std::shared_ptr<const upstream_record>
{
    const auto position = m_records.find(id);
    return position == m_records.end() ? nullptr : position->second;
}

auto upstream_table::queueOf(const base::service_id &service) const -> queue_pointer
{
    const auto position = m_queues.find(service);
    return position == m_queues.end() ? nullptr : position->second;
}

upstream_registry::upstream_registry(base::node_id node, queue_function queuePerSlot,
                                     change_function onChange, base::milliseconds announcementLife,
                                     policy::queue_order order)
    : m_node(std::move(node)), m_queuePerSlot(std::move(queuePerSlot)),
      m_onChange(std::move(onChange)), m_announcementLife(announcementLife), m_order(order),
      m_table(std::make_shared<const upstream_table>())
{}

auto upstream_registry::announce(const announcement &what, base::time_point now) -> announce_result
{
    const std::lock_guard lock(m_mutex);
    const auto position = m_known.find(what.name);
    const bool known = position != m_known.end();
    if (!hasRoomFor(known ? &position->second : nullptr)) {
        return announce_result::Full;
    }
    if (known && takesBack(position->second.record->entry, position->second.withdrawn, what)) {
        return announce_result::Outdated;
    }
    const bool isLate = known && position->second.record->entry.incarnation == what.incarnation
                        && what.sequence < position->second.announced;
    if (isLate || isReplaced(what)) {
        return announce_result::Outdated;
    }
    departOlderAt(what);
    auto &slot = m_known[what.name];
    slot.announced = what.sequence;
    slot.expiry = now + m_announcementLife;
    slot.withdrawn = false;
    if (known && slot.record->entry.incarnation != what.incarnation) {
        slot.usableSlots.reset();
        slot.probation = false;
    }
    replace(slot, nextRecord(known ? *slot.record : upstream_record{}, what));
    return announce_result::Accepted;
}

auto upstream_registry::nextRecord(upstream_record next, const announcement &what) const
        -> upstream_record
{
    next.entry.id = base::upstream_id(m_node.str() + "/" + what.name);
    next.entry.service = what.service;
    next.entry.slots = what.slots;
    next.entry.state = what.state;
    next.entry.incarnation = what.incarnation;
    next.address = what.address;
    next.name = what.name;
    return next;
}

auto upstream_registry::isReplaced(const announcement &what) const -> bool
{
    return std::any_of(m_known.begin(), m_known.end(), [&what](const auto &item) {
        const auto &record = *item.second.record;
        return item.first != what.name && isLive(record) && record.address == what.address
               && record.entry.incarnation > what.incarnation;
    });
}

auto upstream_registry::departOlderAt(const announcement &what) -> void
{
    for (auto &[name, slot] : m_known) {
        if (name != what.name && isLive(*slot.record) && slot.record->address == what.address) {
            slot.withdrawn = true;
            depart(slot);
        }
    }
}

auto upstream_registry::hasRoomFor(const known *slot) const -> bool
{
    if (slot != nullptr && isLive(*slot->record)) {
        return true;
    }
    const auto live = std::count_if(m_known.begin(), m_known.end(),
                                    [](const auto &item) { return isLive(*item.second.record); });
    return static_cast<std::size_t>(live) < MAX_UPSTREAMS
           && (slot != nullptr || m_known.size() < MAX_REMEMBERED);
}

auto upstream_registry::withdraw(const std::string &name) -> bool
{
    const std::lock_guard lock(m_mutex);
    const auto position = m_known.find(name);
    if (position == m_known.end()) {
        return false;
    }
    position->second.withdrawn = true;
    depart(position->second);
    return true;
}

auto upstream_registry::expire(base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    for (auto &[name, slot] : m_known) {
        if (slot.expiry <= now && isLive(*slot.record)) {
            depart(slot);
        }
    }
    std::erase_if(m_known, [now](const auto &item) {
        return !isLive(*item.second.record) && item.second.expiry + DEPARTED_MEMORY <= now;
    });
}

auto upstream_registry::setAdmission(const base::upstream_id &id, bool ejected,
                                     std::uint32_t usableSlots, bool probation) -> bool
{
    const std::lock_guard lock(m_mutex);
    for (auto &[name, slot] : m_known) {
        if (slot.record->entry.id != id) {
            continue;
        }
        const bool same = slot.usableSlots == usableSlots && slot.probation == probation;
        slot.usableSlots = usableSlots;
        slot.probation = probation;
        auto next = *slot.record;
        next.entry.ejected = ejected;
        replace(slot, std::move(next));
        if (!same) {
            updateQueue(slot);
        }
        return true;
    }
    return false;
}

auto upstream_registry::entries() const -> std::vector<membership::upstream_entry>
{
    const std::lock_guard lock(m_mutex);
    return collect();
}

auto upstream_registry::collect() const -> std::vector<membership::upstream_entry>
{
    std::vector<membership::upstream_entry> all;
    all.reserve(m_known.size());
    for (const auto &[name, slot] : m_known) {
        all.push_back(slot.record->entry);
    }
    return all;
}

// Precondition of the following functions: the lock is held. The change function runs under the
// lock, so that it sees the changes in their order.
auto upstream_registry::replace(known &slot, upstream_record next) -> void
{
    if (slot.record && slot.record->entry == next.entry && slot.record->address == next.address) {
        return;
    }
    const auto old = std::exchange(slot.record, nullptr);
    if (old && old->entry.service != next.entry.service) {
        m_queues.at(old->entry.service)->removeUpstream(old->entry.id, base::clock::now());
    }
    next.entry.sequence = ++m_sequence;
    slot.record = std::make_shared<const upstream_record>(std::move(next));
    // The table comes first: a request that the queue starts finds its upstream there.
    publish();
    updateQueue(slot);
}

auto upstream_registry::updateQueue(const known &slot) -> void
{
    const auto &entry = slot.record->entry;
    const auto queue = m_queues.at(entry.service);
    const auto now = base::clock::now();
    if (entry.state == upstream_state::Gone) {
        queue->removeUpstream(entry.id, now);
        return;
    }
    const bool ready = entry.state == upstream_state::Ready;
    const auto allowed = std::min(slot.usableSlots.value_or(entry.slots), entry.slots);
    queue->setUpstream(entry.id,
                       {entry.slots, ready ? allowed : 0, ready && slot.probation, !ready}, now);
}

auto upstream_registry::depart(known &slot) -> void
{
    auto next = *slot.record;
    next.entry.state = upstream_state::Gone;
    replace(slot, std::move(next));
}

auto upstream_registry::publish() -> void
{
    for (const auto &[name, slot] : m_known) {
        auto &queue = m_queues[slot.record->entry.service];
        const auto perSlot = m_queuePerSlot(slot.record->entry.service);
        if (!queue) {
            queue = std::make_shared<policy::slot_queue>(m_order, perSlot);
        }
        queue->setQueuePerSlot(perSlot);
    }
    std::vector<std::shared_ptr<const upstream_record>> records;
    for (const auto &[name, slot] : m_known) {
        if (isLive(*slot.record)) {
            records.push_back(slot.record);
        }
    }
    m_table.store(std::make_shared<const upstream_table>(std::move(records), m_queues));
    if (m_onChange) {
        m_onChange(collect());
    }
}

} // namespace hawthornpick::upstream
