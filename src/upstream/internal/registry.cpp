#include "upstream/registry.h"

#include "config/model.h"

#include <algorithm>

namespace hawthornpick::upstream {

namespace {

using membership::upstream_state;

// Maximum number of registrations, live and gone. Those of gone upstreams are kept so that
// announcements of older incarnations can be rejected; the maximum leaves room for live ones.
constexpr std::size_t MAX_REGISTRATIONS = 4 * upstream_registry::MAX_UPSTREAMS;

// Time for which the registration of a gone upstream is kept after its expiry. Exceeds the delay of
// an announcement from an ended process on the loopback interface.
constexpr base::milliseconds GONE_RETENTION{600'000};

auto isLive(const upstream_record &record) -> bool
{
    return record.entry.state != upstream_state::Gone;
}

// Returns true for an older incarnation and for an announcement that would undo a drain or a
// withdrawal of the same incarnation.
auto isOutdated(const membership::upstream_entry &current, bool withdrawn,
                const announcement &received) -> bool
{
    if (received.incarnation != current.incarnation) {
        return received.incarnation < current.incarnation;
    }
    return withdrawn || (current.isLeaving && received.state != upstream_state::Draining);
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

upstream_registry::upstream_registry(base::node_id node, queue_limit_function queuePerSlot,
                                     change_function onChange, base::milliseconds announcementLife,
                                     policy::queue_order queueOrder, initial_use use)
    : m_node(std::move(node)), m_queuePerSlot(std::move(queuePerSlot)),
      m_onChange(std::move(onChange)), m_announcementLife(announcementLife),
      m_queueOrder(queueOrder), m_isUseAllowed(use == initial_use::Allowed),
      m_table(std::make_shared<const upstream_table>())
{}

auto upstream_registry::announce(const announcement &received, base::time_point now)
        -> announce_result
{
    const std::lock_guard lock(m_mutex);
    const auto position = m_registrations.find(received.name);
    const bool isRegistered = position != m_registrations.end();
    if (!hasCapacityFor(isRegistered ? &position->second : nullptr)) {
        return announce_result::Full;
    }
    const auto withdrawal = m_unknownWithdrawals.find(received.name);
    if (withdrawal != m_unknownWithdrawals.end() && now < withdrawal->second) {
        return announce_result::Outdated;
    }
    if (isRegistered
        && isOutdated(position->second.record->entry, position->second.withdrawn, received)) {
        return announce_result::Outdated;
    }
    const bool isDelayed = isRegistered
                           && position->second.record->entry.incarnation == received.incarnation
                           && received.sequence < position->second.lastSequence;
    if (isDelayed || isSuperseded(received)) {
        return announce_result::Outdated;
    }
    removeOthersAtAddress(received);
    auto &upstream = m_registrations[received.name];
    upstream.lastSequence = received.sequence;
    upstream.expiry = now + m_announcementLife;
    upstream.withdrawn = false;
    upstream.announcedState = received.state;
    if (isRegistered && upstream.record->entry.incarnation != received.incarnation) {
        upstream.usableSlots.reset();
        upstream.probation = false;
    }
    // A request may get the upstream as soon as the record is stored.
    m_startGates->onAnnouncement(upstreamIdOf(received.name), received.service,
                                 received.incarnation, received.coldRemaining, now);
    storeRecord(upstream,
                makeRecord(isRegistered ? *upstream.record : upstream_record{}, received));
    return announce_result::Accepted;
}

auto upstream_registry::makeRecord(upstream_record record, const announcement &received) const
        -> upstream_record
{
    record.entry.id = upstreamIdOf(received.name);
    record.entry.service = received.service;
    record.entry.slots = received.slots;
    const bool wasLeaving =
            record.entry.isLeaving && record.entry.incarnation == received.incarnation;
    record.entry.isLeaving = wasLeaving || received.state == upstream_state::Draining;
    record.entry.state = usedState(received.state);
    record.entry.incarnation = received.incarnation;
    record.address = received.address;
    record.name = received.name;
    return record;
}

auto upstream_registry::upstreamIdOf(const std::string &name) const -> base::upstream_id
{
    return base::upstream_id(m_node.str() + "/" + name);
}

auto upstream_registry::usedState(upstream_state announced) const -> upstream_state
{
    return announced == upstream_state::Ready && !m_isUseAllowed ? upstream_state::Starting
                                                                 : announced;
}

auto upstream_registry::isSuperseded(const announcement &received) const -> bool
{
    return std::any_of(m_registrations.begin(), m_registrations.end(),
                       [this, &received](const auto &item) {
                           const auto &record = *item.second.record;
                           return item.first != received.name && isLive(record)
                                  && record.address == received.address
                                  && record.entry.incarnation > received.incarnation
                                  && mayDisplace(record.entry.service, received.service);
                       });
}

auto upstream_registry::mayDisplace(const base::service_id &newer,
                                    const base::service_id &older) const -> bool
{
    return m_queuePerSlot(newer).has_value() || !m_queuePerSlot(older).has_value();
}

auto upstream_registry::removeOthersAtAddress(const announcement &received) -> void
{
    for (auto &[name, upstream] : m_registrations) {
        if (name != received.name && isLive(*upstream.record)
            && upstream.record->address == received.address
            && mayDisplace(received.service, upstream.record->entry.service)) {
            upstream.withdrawn = true;
            markGone(upstream);
        }
    }
}

auto upstream_registry::hasCapacityFor(const registration *upstream) const -> bool
{
    if (upstream != nullptr && isLive(*upstream->record)) {
        return true;
    }
    const auto liveCount =
            std::count_if(m_registrations.begin(), m_registrations.end(),
                          [](const auto &item) { return isLive(*item.second.record); });
    return static_cast<std::size_t>(liveCount) < MAX_UPSTREAMS
           && (upstream != nullptr || m_registrations.size() < MAX_REGISTRATIONS);
}

auto upstream_registry::markLeaving(const base::upstream_id &id, base::incarnation incarnation)
        -> void
{
    const std::lock_guard lock(m_mutex);
    for (auto &[name, upstream] : m_registrations) {
        const auto &entry = upstream.record->entry;
        if (entry.id != id || entry.incarnation != incarnation || entry.isLeaving) {
            continue;
        }
        auto leaving = *upstream.record;
        leaving.entry.isLeaving = true;
        if (isLive(leaving)) {
            leaving.entry.state = upstream_state::Draining;
            upstream.announcedState = upstream_state::Draining;
        }
        storeRecord(upstream, std::move(leaving));
        return;
    }
}

auto upstream_registry::withdraw(const std::string &name, base::time_point now) -> withdraw_result
{
    const std::lock_guard lock(m_mutex);
    const auto position = m_registrations.find(name);
    if (position == m_registrations.end()) {
        if (m_unknownWithdrawals.size() < MAX_REGISTRATIONS) {
            m_unknownWithdrawals[name] = now + UNKNOWN_WITHDRAWAL_LIFE;
        }
        return withdraw_result::Unknown;
    }
    position->second.withdrawn = true;
    markLeft(position->second);
    return withdraw_result::Withdrawn;
}

auto upstream_registry::restore(const std::vector<membership::upstream_entry> &former,
                                base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    for (const auto &entry : former) {
        restoreEntry(entry, now);
    }
}

auto upstream_registry::restoreEntry(const membership::upstream_entry &former, base::time_point now)
        -> void
{
    const auto prefix = m_node.str() + "/";
    if (!former.id.str().starts_with(prefix)) {
        return;
    }
    const auto name = former.id.str().substr(prefix.size());
    const bool isWithdrawn = m_unknownWithdrawals.erase(name) > 0;
    const auto position = m_registrations.find(name);
    const bool isRegistered = position != m_registrations.end();
    if (isRegistered && position->second.record->entry.incarnation > former.incarnation) {
        return;
    }
    if (!isRegistered && m_registrations.size() >= MAX_REGISTRATIONS) {
        return;
    }
    auto &upstream = m_registrations[name];
    const bool isKnown = isRegistered && upstream.record->entry.incarnation == former.incarnation;
    if (!isKnown) {
        upstream.withdrawn = false;
        upstream.lastSequence = 0;
        upstream.expiry = now;
        upstream_record record{former, {}, name};
        record.entry.state = upstream_state::Gone;
        storeRecord(upstream, std::move(record));
    }
    if (isWithdrawn) {
        upstream.withdrawn = true;
    }
    const bool isDraining = upstream.record->entry.state == upstream_state::Draining;
    if (isWithdrawn || (former.isLeaving && !isDraining)) {
        markLeft(upstream);
    }
}

auto upstream_registry::allowUse() -> void
{
    const std::lock_guard lock(m_mutex);
    m_isUseAllowed = true;
    for (auto &[name, upstream] : m_registrations) {
        if (isLive(*upstream.record)) {
            auto next = *upstream.record;
            next.entry.state = usedState(upstream.announcedState);
            storeRecord(upstream, std::move(next));
        }
    }
}

auto upstream_registry::expire(base::time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    for (auto &[name, upstream] : m_registrations) {
        if (upstream.expiry <= now && isLive(*upstream.record)) {
            markGone(upstream);
        }
    }
    std::erase_if(m_unknownWithdrawals, [now](const auto &item) { return item.second <= now; });
    std::erase_if(m_registrations, [this, now](const auto &item) {
        const bool isOver =
                !isLive(*item.second.record) && item.second.expiry + GONE_RETENTION <= now;
        if (isOver) {
            m_startGates->forget(item.second.record->entry.id);
        }
        return isOver;
    });
}

auto upstream_registry::setAdmission(const base::upstream_id &id, bool ejected,
                                     std::uint32_t usableSlots, bool probation) -> bool
{
    const std::lock_guard lock(m_mutex);
    for (auto &[name, upstream] : m_registrations) {
        if (upstream.record->entry.id != id) {
            continue;
        }
        const bool isUnchanged =
                upstream.usableSlots == usableSlots && upstream.probation == probation;
        upstream.usableSlots = usableSlots;
        upstream.probation = probation;
        auto next = *upstream.record;
        next.entry.ejected = ejected;
        storeRecord(upstream, std::move(next));
        if (!isUnchanged) {
            updateQueue(upstream);
        }
        return true;
    }
    return false;
}

auto upstream_registry::entries() const -> std::vector<membership::upstream_entry>
{
    const std::lock_guard lock(m_mutex);
    return collectEntries();
}

auto upstream_registry::collectEntries() const -> std::vector<membership::upstream_entry>
{
    std::vector<membership::upstream_entry> entries;
    entries.reserve(m_registrations.size());
    for (const auto &[name, upstream] : m_registrations) {
        entries.push_back(upstream.record->entry);
    }
    return entries;
}

// Precondition of the following functions: the lock is held. The change function is called under
// the lock, so that it receives the changes in order.
auto upstream_registry::storeRecord(registration &upstream, upstream_record next) -> void
{
    if (upstream.record && upstream.record->entry == next.entry
        && upstream.record->address == next.address) {
        return;
    }
    const auto previous = std::exchange(upstream.record, nullptr);
    if (previous && previous->entry.service != next.entry.service) {
        m_queues.at(previous->entry.service)
                ->removeUpstream(previous->entry.id, base::clock::now());
    }
    next.entry.sequence = ++m_sequence;
    upstream.record = std::make_shared<const upstream_record>(std::move(next));
    // The table is published before the queue is updated, because a request that the queue resumes
    // looks up its upstream in the table.
    publish();
    updateQueue(upstream);
}

auto upstream_registry::updateQueue(const registration &upstream) -> void
{
    const auto &entry = upstream.record->entry;
    const auto queue = m_queues.at(entry.service);
    const auto now = base::clock::now();
    if (entry.state == upstream_state::Gone) {
        queue->removeUpstream(entry.id, now);
        return;
    }
    const bool ready = entry.state == upstream_state::Ready;
    const auto usableSlots = std::min(upstream.usableSlots.value_or(entry.slots), entry.slots);
    queue->setUpstream(entry.id,
                       {entry.slots, ready ? usableSlots : 0, ready && upstream.probation, !ready},
                       now);
}

auto upstream_registry::markGone(registration &upstream) -> void
{
    auto gone = *upstream.record;
    gone.entry.state = upstream_state::Gone;
    m_startGates->onGone(gone.entry.id);
    storeRecord(upstream, std::move(gone));
}

auto upstream_registry::markLeft(registration &upstream) -> void
{
    auto left = *upstream.record;
    left.entry.isLeaving = true;
    left.entry.state = upstream_state::Gone;
    m_startGates->onGone(left.entry.id);
    storeRecord(upstream, std::move(left));
}

auto upstream_registry::publish() -> void
{
    for (const auto &[name, upstream] : m_registrations) {
        auto &queue = m_queues[upstream.record->entry.service];
        const auto queuePerSlot = m_queuePerSlot(upstream.record->entry.service)
                                          .value_or(config::service{}.queuePerSlot);
        if (!queue) {
            queue = std::make_shared<policy::slot_queue>(m_queueOrder, queuePerSlot);
        }
        queue->setQueuePerSlot(queuePerSlot);
    }
    std::vector<std::shared_ptr<const upstream_record>> records;
    for (const auto &[name, upstream] : m_registrations) {
        if (isLive(*upstream.record)) {
            records.push_back(upstream.record);
        }
    }
    m_table.store(std::make_shared<const upstream_table>(std::move(records), m_queues));
    if (m_onChange) {
        m_onChange(collectEntries());
    }
}

} // namespace hawthornpick::upstream
