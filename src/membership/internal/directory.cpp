#include "membership/directory.h"

#include "base/random.h"
#include "base/thriftcodec.h"
#include "membership/internal/gossipqueue.h"
#include "membership/internal/members.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <set>
#include <utility>

namespace hawthornpick::membership {

namespace {

enum class message_kind : std::uint8_t {
    Ping = 1,
    Ack = 2,
    //! Asks the receiver to ping `target` on behalf of the sender.
    PingRequest = 3,
    //! Reports that the target of a ping request did not answer in time.
    Nack = 4,
    Gossip = 5,
    //! Digests of all buckets, sent after a ping whose digest differs from the local one.
    Buckets = 6,
    //! Status and digest of each node in the differing buckets.
    Versions = 7,
    //! Records that the receiver lacks, and names of nodes whose records the sender lacks.
    Records = 8,
    //! Asks for the records of all nodes.
    FullStateRequest = 9,
};

constexpr std::size_t INDIRECT_PROBE_HELPERS = 3;
constexpr std::size_t GOSSIP_FANOUT = 3;
//! Largest payload that is sent as a datagram.
constexpr std::size_t MAX_DATAGRAM_PAYLOAD_BYTES = 1200;
//! Upper bounds of the encoded sizes of the wire structures without their variable-length fields.
constexpr std::size_t MESSAGE_OVERHEAD_BYTES = 64;
constexpr std::size_t STATUS_OVERHEAD_BYTES = 32;
constexpr std::size_t UPSTREAM_OVERHEAD_BYTES = 44;
constexpr std::size_t RECORD_OVERHEAD_BYTES = 64;
constexpr std::size_t VERSION_OVERHEAD_BYTES = 40;
constexpr unsigned MAX_HEALTH_PENALTY = 8;
//! Number of checks of a suspect, spread evenly over the suspicion time-out. Gossip alone may not
//! reach the suspect, which then could not refute the suspicion.
constexpr int SUSPICION_CHECKS = 2;
//! Limits the slowdown of probes by the health penalty to a factor of three. A larger factor would
//! delay the recovery of a node that was unreachable, because each answered probe lowers the
//! penalty by only one step.
constexpr double PROBE_SLOWDOWN_DIVISOR = 4.0;
//! A longer interval between ticks shows that this process was paused.
constexpr base::milliseconds MAX_TICK_GAP{500};
constexpr base::milliseconds VIEW_INTERVAL{100};
constexpr base::milliseconds CLEANUP_INTERVAL{1000};
//! Number of probe periods without any answer after which a node considers itself isolated.
constexpr int ISOLATION_PROBE_PERIODS = 3;
//! Factor by which an isolated node extends the suspicion time-out before it declares others dead.
constexpr int ISOLATION_SUSPICION_FACTOR = 4;
//! Maximum number of stored addresses of nodes that sent a ping but not yet their record. All are
//! deleted when the maximum is reached.
constexpr std::size_t MAX_PENDING_ADDRESSES = 1024;

struct probe
{
    base::node_id target;
    std::int64_t number = 0;
    base::time_point startedAt;
    bool isIndirect = false;
    bool hasHelperAnswered = false;
};

//! A ping sent on behalf of another node.
struct relayed_ping
{
    base::node_id requester;
    std::int64_t requesterNumber = 0;
    base::time_point deadline;
};

//! Upper bound of the encoded size.
auto maxEncodedBytes(const wire::status &status) -> std::size_t
{
    return STATUS_OVERHEAD_BYTES + status.node.size();
}

auto maxEncodedBytes(const wire::upstream &upstream) -> std::size_t
{
    return UPSTREAM_OVERHEAD_BYTES + upstream.name.size() + upstream.service_name.size();
}

auto maxEncodedBytes(const wire::change &change) -> std::size_t
{
    return STATUS_OVERHEAD_BYTES + change.node.size()
           + (change.__isset.entry ? maxEncodedBytes(change.entry) : 0);
}

auto maxEncodedBytes(const wire::record &record) -> std::size_t
{
    std::size_t sizeBytes = RECORD_OVERHEAD_BYTES + maxEncodedBytes(record.state)
                            + record.host.size() + record.region.size()
                            + record.failure_domain.size() + record.address.size();
    for (const auto &upstream : record.upstreams) {
        sizeBytes += maxEncodedBytes(upstream);
    }
    return sizeBytes;
}

auto stateOf(const member &value) -> node_state
{
    if (value.liveness == liveness_state::Dead) {
        return node_state::Dead;
    }
    if (value.isLeaving) {
        return node_state::Leaving;
    }
    return value.liveness == liveness_state::Suspect ? node_state::Suspect : node_state::Alive;
}

} // namespace

class directory_state
{
public:
    using messages = directory::messages;

    directory_state(local_node self, std::vector<seed_node> seeds, directory_timing timing,
                    std::uint64_t randomSeed, base::time_point now)
        : m_selfId(std::move(self.id)), m_seeds(std::move(seeds)), m_timing(timing),
          m_random(randomSeed), m_view(std::make_shared<const membership::view>()),
          m_lastTickAt(now), m_nextProbeAt(now), m_nextReconnectAt(now),
          m_nextFullStateRequestAt(now), m_lastAnswerAt(now)
    {
        member own;
        own.entry.id = m_selfId;
        own.entry.incarnation = self.incarnation;
        own.entry.host = std::move(self.host);
        own.entry.region = std::move(self.region);
        own.entry.failureDomain = std::move(self.failureDomain);
        own.entry.peerAddress = std::move(self.peerAddress);
        m_members.insertOrReplace(std::move(own));
        m_hasFullState = std::none_of(m_seeds.begin(), m_seeds.end(),
                                      [this](const auto &seed) { return seed.id != m_selfId; });
        publishView(now);
    }

    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages
    {
        const auto message = base::decodeThrift<wire::message>(payload);
        if (!message || from == m_selfId) {
            return {};
        }
        m_outgoing.clear();
        mergeMessage(from, *message, now);
        switch (static_cast<message_kind>(message->kind)) {
        case message_kind::Ping:
            handlePing(from, *message, now);
            break;
        case message_kind::Ack:
            handleAck(from, *message, now);
            break;
        case message_kind::PingRequest:
            handlePingRequest(from, *message, now);
            break;
        case message_kind::Nack:
            handleNack(*message, now);
            break;
        case message_kind::Gossip:
            break;
        case message_kind::Buckets:
            handleBuckets(from, *message);
            break;
        case message_kind::Versions:
            handleVersions(from, *message);
            break;
        case message_kind::Records:
            // Only the answer to a full state request sets `target`.
            m_hasFullState |= message->__isset.target;
            sendRecords(from, message->wanted, {});
            break;
        case message_kind::FullStateRequest:
            handleFullStateRequest(from);
            break;
        }
        return std::exchange(m_outgoing, {});
    }

    auto tick(base::time_point now) -> messages
    {
        m_outgoing.clear();
        const auto tickGap = now - m_lastTickAt;
        m_lastTickAt = now;
        if (tickGap > MAX_TICK_GAP) {
            recoverFromPause(tickGap, now);
        }
        advanceProbe(now);
        expireRelays(now);
        expireSuspicions(now);
        if (now >= m_nextReconnectAt) {
            reconnect(now);
        }
        if (!m_hasFullState && now >= m_nextFullStateRequestAt) {
            requestFullState(now);
        }
        if (now >= m_nextCleanupAt) {
            removeExpired(now);
        }
        if (!m_gossipQueue.empty() && now >= m_nextGossipAt) {
            gossip(now);
        }
        if (m_isViewOutdated && now >= m_nextViewAt) {
            publishView(now);
        }
        return std::exchange(m_outgoing, {});
    }

    auto publish(const upstream_entry &announced, base::time_point now) -> bool
    {
        auto &own = *m_members.find(m_selfId);
        const auto name = localName(m_selfId, announced.id);
        const auto position = own.upstreams.find(name);
        auto next = announced;
        next.ejected = false;
        if (position != own.upstreams.end()) {
            const auto &known = position->second;
            if (announced.incarnation < known.incarnation) {
                return false;
            }
            next.ejected = known.ejected && known.state != upstream_state::Gone;
            next.sequence = known.sequence;
            if (next == known) {
                return true;
            }
        }
        applyLocalChange(own, name, std::move(next), now);
        return true;
    }

    auto withdraw(const base::upstream_id &id, base::time_point now) -> void
    {
        auto &own = *m_members.find(m_selfId);
        const auto name = localName(m_selfId, id);
        const auto position = own.upstreams.find(name);
        if (position == own.upstreams.end() || position->second.state == upstream_state::Gone) {
            return;
        }
        auto next = position->second;
        next.state = upstream_state::Gone;
        next.ejected = false;
        m_withdrawnAt[name] = now;
        applyLocalChange(own, name, std::move(next), now);
    }

    auto setEjected(const base::upstream_id &id, bool ejected, base::time_point now) -> void
    {
        auto &own = *m_members.find(m_selfId);
        const auto name = localName(m_selfId, id);
        const auto position = own.upstreams.find(name);
        if (position == own.upstreams.end() || position->second.state == upstream_state::Gone
            || position->second.ejected == ejected) {
            return;
        }
        auto next = position->second;
        next.ejected = ejected;
        applyLocalChange(own, name, std::move(next), now);
    }

    auto leave(base::time_point now) -> void
    {
        auto &own = *m_members.find(m_selfId);
        if (own.isLeaving) {
            return;
        }
        own.isLeaving = true;
        m_members.updateDigest(own);
        queueUpdate(update_key::kind::Change, m_selfId, {});
        m_nextGossipAt = now;
        m_isViewOutdated = true;
    }

    [[nodiscard]] auto endpointOf(const base::node_id &node) const -> std::optional<endpoint>
    {
        const auto position = m_pendingAddresses.find(node);
        if (position != m_pendingAddresses.end()) {
            return position->second;
        }
        if (const auto *known = m_members.find(node)) {
            return known->entry.peerAddress;
        }
        for (const auto &seed : m_seeds) {
            if (seed.id == node) {
                return seed.address;
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] auto view() const -> const base::snapshot_cell<membership::view> &
    {
        return m_view;
    }

private:
    auto applyLocalChange(member &own, const std::string &name, upstream_entry next,
                          base::time_point now) -> void
    {
        next.sequence = ++m_lastSequence;
        own.completeUpTo = m_lastSequence;
        own.upstreams[name] = std::move(next);
        m_members.updateDigest(own);
        queueUpdate(update_key::kind::Change, m_selfId, name);
        m_nextGossipAt = now;
        m_isViewOutdated = true;
    }

    auto queueUpdate(update_key::kind type, const base::node_id &node, const std::string &upstream)
            -> void
    {
        const auto nodeCount = static_cast<double>(m_members.all().size() + 1);
        // Logarithmic in the number of nodes, so that each node receives an update with high
        // probability.
        const auto transmissions = static_cast<unsigned>(std::ceil(2 + 1.3 * std::log(nodeCount)));
        m_gossipQueue.push({type, node, upstream}, transmissions);
    }

    //! Creates a message with this node's incarnation and refutation.
    [[nodiscard]] auto makeMessage(message_kind kind) const -> wire::message
    {
        const auto &own = *m_members.find(m_selfId);
        wire::message message;
        message.kind = static_cast<std::int8_t>(kind);
        message.incarnation = static_cast<std::int64_t>(own.entry.incarnation);
        message.refutation = static_cast<std::int64_t>(own.refutation);
        return message;
    }

    auto send(const base::node_id &to, const wire::message &message) -> void
    {
        m_outgoing.push_back({to, base::channel::Membership, base::encodeThrift(message)});
    }

    //! Adds queued updates as long as the message fits into a datagram.
    auto piggybackUpdates(wire::message &message, std::size_t usedBytes) -> void
    {
        std::size_t sizeBytes = MESSAGE_OVERHEAD_BYTES + usedBytes;
        const auto tryReserve = [&sizeBytes](std::size_t addedBytes) {
            if (sizeBytes + addedBytes > MAX_DATAGRAM_PAYLOAD_BYTES) {
                return false;
            }
            sizeBytes += addedBytes;
            return true;
        };
        m_gossipQueue.take([&](const update_key &key) {
            const auto *known = m_members.find(key.node);
            if (known == nullptr) {
                return true;
            }
            if (key.type == update_key::kind::Status) {
                return appendStatus(message, statusOf(*known), tryReserve);
            }
            if (key.type == update_key::kind::Change) {
                return appendChange(message, *known, key.upstream, tryReserve);
            }
            return appendRecord(message, *known, tryReserve);
        });
    }

    template <typename TryReserve>
    static auto appendStatus(wire::message &message, wire::status status,
                             const TryReserve &tryReserve) -> bool
    {
        if (!tryReserve(maxEncodedBytes(status))) {
            return false;
        }
        message.statuses.push_back(std::move(status));
        message.__isset.statuses = true;
        return true;
    }

    template <typename TryReserve>
    static auto appendChange(wire::message &message, const member &known,
                             const std::string &upstream, const TryReserve &tryReserve) -> bool
    {
        wire::change change;
        change.node = known.entry.id.str();
        change.incarnation = static_cast<std::int64_t>(known.entry.incarnation);
        change.leaving = known.isLeaving;
        const auto position = known.upstreams.find(upstream);
        if (position != known.upstreams.end()) {
            change.__set_entry(toWireUpstream(upstream, position->second));
        }
        if (!tryReserve(maxEncodedBytes(change))) {
            return false;
        }
        message.changes.push_back(std::move(change));
        message.__isset.changes = true;
        return true;
    }

    template <typename TryReserve>
    static auto appendRecord(wire::message &message, const member &known,
                             const TryReserve &tryReserve) -> bool
    {
        auto record = recordOf(known);
        const auto sizeBytes = maxEncodedBytes(record);
        if (sizeBytes > MAX_DATAGRAM_PAYLOAD_BYTES - MESSAGE_OVERHEAD_BYTES) {
            // Too large for a datagram; anti-entropy transfers the record over the TCP link.
            return true;
        }
        if (!tryReserve(sizeBytes)) {
            return false;
        }
        message.records.push_back(std::move(record));
        message.__isset.records = true;
        return true;
    }

    auto mergeMessage(const base::node_id &from, const wire::message &message, base::time_point now)
            -> void
    {
        const auto kind = static_cast<message_kind>(message.kind);
        for (const auto &record : message.records) {
            // Every node receives records through anti-entropy; gossiping them as well would flood
            // the network. The sender's own record is forwarded.
            const bool shouldForward =
                    kind != message_kind::Records || record.state.node == from.str();
            mergeRecord(from, record, shouldForward, now);
        }
        for (const auto &status : message.statuses) {
            mergeStatus(from, status, now);
        }
        for (const auto &change : message.changes) {
            if (change.node != m_selfId.str() && m_members.mergeChange(change).isChanged) {
                queueUpdate(update_key::kind::Change, base::node_id(change.node),
                            change.__isset.entry ? change.entry.name : std::string());
                m_isViewOutdated = true;
            }
        }
        // The sender's own refutation number overrides older suspicions about the sender.
        wire::status senderStatus;
        senderStatus.node = from.str();
        senderStatus.incarnation = message.incarnation;
        senderStatus.refutation = message.refutation;
        mergeStatus(from, senderStatus, now);
    }

    auto mergeRecord(const base::node_id &from, const wire::record &record, bool shouldForward,
                     base::time_point now) -> void
    {
        const base::node_id id(record.state.node);
        if (id == m_selfId) {
            refuteStatus(record.state);
            return;
        }
        const auto *known = m_members.find(id);
        const auto incarnation = static_cast<base::incarnation>(record.state.incarnation);
        const bool isNewIncarnation = known == nullptr || known->entry.incarnation < incarnation;
        // A dead node or incarnation that is unknown here needs no entry.
        if (isNewIncarnation
            && record.state.condition >= static_cast<std::int8_t>(liveness_state::Dead)) {
            return;
        }
        const auto result = m_members.mergeRecord(record, now);
        if (result.isSenderOutdated) {
            sendCorrection(from, id);
            return;
        }
        if (result.isChanged) {
            m_isViewOutdated = true;
        }
        if (!isNewIncarnation) {
            mergeStatus(from, record.state, now);
            return;
        }
        m_pendingAddresses.erase(id);
        const auto insertPosition = m_random.below(m_probeOrder.size() + 1);
        m_probeOrder.insert(m_probeOrder.begin() + static_cast<std::ptrdiff_t>(insertPosition), id);
        updateSuspects(*m_members.find(id));
        if (shouldForward) {
            queueUpdate(update_key::kind::Record, id, {});
        }
    }

    auto mergeStatus(const base::node_id &from, const wire::status &status, base::time_point now)
            -> void
    {
        const base::node_id id(status.node);
        if (id == m_selfId) {
            refuteStatus(status);
            return;
        }
        auto adjusted = status;
        const auto *known = m_members.find(id);
        if (known != nullptr && requiresLocalSuspicion(*known, status, now)) {
            adjusted.condition = static_cast<std::int8_t>(liveness_state::Suspect);
        }
        const auto result = m_members.mergeStatus(adjusted, now);
        if (result.isSenderOutdated) {
            sendCorrection(from, id);
        }
        if (result.isChanged) {
            updateSuspects(*m_members.find(id));
            queueUpdate(update_key::kind::Status, id, {});
            m_isViewOutdated = true;
        }
    }

    //! Returns whether a received status `Dead` is to be merged as `Suspect`. A node is declared
    //! dead on the word of another node only after a local suspicion period, during which it can
    //! refute the suspicion. Otherwise, when a partition heals, each side would declare its own
    //! nodes dead because the other side did.
    [[nodiscard]] auto requiresLocalSuspicion(const member &known, const wire::status &status,
                                              base::time_point now) const -> bool
    {
        if (status.condition < static_cast<std::int8_t>(liveness_state::Dead)) {
            return false;
        }
        return known.liveness == liveness_state::Alive
               || (known.liveness == liveness_state::Suspect
                   && now - known.livenessSince < suspicionTimeout(now) / 2);
    }

    //! Raises this node's refutation number above that of `status` if `status` would override the
    //! node's own statement that it is alive.
    auto refuteStatus(const wire::status &status) -> void
    {
        auto &own = *m_members.find(m_selfId);
        const bool isCurrentIncarnation =
                status.incarnation == static_cast<std::int64_t>(own.entry.incarnation);
        const auto refutation = static_cast<std::uint64_t>(status.refutation);
        const bool claimsFailure =
                status.condition != static_cast<std::int8_t>(liveness_state::Alive);
        if (!isCurrentIncarnation || refutation < own.refutation
            || (refutation == own.refutation && !claimsFailure)) {
            return;
        }
        own.refutation = refutation + 1;
        m_members.updateDigest(own);
        queueUpdate(update_key::kind::Status, m_selfId, {});
    }

    //! Sends the local status of `subject` to a node whose information about it is older.
    auto sendCorrection(const base::node_id &to, const base::node_id &subject) -> void
    {
        auto reply = makeMessage(message_kind::Gossip);
        const auto *known = m_members.find(subject);
        const auto *tombstone = m_members.findTombstone(subject);
        if (known == nullptr && tombstone == nullptr) {
            return;
        }
        reply.__set_statuses({known != nullptr ? statusOf(*known) : *tombstone});
        send(to, reply);
    }

    auto updateSuspects(const member &value) -> void
    {
        if (value.liveness == liveness_state::Suspect) {
            m_suspectIds.insert(value.entry.id);
        } else {
            m_suspectIds.erase(value.entry.id);
        }
    }

    auto handlePing(const base::node_id &from, const wire::message &message, base::time_point now)
            -> void
    {
        auto reply = makeMessage(message_kind::Ack);
        reply.__set_number(message.number);
        std::size_t usedBytes = 0;
        const auto *known = m_members.find(from);
        const bool isCurrent =
                known != nullptr
                && known->entry.incarnation >= static_cast<base::incarnation>(message.incarnation);
        if (!isCurrent) {
            storeAddress(from, message);
            // The sender is added to the table when it answers with its record.
            reply.__set_wanted({from.str()});
            usedBytes += from.str().size() + STATUS_OVERHEAD_BYTES;
            if (const auto *tombstone = m_members.findTombstone(from)) {
                reply.__set_statuses({*tombstone});
                usedBytes += maxEncodedBytes(*tombstone);
            }
            appendKnownRecords(reply, usedBytes);
        } else if (known->liveness != liveness_state::Alive) {
            reply.__set_statuses({statusOf(*known)});
            usedBytes += maxEncodedBytes(statusOf(*known));
        }
        piggybackUpdates(reply, usedBytes);
        send(from, reply);
        if (message.__isset.digest && isCurrent) {
            compareDigest(from, message.digest, now);
        }
    }

    auto storeAddress(const base::node_id &from, const wire::message &message) -> void
    {
        if (!message.__isset.introduction) {
            return;
        }
        if (m_pendingAddresses.size() >= MAX_PENDING_ADDRESSES) {
            m_pendingAddresses.clear();
        }
        m_pendingAddresses[from] = memberFrom(message.introduction).entry.peerAddress;
    }

    //! Adds this node's record and those of up to two other nodes, as long as they fit.
    auto appendKnownRecords(wire::message &reply, std::size_t &usedBytes) -> void
    {
        const auto tryReserve = [&usedBytes](std::size_t addedBytes) {
            if (MESSAGE_OVERHEAD_BYTES + usedBytes + addedBytes > MAX_DATAGRAM_PAYLOAD_BYTES) {
                return false;
            }
            usedBytes += addedBytes;
            return true;
        };
        appendRecord(reply, *m_members.find(m_selfId), tryReserve);
        for (const auto &id : pickNodes(2, {})) {
            appendRecord(reply, *m_members.find(id), tryReserve);
        }
    }

    auto compareDigest(const base::node_id &from, std::int32_t digest, base::time_point now) -> void
    {
        if (digest == static_cast<std::int32_t>(m_members.digest())
            || now < m_nextDigestComparisonAt) {
            return;
        }
        // Large fleets change continuously; a longer interval between comparisons limits the
        // traffic.
        const auto intervalSeconds = std::clamp<std::size_t>(m_members.all().size() / 100, 1, 10);
        m_nextDigestComparisonAt = now + std::chrono::seconds(intervalSeconds);
        auto reply = makeMessage(message_kind::Buckets);
        std::vector<std::int32_t> buckets;
        for (const auto bucket : m_members.buckets()) {
            buckets.push_back(static_cast<std::int32_t>(bucket));
        }
        reply.__set_buckets(buckets);
        send(from, reply);
    }

    auto handleBuckets(const base::node_id &from, const wire::message &message) -> void
    {
        if (message.buckets.size() != DIGEST_BUCKETS) {
            return;
        }
        std::vector<std::size_t> differingBuckets;
        for (std::size_t i = 0; i < DIGEST_BUCKETS; ++i) {
            if (static_cast<std::uint32_t>(message.buckets[i]) != m_members.buckets().at(i)) {
                differingBuckets.push_back(i);
            }
        }
        if (differingBuckets.empty()) {
            return;
        }
        std::rotate(differingBuckets.begin(),
                    differingBuckets.begin()
                            + static_cast<std::ptrdiff_t>(m_random.below(differingBuckets.size())),
                    differingBuckets.end());
        sendVersions(from, differingBuckets);
    }

    //! Sends the versions of as many complete buckets as fit into a datagram, at least of one.
    auto sendVersions(const base::node_id &to, const std::vector<std::size_t> &differingBuckets)
            -> void
    {
        std::map<std::size_t, std::vector<wire::version>> versionsByBucket;
        for (const auto &[id, known] : m_members.all()) {
            if (known.liveness != liveness_state::Dead) {
                wire::version version;
                version.state = statusOf(known);
                version.digest = static_cast<std::int32_t>(known.digest);
                versionsByBucket[member_table::bucketOf(id)].push_back(std::move(version));
            }
        }
        auto reply = makeMessage(message_kind::Versions);
        std::size_t sizeBytes = MESSAGE_OVERHEAD_BYTES;
        for (const auto bucket : differingBuckets) {
            std::size_t addedBytes = sizeof(std::int32_t);
            for (const auto &version : versionsByBucket[bucket]) {
                addedBytes += VERSION_OVERHEAD_BYTES + version.state.node.size();
            }
            if (!reply.buckets.empty() && sizeBytes + addedBytes > MAX_DATAGRAM_PAYLOAD_BYTES) {
                break;
            }
            sizeBytes += addedBytes;
            reply.buckets.push_back(static_cast<std::int32_t>(bucket));
            std::move(versionsByBucket[bucket].begin(), versionsByBucket[bucket].end(),
                      std::back_inserter(reply.versions));
        }
        reply.__isset.buckets = true;
        reply.__isset.versions = true;
        send(to, reply);
    }

    auto handleVersions(const base::node_id &from, const wire::message &message) -> void
    {
        std::set<base::node_id> listedIds;
        std::vector<std::string> namesToSend;
        std::vector<std::string> wanted;
        for (const auto &version : message.versions) {
            const base::node_id id(version.state.node);
            listedIds.insert(id);
            const auto *known = m_members.find(id);
            if (known != nullptr && known->digest == static_cast<std::uint32_t>(version.digest)) {
                continue;
            }
            if (known != nullptr) {
                namesToSend.push_back(id.str());
            }
            if (known == nullptr || known->liveness != liveness_state::Dead) {
                wanted.push_back(id.str());
            }
        }
        const std::set<std::int32_t> comparedBuckets(message.buckets.begin(),
                                                     message.buckets.end());
        for (const auto &[id, known] : m_members.all()) {
            const auto bucket = static_cast<std::int32_t>(member_table::bucketOf(id));
            if (comparedBuckets.contains(bucket) && !listedIds.contains(id)
                && known.liveness != liveness_state::Dead) {
                namesToSend.push_back(id.str());
            }
        }
        sendRecords(from, namesToSend, wanted);
    }

    //! Sends records in as many messages as needed. A record that exceeds a datagram goes over the
    //! TCP link.
    auto sendRecords(const base::node_id &to, const std::vector<std::string> &names,
                     const std::vector<std::string> &wantedNames) -> void
    {
        auto message = makeMessage(message_kind::Records);
        std::size_t sizeBytes = MESSAGE_OVERHEAD_BYTES;
        for (const auto &name : wantedNames) {
            sizeBytes += name.size() + sizeof(std::int32_t);
        }
        if (!wantedNames.empty()) {
            message.__set_wanted(wantedNames);
        }
        for (const auto &name : names) {
            const auto *known = m_members.find(base::node_id(name));
            if (known == nullptr) {
                continue;
            }
            auto record = recordOf(*known);
            const auto addedBytes = maxEncodedBytes(record);
            if (!message.records.empty() && sizeBytes + addedBytes > MAX_DATAGRAM_PAYLOAD_BYTES) {
                send(to, message);
                message = makeMessage(message_kind::Records);
                sizeBytes = MESSAGE_OVERHEAD_BYTES;
            }
            sizeBytes += addedBytes;
            message.records.push_back(std::move(record));
            message.__isset.records = true;
        }
        if (!message.records.empty() || !wantedNames.empty()) {
            send(to, message);
        }
    }

    //! Sends the records of all nodes in one message, which goes over the TCP link if it exceeds a
    //! datagram.
    auto handleFullStateRequest(const base::node_id &from) -> void
    {
        auto reply = makeMessage(message_kind::Records);
        reply.__isset.records = true;
        for (const auto &[id, known] : m_members.all()) {
            if (known.liveness != liveness_state::Dead && id != from) {
                reply.records.push_back(recordOf(known));
            }
        }
        // Marks the list as complete for the receiver.
        reply.__set_target(m_selfId.str());
        send(from, reply);
    }

    auto handleAck(const base::node_id &from, const wire::message &message, base::time_point now)
            -> void
    {
        m_lastAnswerAt = now;
        if (message.__isset.wanted) {
            sendRecords(from, message.wanted, {});
        }
        const auto relayedPing = m_relayedPings.find(message.number);
        if (relayedPing != m_relayedPings.end()) {
            auto reply = makeMessage(message_kind::Ack);
            reply.__set_number(relayedPing->second.requesterNumber);
            reply.__set_target(from.str());
            // The target's incarnation and refutation number may refute the requester's suspicion.
            wire::status status;
            status.node = from.str();
            status.incarnation = message.incarnation;
            status.refutation = message.refutation;
            reply.__set_statuses({status});
            send(relayedPing->second.requester, reply);
            m_relayedPings.erase(relayedPing);
        }
        const base::node_id answered(message.__isset.target ? message.target : from.str());
        if (m_probe && m_probe->number == message.number && m_probe->target == answered) {
            m_probe.reset();
            m_healthPenalty = m_healthPenalty > 0 ? m_healthPenalty - 1 : 0;
        }
    }

    auto handlePingRequest(const base::node_id &from, const wire::message &message,
                           base::time_point now) -> void
    {
        const base::node_id target(message.target);
        const auto number = ++m_lastPingNumber;
        m_relayedPings[number] = {from, message.number, now + m_timing.directProbeTimeout};
        sendPing(target, number);
    }

    auto handleNack(const wire::message &message, base::time_point now) -> void
    {
        m_lastAnswerAt = now;
        if (m_probe && m_probe->number == message.number) {
            m_probe->hasHelperAnswered = true;
        }
    }

    auto sendPing(const base::node_id &to, std::int64_t number) -> void
    {
        auto message = makeMessage(message_kind::Ping);
        message.__set_number(number);
        message.__set_digest(static_cast<std::int32_t>(m_members.digest()));
        std::size_t usedBytes = 0;
        const auto *known = m_members.find(to);
        if (known != nullptr && known->liveness != liveness_state::Alive) {
            // Lets the target refute the suspicion.
            message.__set_statuses({statusOf(*known)});
            usedBytes += maxEncodedBytes(message.statuses.front());
        }
        // A target that has removed this node can answer only if the ping carries the address of
        // this node. Unanswered probes, which raise the penalty, show that this may be the case.
        if (known == nullptr || known->liveness == liveness_state::Dead || m_healthPenalty > 0) {
            auto introduction = recordOf(*m_members.find(m_selfId));
            introduction.upstreams.clear();
            usedBytes += maxEncodedBytes(introduction);
            message.__set_introduction(introduction);
        }
        piggybackUpdates(message, usedBytes);
        send(to, message);
    }

    auto advanceProbe(base::time_point now) -> void
    {
        const double slowdown = 1.0 + m_healthPenalty / PROBE_SLOWDOWN_DIVISOR;
        if (m_probe && !m_probe->isIndirect
            && now - m_probe->startedAt >= m_timing.directProbeTimeout * slowdown) {
            requestIndirectProbes();
        }
        if (now < m_nextProbeAt) {
            return;
        }
        if (m_probe) {
            failProbe(now);
        }
        startProbe(now);
        m_nextProbeAt =
                now + std::chrono::duration_cast<base::duration>(m_timing.probePeriod * slowdown);
    }

    auto startProbe(base::time_point now) -> void
    {
        const auto target = nextTarget();
        if (!target) {
            return;
        }
        m_probe = probe{*target, ++m_lastPingNumber, now};
        sendPing(*target, m_probe->number);
    }

    //! Returns the next probe target. Iterates over all nodes in random order, so that each is
    //! probed once per round.
    auto nextTarget() -> std::optional<base::node_id>
    {
        for (int round = 0; round < 2; ++round) {
            while (!m_probeOrder.empty()) {
                const auto id = std::move(m_probeOrder.back());
                m_probeOrder.pop_back();
                const auto *known = m_members.find(id);
                if (known != nullptr && known->liveness != liveness_state::Dead) {
                    return id;
                }
            }
            for (const auto &[id, known] : m_members.all()) {
                if (id != m_selfId && known.liveness != liveness_state::Dead) {
                    m_probeOrder.push_back(id);
                }
            }
            shuffle(m_probeOrder);
        }
        return std::nullopt;
    }

    auto shuffle(std::vector<base::node_id> &ids) -> void
    {
        for (std::size_t i = ids.size(); i > 1; --i) {
            std::swap(ids[i - 1], ids[m_random.below(i)]);
        }
    }

    auto requestIndirectProbes() -> void
    {
        m_probe->isIndirect = true;
        if (const auto *target = m_members.find(m_probe->target)) {
            requestPings(*target, m_probe->number);
        }
    }

    //! Selects nodes for indirect probes. Prefers failure domains other than those of this node and
    //! of the target, because a fault in one of these would affect the direct path and the helper
    //! alike.
    auto pickHelpers(const member &target) -> std::vector<base::node_id>
    {
        const auto own = m_members.find(m_selfId)->entry.failureDomain;
        const auto isInOtherDomain = [&](const member &value) {
            return value.entry.failureDomain != own
                   && value.entry.failureDomain != target.entry.failureDomain;
        };
        auto helpers = pickNodes(INDIRECT_PROBE_HELPERS, [&](const member &value) {
            return value.entry.id != target.entry.id && isInOtherDomain(value);
        });
        if (helpers.size() < INDIRECT_PROBE_HELPERS) {
            const auto sameDomainNodes =
                    pickNodes(INDIRECT_PROBE_HELPERS - helpers.size(), [&](const member &value) {
                        return value.entry.id != target.entry.id && !isInOtherDomain(value);
                    });
            helpers.insert(helpers.end(), sameDomainNodes.begin(), sameDomainNodes.end());
        }
        return helpers;
    }

    //! Selects up to `count` random live nodes that satisfy `filter`, if one is given.
    auto pickNodes(std::size_t count, const std::function<bool(const member &)> &filter)
            -> std::vector<base::node_id>
    {
        std::vector<base::node_id> picked;
        std::size_t candidateCount = 0;
        for (const auto &[id, known] : m_members.all()) {
            if (id == m_selfId || known.liveness != liveness_state::Alive
                || (filter && !filter(known))) {
                continue;
            }
            ++candidateCount;
            if (picked.size() < count) {
                picked.push_back(id);
            } else if (const auto replacedIndex = m_random.below(candidateCount);
                       replacedIndex < count) {
                picked[replacedIndex] = id;
            }
        }
        return picked;
    }

    auto failProbe(base::time_point now) -> void
    {
        const auto failedProbe = *std::exchange(m_probe, std::nullopt);
        if (!failedProbe.hasHelperAnswered) {
            // No helper answered either, so the fault may be on this node.
            m_healthPenalty = std::min(m_healthPenalty + 1, MAX_HEALTH_PENALTY);
        }
        auto *known = m_members.find(failedProbe.target);
        if (known == nullptr || known->liveness != liveness_state::Alive) {
            return;
        }
        known->liveness = liveness_state::Suspect;
        known->livenessSince = now;
        known->suspicionChecks = 0;
        m_members.updateDigest(*known);
        m_suspectIds.insert(failedProbe.target);
        if (!isIsolated(now)) {
            queueUpdate(update_key::kind::Status, failedProbe.target, {});
        }
        m_isViewOutdated = true;
    }

    [[nodiscard]] auto isIsolated(base::time_point now) const -> bool
    {
        return now - m_lastAnswerAt >= ISOLATION_PROBE_PERIODS * m_timing.probePeriod;
    }

    [[nodiscard]] auto suspicionTimeout(base::time_point now) const -> base::duration
    {
        const auto nodeCount = static_cast<double>(m_members.all().size());
        const double fleetSizeFactor = std::max(1.0, std::log10(nodeCount));
        const double penaltyFactor = 1.0 + m_healthPenalty / 2.0;
        const double isolationFactor = isIsolated(now) ? ISOLATION_SUSPICION_FACTOR : 1;
        return std::chrono::duration_cast<base::duration>(
                m_timing.minSuspicionTimeout * fleetSizeFactor * penaltyFactor * isolationFactor);
    }

    auto expireSuspicions(base::time_point now) -> void
    {
        if (m_suspectIds.empty()) {
            return;
        }
        const auto timeout = suspicionTimeout(now);
        for (const auto &id : std::set(m_suspectIds)) {
            auto *known = m_members.find(id);
            if (known == nullptr || known->liveness != liveness_state::Suspect) {
                m_suspectIds.erase(id);
                continue;
            }
            const auto age = now - known->livenessSince;
            if (known->suspicionChecks < SUSPICION_CHECKS
                && age >= timeout * (known->suspicionChecks + 1) / (SUSPICION_CHECKS + 1)) {
                ++known->suspicionChecks;
                checkSuspect(*known);
            }
            if (age < timeout) {
                continue;
            }
            known->liveness = liveness_state::Dead;
            known->livenessSince = now;
            m_members.updateDigest(*known);
            m_suspectIds.erase(id);
            if (!isIsolated(now)) {
                queueUpdate(update_key::kind::Status, id, {});
            }
            m_isViewOutdated = true;
        }
    }

    //! Notifies a suspect of the suspicion, directly and through other nodes, so that it can refute
    //! it.
    auto checkSuspect(const member &suspect) -> void
    {
        sendPing(suspect.entry.id, ++m_lastPingNumber);
        requestPings(suspect, ++m_lastPingNumber);
    }

    auto requestPings(const member &target, std::int64_t number) -> void
    {
        for (const auto &helper : pickHelpers(target)) {
            auto message = makeMessage(message_kind::PingRequest);
            message.__set_number(number);
            message.__set_target(target.entry.id.str());
            if (target.liveness != liveness_state::Alive) {
                message.__set_statuses({statusOf(target)});
            }
            send(helper, message);
        }
    }

    auto expireRelays(base::time_point now) -> void
    {
        for (auto current = m_relayedPings.begin(); current != m_relayedPings.end();) {
            if (now < current->second.deadline) {
                ++current;
                continue;
            }
            auto reply = makeMessage(message_kind::Nack);
            reply.__set_number(current->second.requesterNumber);
            send(current->second.requester, reply);
            current = m_relayedPings.erase(current);
        }
    }

    //! Pings a random dead node to heal partitions, and unknown seeds to join: all of them while no
    //! other node is known, otherwise a random one.
    auto reconnect(base::time_point now) -> void
    {
        std::vector<base::node_id> candidates;
        for (const auto &[id, known] : m_members.all()) {
            if (known.liveness == liveness_state::Dead) {
                candidates.push_back(id);
            }
        }
        if (!candidates.empty()) {
            sendPing(candidates[m_random.below(candidates.size())], ++m_lastPingNumber);
        }
        std::vector<base::node_id> seeds;
        for (const auto &seed : m_seeds) {
            if (seed.id != m_selfId && m_members.find(seed.id) == nullptr) {
                seeds.push_back(seed.id);
            }
        }
        const bool hasNoPeers = m_members.all().size() == 1;
        if (hasNoPeers) {
            for (const auto &seed : seeds) {
                sendPing(seed, ++m_lastPingNumber);
            }
        } else if (!seeds.empty()) {
            sendPing(seeds[m_random.below(seeds.size())], ++m_lastPingNumber);
        }
        // A node that has not joined retries at the shorter probe period.
        m_nextReconnectAt = now + (hasNoPeers ? m_timing.probePeriod : m_timing.reconnectPeriod);
    }

    auto requestFullState(base::time_point now) -> void
    {
        const auto known = pickNodes(1, {});
        if (known.empty()) {
            return;
        }
        send(known.front(), makeMessage(message_kind::FullStateRequest));
        m_nextFullStateRequestAt = now + 2 * m_timing.probePeriod;
    }

    auto gossip(base::time_point now) -> void
    {
        for (const auto &to : pickNodes(GOSSIP_FANOUT, {})) {
            auto message = makeMessage(message_kind::Gossip);
            piggybackUpdates(message, 0);
            if (message.__isset.statuses || message.__isset.changes || message.__isset.records) {
                send(to, message);
            }
        }
        m_nextGossipAt = now + m_timing.gossipPeriod;
    }

    //! Restarts probing and extends suspicions by the length of a pause of this process. Answers
    //! that arrived during the pause have not been read yet, so their absence proves nothing.
    auto recoverFromPause(base::duration tickGap, base::time_point now) -> void
    {
        m_probe.reset();
        m_relayedPings.clear();
        m_healthPenalty = std::min(m_healthPenalty + 1, MAX_HEALTH_PENALTY);
        m_lastAnswerAt = now;
        for (const auto &id : m_suspectIds) {
            if (auto *known = m_members.find(id)) {
                // A suspicion received after the pause must not start in the future.
                known->livenessSince = std::min(known->livenessSince + tickGap, now);
            }
        }
        m_nextProbeAt = now + m_timing.directProbeTimeout;
    }

    auto removeExpired(base::time_point now) -> void
    {
        m_nextCleanupAt = now + CLEANUP_INTERVAL;
        std::vector<base::node_id> expiredIds;
        for (const auto &[id, known] : m_members.all()) {
            if (known.liveness == liveness_state::Dead
                && now - known.livenessSince >= m_timing.deadNodeRetention) {
                expiredIds.push_back(id);
            }
        }
        for (const auto &id : expiredIds) {
            m_members.remove(id, now);
            m_isViewOutdated = true;
        }
        m_members.expireTombstones(now - m_timing.tombstoneRetention);
        auto &own = *m_members.find(m_selfId);
        std::erase_if(m_withdrawnAt, [&](const auto &item) {
            if (now - item.second < m_timing.withdrawnUpstreamRetention) {
                return false;
            }
            const auto position = own.upstreams.find(item.first);
            if (position != own.upstreams.end() && position->second.state == upstream_state::Gone) {
                own.upstreams.erase(position);
            }
            return true;
        });
    }

    auto publishView(base::time_point now) -> void
    {
        std::vector<node_entry> nodes;
        nodes.reserve(m_members.all().size());
        for (const auto &[id, known] : m_members.all()) {
            auto entry = known.entry;
            entry.state = stateOf(known);
            for (const auto &[name, upstream] : known.upstreams) {
                if (upstream.state != upstream_state::Gone) {
                    entry.upstreams.push_back(upstream);
                }
            }
            nodes.push_back(std::move(entry));
        }
        m_view.store(std::make_shared<const membership::view>(++m_viewVersion, std::move(nodes)));
        m_isViewOutdated = false;
        m_nextViewAt = now + VIEW_INTERVAL;
    }

    base::node_id m_selfId;
    std::vector<seed_node> m_seeds;
    directory_timing m_timing;
    base::random_source m_random;
    base::snapshot_cell<membership::view> m_view;
    member_table m_members;
    gossip_queue m_gossipQueue;
    messages m_outgoing;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_viewVersion = 0;
    bool m_isViewOutdated = false;
    bool m_hasFullState = false;
    //! Times at which own upstreams were withdrawn, by local name.
    std::map<std::string, base::time_point> m_withdrawnAt;
    //! Addresses of nodes that sent a ping but not yet their record.
    std::map<base::node_id, endpoint> m_pendingAddresses;

    std::optional<probe> m_probe;
    std::int64_t m_lastPingNumber = 0;
    std::vector<base::node_id> m_probeOrder;
    std::map<std::int64_t, relayed_ping> m_relayedPings;
    std::set<base::node_id> m_suspectIds;
    //! Raised by each probe without any answer and by each pause, lowered by each answered probe;
    //! slows down the failure detector.
    unsigned m_healthPenalty = 0;

    base::time_point m_lastTickAt;
    base::time_point m_nextProbeAt;
    base::time_point m_nextReconnectAt;
    base::time_point m_nextFullStateRequestAt;
    base::time_point m_nextCleanupAt;
    base::time_point m_nextGossipAt;
    base::time_point m_nextDigestComparisonAt;
    base::time_point m_nextViewAt;
    base::time_point m_lastAnswerAt;
};

directory::directory(local_node self, std::vector<seed_node> seeds, directory_timing timing,
                     std::uint64_t randomSeed, base::time_point now)
    : m_state(std::make_unique<directory_state>(std::move(self), std::move(seeds), timing,
                                                randomSeed, now))
{}

directory::~directory() = default;

auto directory::receive(const base::node_id &from, std::string_view payload, base::time_point now)
        -> messages
{
    return m_state->receive(from, payload, now);
}

auto directory::tick(base::time_point now) -> messages
{
    return m_state->tick(now);
}

auto directory::publish(const upstream_entry &announced, base::time_point now) -> bool
{
    return m_state->publish(announced, now);
}

auto directory::withdraw(const base::upstream_id &id, base::time_point now) -> void
{
    m_state->withdraw(id, now);
}

auto directory::setEjected(const base::upstream_id &id, bool ejected, base::time_point now) -> void
{
    m_state->setEjected(id, ejected, now);
}

auto directory::leave(base::time_point now) -> void
{
    m_state->leave(now);
}

auto directory::endpointOf(const base::node_id &node) const -> std::optional<endpoint>
{
    return m_state->endpointOf(node);
}

auto directory::view() const -> const base::snapshot_cell<membership::view> &
{
    return m_state->view();
}

} // namespace hawthornpick::membership
