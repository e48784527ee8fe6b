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
    //! Asks the receiver to ping `target`.
    PingRequest = 3,
    //! The target of a ping request did not answer in time.
    Nack = 4,
    Gossip = 5,
    //! Digests of all buckets, sent after a ping with another digest.
    Buckets = 6,
    //! Versions of the nodes in differing buckets.
    Versions = 7,
    //! Records that the receiver lacks, and names of records that the sender lacks.
    Records = 8,
    //! Asks for all records.
    FullRequest = 9,
};

constexpr std::size_t INDIRECT_PROBES = 3;
constexpr std::size_t GOSSIP_FANOUT = 3;
//! A payload that may be sent as a datagram.
constexpr std::size_t MAX_PAYLOAD_BYTES = 1200;
//! Upper bounds of the encoded sizes besides the names.
constexpr std::size_t MESSAGE_BYTES = 64;
constexpr std::size_t STATUS_BYTES = 32;
constexpr std::size_t UPSTREAM_BYTES = 44;
constexpr std::size_t RECORD_BYTES = 64;
constexpr std::size_t VERSION_BYTES = 40;
constexpr unsigned MAX_HEALTH_PENALTY = 8;
//! Checks of a suspect, spread over the time of suspicion. Gossip alone may miss the suspect,
//! which then could not refute.
constexpr int SUSPICION_CHECKS = 2;
//! The penalty makes probes up to three times slower; more would delay the recovery of a node that
//! was away, which takes one answered probe for each step of the penalty.
constexpr double PROBE_SLOWDOWN_DIVISOR = 4.0;
//! A longer gap between ticks shows that this process did not run.
constexpr base::milliseconds PAUSE_LIMIT{500};
constexpr base::milliseconds VIEW_INTERVAL{100};
constexpr base::milliseconds HOUSEKEEPING_INTERVAL{1000};
//! Probe periods without any answer after which a node doubts its own connection.
constexpr int ISOLATION_PERIODS = 3;
//! An isolated node waits this many times longer before it holds others for dead.
constexpr int ISOLATION_FACTOR = 4;
//! Addresses of nodes that asked and have not yet sent their record.
constexpr std::size_t MAX_UNKNOWN_NODES = 1024;

struct probe
{
    base::node_id target;
    std::int64_t number = 0;
    base::time_point startedAt;
    bool isIndirect = false;
    bool isHelperHeard = false;
};

//! A ping made for another node.
struct relay
{
    base::node_id requester;
    std::int64_t requesterNumber = 0;
    base::time_point deadline;
};

auto sizeOf(const wire::status &status) -> std::size_t
{
    return STATUS_BYTES + status.node.size();
}

auto sizeOf(const wire::upstream &upstream) -> std::size_t
{
    return UPSTREAM_BYTES + upstream.name.size() + upstream.service_name.size();
}

auto sizeOf(const wire::change &change) -> std::size_t
{
    return STATUS_BYTES + change.node.size() + (change.__isset.entry ? sizeOf(change.entry) : 0);
}

auto sizeOf(const wire::record &record) -> std::size_t
{
    std::size_t size = RECORD_BYTES + sizeOf(record.state) + record.host.size()
                       + record.region.size() + record.failure_domain.size()
                       + record.address.size();
    for (const auto &upstream : record.upstreams) {
        size += sizeOf(upstream);
    }
    return size;
}

auto stateOf(const member &value) -> node_state
{
    if (value.opinion == condition::Dead) {
        return node_state::Dead;
    }
    if (value.isLeaving) {
        return node_state::Leaving;
    }
    return value.opinion == condition::Suspect ? node_state::Suspect : node_state::Alive;
}

} // namespace

class directory_state
{
public:
    using messages = directory::messages;

    directory_state(local_node self, std::vector<seed_node> seeds, directory_times times,
                    std::uint64_t randomSeed, base::time_point now)
        : m_self(std::move(self.id)), m_seeds(std::move(seeds)), m_times(times),
          m_random(randomSeed), m_view(std::make_shared<const membership::view>()), m_lastTick(now),
          m_nextProbe(now), m_nextReconnect(now), m_nextFullRequest(now), m_lastAnswer(now)
    {
        member own;
        own.entry.id = m_self;
        own.entry.incarnation = self.incarnation;
        own.entry.host = std::move(self.host);
        own.entry.region = std::move(self.region);
        own.entry.failureDomain = std::move(self.failureDomain);
        own.entry.peerAddress = std::move(self.peerAddress);
        m_members.put(std::move(own));
        m_isSynchronised = std::none_of(m_seeds.begin(), m_seeds.end(),
                                        [this](const auto &seed) { return seed.id != m_self; });
        publishView(now);
    }

    auto receive(const base::node_id &from, std::string_view payload, base::time_point now)
            -> messages
    {
        const auto message = base::decodeThrift<wire::message>(payload);
        if (!message || from == m_self) {
            return {};
        }
        m_out.clear();
        merge(from, *message, now);
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
            // Only the answer to a request for all records names its sender.
            m_isSynchronised |= message->__isset.target;
            sendRecords(from, message->wanted, {});
            break;
        case message_kind::FullRequest:
            handleFullRequest(from);
            break;
        }
        return std::exchange(m_out, {});
    }

    auto tick(base::time_point now) -> messages
    {
        m_out.clear();
        const auto gap = now - m_lastTick;
        m_lastTick = now;
        if (gap > PAUSE_LIMIT) {
            recoverFromPause(gap, now);
        }
        advanceProbe(now);
        expireRelays(now);
        expireSuspicions(now);
        if (now >= m_nextReconnect) {
            reconnect(now);
        }
        if (!m_isSynchronised && now >= m_nextFullRequest) {
            requestFullState(now);
        }
        if (now >= m_nextHousekeeping) {
            keepHouse(now);
        }
        if (!m_gossip.empty() && now >= m_nextGossip) {
            gossip(now);
        }
        if (m_isDirty && now >= m_nextView) {
            publishView(now);
        }
        return std::exchange(m_out, {});
    }

    auto publish(const upstream_entry &announced, base::time_point now) -> bool
    {
        auto &own = *m_members.find(m_self);
        const auto name = localName(m_self, announced.id);
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
        change(own, name, std::move(next), now);
        return true;
    }

    auto withdraw(const base::upstream_id &id, base::time_point now) -> void
    {
        auto &own = *m_members.find(m_self);
        const auto name = localName(m_self, id);
        const auto position = own.upstreams.find(name);
        if (position == own.upstreams.end() || position->second.state == upstream_state::Gone) {
            return;
        }
        auto next = position->second;
        next.state = upstream_state::Gone;
        next.ejected = false;
        m_withdrawn[name] = now;
        change(own, name, std::move(next), now);
    }

    auto setEjected(const base::upstream_id &id, bool ejected, base::time_point now) -> void
    {
        auto &own = *m_members.find(m_self);
        const auto name = localName(m_self, id);
        const auto position = own.upstreams.find(name);
        if (position == own.upstreams.end() || position->second.state == upstream_state::Gone
            || position->second.ejected == ejected) {
            return;
        }
        auto next = position->second;
        next.ejected = ejected;
        change(own, name, std::move(next), now);
    }

    auto leave(base::time_point now) -> void
    {
        auto &own = *m_members.find(m_self);
        if (own.isLeaving) {
            return;
        }
        own.isLeaving = true;
        m_members.refresh(own);
        queue(update_key::kind::Change, m_self, {});
        m_nextGossip = now;
        m_isDirty = true;
    }

    [[nodiscard]] auto endpointOf(const base::node_id &node) const -> std::optional<endpoint>
    {
        const auto position = m_unknown.find(node);
        if (position != m_unknown.end()) {
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
    auto change(member &own, const std::string &name, upstream_entry next, base::time_point now)
            -> void
    {
        next.sequence = ++m_sequence;
        own.complete = m_sequence;
        own.upstreams[name] = std::move(next);
        m_members.refresh(own);
        queue(update_key::kind::Change, m_self, name);
        m_nextGossip = now;
        m_isDirty = true;
    }

    auto queue(update_key::kind type, const base::node_id &node, const std::string &upstream)
            -> void
    {
        const auto size = static_cast<double>(m_members.all().size() + 1);
        // Enough copies that each node receives an update with high probability.
        const auto transmissions = static_cast<unsigned>(std::ceil(2 + 1.3 * std::log(size)));
        m_gossip.push({type, node, upstream}, transmissions);
    }

    //! Starts a message with the sender's own numbers.
    [[nodiscard]] auto start(message_kind kind) const -> wire::message
    {
        const auto &own = *m_members.find(m_self);
        wire::message message;
        message.kind = static_cast<std::int8_t>(kind);
        message.incarnation = static_cast<std::int64_t>(own.entry.incarnation);
        message.refutation = static_cast<std::int64_t>(own.refutation);
        return message;
    }

    auto send(const base::node_id &to, const wire::message &message) -> void
    {
        m_out.push_back({to, base::channel::Membership, base::encodeThrift(message)});
    }

    //! Adds queued updates as far as they fit into a datagram.
    auto piggyback(wire::message &message, std::size_t usedBytes) -> void
    {
        std::size_t size = MESSAGE_BYTES + usedBytes;
        const auto fits = [&size](std::size_t more) {
            if (size + more > MAX_PAYLOAD_BYTES) {
                return false;
            }
            size += more;
            return true;
        };
        m_gossip.take([&](const update_key &key) {
            const auto *known = m_members.find(key.node);
            if (known == nullptr) {
                return true;
            }
            if (key.type == update_key::kind::Status) {
                return appendStatus(message, statusOf(*known), fits);
            }
            if (key.type == update_key::kind::Change) {
                return appendChange(message, *known, key.upstream, fits);
            }
            return appendRecord(message, *known, fits);
        });
    }

    template <typename Fits>
    static auto appendStatus(wire::message &message, wire::status status, const Fits &fits) -> bool
    {
        if (!fits(sizeOf(status))) {
            return false;
        }
        message.statuses.push_back(std::move(status));
        message.__isset.statuses = true;
        return true;
    }

    template <typename Fits>
    static auto appendChange(wire::message &message, const member &known,
                             const std::string &upstream, const Fits &fits) -> bool
    {
        wire::change change;
        change.node = known.entry.id.str();
        change.incarnation = static_cast<std::int64_t>(known.entry.incarnation);
        change.leaving = known.isLeaving;
        const auto position = known.upstreams.find(upstream);
        if (position != known.upstreams.end()) {
            change.__set_entry(wireUpstream(upstream, position->second));
        }
        if (!fits(sizeOf(change))) {
            return false;
        }
        message.changes.push_back(std::move(change));
        message.__isset.changes = true;
        return true;
    }

    template <typename Fits>
    static auto appendRecord(wire::message &message, const member &known, const Fits &fits) -> bool
    {
        auto record = recordOf(known);
        const auto size = sizeOf(record);
        if (size > MAX_PAYLOAD_BYTES - MESSAGE_BYTES) {
            // Too large for any datagram; anti-entropy carries it over the link.
            return true;
        }
        if (!fits(size)) {
            return false;
        }
        message.records.push_back(std::move(record));
        message.__isset.records = true;
        return true;
    }

    auto merge(const base::node_id &from, const wire::message &message, base::time_point now)
            -> void
    {
        const auto kind = static_cast<message_kind>(message.kind);
        for (const auto &record : message.records) {
            // Anti-entropy spreads by itself; passing all its records on would flood the fleet.
            const bool isNews = kind != message_kind::Records || record.state.node == from.str();
            mergeRecord(from, record, isNews, now);
        }
        for (const auto &status : message.statuses) {
            mergeStatus(from, status, now);
        }
        for (const auto &change : message.changes) {
            if (change.node != m_self.str() && m_members.mergeChange(change).isChanged) {
                queue(update_key::kind::Change, base::node_id(change.node),
                      change.__isset.entry ? change.entry.name : std::string());
                m_isDirty = true;
            }
        }
        // The sender's own numbers refute what is said of it.
        wire::status own;
        own.node = from.str();
        own.incarnation = message.incarnation;
        own.refutation = message.refutation;
        mergeStatus(from, own, now);
    }

    auto mergeRecord(const base::node_id &from, const wire::record &record, bool isNews,
                     base::time_point now) -> void
    {
        const base::node_id id(record.state.node);
        if (id == m_self) {
            refute(record.state);
            return;
        }
        const auto *before = m_members.find(id);
        const auto number = static_cast<base::incarnation>(record.state.incarnation);
        const bool isNewProcess = before == nullptr || before->entry.incarnation < number;
        // A dead node that nobody here knew needs no entry.
        if (isNewProcess && record.state.condition >= static_cast<std::int8_t>(condition::Dead)) {
            return;
        }
        const auto result = m_members.mergeRecord(record, now);
        if (result.isStale) {
            correct(from, id);
            return;
        }
        if (result.isChanged) {
            m_isDirty = true;
        }
        if (!isNewProcess) {
            mergeStatus(from, record.state, now);
            return;
        }
        m_unknown.erase(id);
        const auto place = m_random.below(m_probeOrder.size() + 1);
        m_probeOrder.insert(m_probeOrder.begin() + static_cast<std::ptrdiff_t>(place), id);
        watch(*m_members.find(id));
        if (isNews) {
            queue(update_key::kind::Record, id, {});
        }
    }

    auto mergeStatus(const base::node_id &from, const wire::status &status, base::time_point now)
            -> void
    {
        const base::node_id id(status.node);
        if (id == m_self) {
            refute(status);
            return;
        }
        auto accepted = status;
        const auto *known = m_members.find(id);
        if (known != nullptr && isDoubtful(*known, status, now)) {
            accepted.condition = static_cast<std::int8_t>(condition::Suspect);
        }
        const auto result = m_members.mergeStatus(accepted, now);
        if (result.isStale) {
            correct(from, id);
        }
        if (result.isChanged) {
            watch(*m_members.find(id));
            queue(update_key::kind::Status, id, {});
            m_isDirty = true;
        }
    }

    //! Another node's statement of death counts only after a time of suspicion here, in which the
    //! node can refute it. Otherwise each side of a healed partition would hold its own nodes for
    //! dead on the other side's word.
    [[nodiscard]] auto isDoubtful(const member &known, const wire::status &status,
                                  base::time_point now) const -> bool
    {
        if (status.condition < static_cast<std::int8_t>(condition::Dead)) {
            return false;
        }
        return known.opinion == condition::Alive
               || (known.opinion == condition::Suspect
                   && now - known.opinionSince < suspicionTime(now) / 2);
    }

    auto refute(const wire::status &status) -> void
    {
        auto &own = *m_members.find(m_self);
        const bool isAboutThisProcess =
                status.incarnation == static_cast<std::int64_t>(own.entry.incarnation);
        const auto refutation = static_cast<std::uint64_t>(status.refutation);
        const bool isBad = status.condition != static_cast<std::int8_t>(condition::Alive);
        if (!isAboutThisProcess || refutation < own.refutation
            || (refutation == own.refutation && !isBad)) {
            return;
        }
        own.refutation = refutation + 1;
        m_members.refresh(own);
        queue(update_key::kind::Status, m_self, {});
    }

    //! Tells a node that its knowledge of `subject` is older than what is known here.
    auto correct(const base::node_id &to, const base::node_id &subject) -> void
    {
        auto reply = start(message_kind::Gossip);
        const auto *known = m_members.find(subject);
        const auto *last = m_members.forgotten(subject);
        if (known == nullptr && last == nullptr) {
            return;
        }
        reply.__set_statuses({known != nullptr ? statusOf(*known) : *last});
        send(to, reply);
    }

    auto watch(const member &value) -> void
    {
        if (value.opinion == condition::Suspect) {
            m_suspects.insert(value.entry.id);
        } else {
            m_suspects.erase(value.entry.id);
        }
    }

    auto handlePing(const base::node_id &from, const wire::message &message, base::time_point now)
            -> void
    {
        auto reply = start(message_kind::Ack);
        reply.__set_number(message.number);
        std::size_t used = 0;
        const auto *known = m_members.find(from);
        const bool isCurrent =
                known != nullptr
                && known->entry.incarnation >= static_cast<base::incarnation>(message.incarnation);
        if (!isCurrent) {
            noteAddress(from, message);
            // The sender becomes known when it answers with its record.
            reply.__set_wanted({from.str()});
            used += from.str().size() + STATUS_BYTES;
            if (const auto *last = m_members.forgotten(from)) {
                reply.__set_statuses({*last});
                used += sizeOf(*last);
            }
            introduce(reply, used);
        } else if (known->opinion != condition::Alive) {
            reply.__set_statuses({statusOf(*known)});
            used += sizeOf(statusOf(*known));
        }
        piggyback(reply, used);
        send(from, reply);
        if (message.__isset.digest && isCurrent) {
            compareDigest(from, message.digest, now);
        }
    }

    auto noteAddress(const base::node_id &from, const wire::message &message) -> void
    {
        if (!message.__isset.introduction) {
            return;
        }
        if (m_unknown.size() >= MAX_UNKNOWN_NODES) {
            m_unknown.clear();
        }
        m_unknown[from] = memberFrom(message.introduction).entry.peerAddress;
    }

    //! Adds the own record and those of some other nodes, as far as they fit.
    auto introduce(wire::message &reply, std::size_t &used) -> void
    {
        const auto fits = [&used](std::size_t more) {
            if (MESSAGE_BYTES + used + more > MAX_PAYLOAD_BYTES) {
                return false;
            }
            used += more;
            return true;
        };
        appendRecord(reply, *m_members.find(m_self), fits);
        for (const auto &id : pickNodes(2, {})) {
            appendRecord(reply, *m_members.find(id), fits);
        }
    }

    auto compareDigest(const base::node_id &from, std::int32_t digest, base::time_point now) -> void
    {
        if (digest == static_cast<std::int32_t>(m_members.digest()) || now < m_nextComparison) {
            return;
        }
        // Large fleets change all the time; comparing less often keeps the traffic small.
        const auto seconds = std::clamp<std::size_t>(m_members.all().size() / 100, 1, 10);
        m_nextComparison = now + std::chrono::seconds(seconds);
        auto reply = start(message_kind::Buckets);
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
        std::vector<std::size_t> differing;
        for (std::size_t i = 0; i < DIGEST_BUCKETS; ++i) {
            if (static_cast<std::uint32_t>(message.buckets[i]) != m_members.buckets().at(i)) {
                differing.push_back(i);
            }
        }
        if (differing.empty()) {
            return;
        }
        std::rotate(differing.begin(),
                    differing.begin()
                            + static_cast<std::ptrdiff_t>(m_random.below(differing.size())),
                    differing.end());
        sendVersions(from, differing);
    }

    //! Sends the versions of as many whole buckets as fit into a datagram, at least one.
    auto sendVersions(const base::node_id &to, const std::vector<std::size_t> &differing) -> void
    {
        std::map<std::size_t, std::vector<wire::version>> byBucket;
        for (const auto &[id, known] : m_members.all()) {
            if (known.opinion != condition::Dead) {
                wire::version version;
                version.state = statusOf(known);
                version.digest = static_cast<std::int32_t>(known.digest);
                byBucket[member_table::bucketOf(id)].push_back(std::move(version));
            }
        }
        auto reply = start(message_kind::Versions);
        std::size_t size = MESSAGE_BYTES;
        for (const auto bucket : differing) {
            std::size_t more = sizeof(std::int32_t);
            for (const auto &version : byBucket[bucket]) {
                more += VERSION_BYTES + version.state.node.size();
            }
            if (!reply.buckets.empty() && size + more > MAX_PAYLOAD_BYTES) {
                break;
            }
            size += more;
            reply.buckets.push_back(static_cast<std::int32_t>(bucket));
            std::move(byBucket[bucket].begin(), byBucket[bucket].end(),
                      std::back_inserter(reply.versions));
        }
        reply.__isset.buckets = true;
        reply.__isset.versions = true;
        send(to, reply);
    }

    auto handleVersions(const base::node_id &from, const wire::message &message) -> void
    {
        std::set<base::node_id> listed;
        std::vector<std::string> known;
        std::vector<std::string> wanted;
        for (const auto &version : message.versions) {
            const base::node_id id(version.state.node);
            listed.insert(id);
            const auto *own = m_members.find(id);
            if (own != nullptr && own->digest == static_cast<std::uint32_t>(version.digest)) {
                continue;
            }
            if (own != nullptr) {
                known.push_back(id.str());
            }
            if (own == nullptr || own->opinion != condition::Dead) {
                wanted.push_back(id.str());
            }
        }
        const std::set<std::int32_t> buckets(message.buckets.begin(), message.buckets.end());
        for (const auto &[id, own] : m_members.all()) {
            const auto bucket = static_cast<std::int32_t>(member_table::bucketOf(id));
            if (buckets.contains(bucket) && !listed.contains(id)
                && own.opinion != condition::Dead) {
                known.push_back(id.str());
            }
        }
        sendRecords(from, known, wanted);
    }

    //! Sends records in as many messages as needed; a large one goes over the link.
    auto sendRecords(const base::node_id &to, const std::vector<std::string> &names,
                     const std::vector<std::string> &wanted) -> void
    {
        auto message = start(message_kind::Records);
        std::size_t size = MESSAGE_BYTES;
        for (const auto &name : wanted) {
            size += name.size() + sizeof(std::int32_t);
        }
        if (!wanted.empty()) {
            message.__set_wanted(wanted);
        }
        for (const auto &name : names) {
            const auto *known = m_members.find(base::node_id(name));
            if (known == nullptr) {
                continue;
            }
            auto record = recordOf(*known);
            const auto more = sizeOf(record);
            if (!message.records.empty() && size + more > MAX_PAYLOAD_BYTES) {
                send(to, message);
                message = start(message_kind::Records);
                size = MESSAGE_BYTES;
            }
            size += more;
            message.records.push_back(std::move(record));
            message.__isset.records = true;
        }
        if (!message.records.empty() || !wanted.empty()) {
            send(to, message);
        }
    }

    //! Sends all records in one message, which goes over the link.
    auto handleFullRequest(const base::node_id &from) -> void
    {
        auto reply = start(message_kind::Records);
        reply.__isset.records = true;
        for (const auto &[id, known] : m_members.all()) {
            if (known.opinion != condition::Dead && id != from) {
                reply.records.push_back(recordOf(known));
            }
        }
        // Tells the receiver that the list is whole.
        reply.__set_target(m_self.str());
        send(from, reply);
    }

    auto handleAck(const base::node_id &from, const wire::message &message, base::time_point now)
            -> void
    {
        m_lastAnswer = now;
        if (message.__isset.wanted) {
            sendRecords(from, message.wanted, {});
        }
        const auto relayed = m_relays.find(message.number);
        if (relayed != m_relays.end()) {
            auto reply = start(message_kind::Ack);
            reply.__set_number(relayed->second.requesterNumber);
            reply.__set_target(from.str());
            // The target's own numbers may refute the requester's suspicion.
            wire::status status;
            status.node = from.str();
            status.incarnation = message.incarnation;
            status.refutation = message.refutation;
            reply.__set_statuses({status});
            send(relayed->second.requester, reply);
            m_relays.erase(relayed);
        }
        const base::node_id answered(message.__isset.target ? message.target : from.str());
        if (m_probe && m_probe->number == message.number && m_probe->target == answered) {
            m_probe.reset();
            m_penalty = m_penalty > 0 ? m_penalty - 1 : 0;
        }
    }

    auto handlePingRequest(const base::node_id &from, const wire::message &message,
                           base::time_point now) -> void
    {
        const base::node_id target(message.target);
        const auto number = ++m_lastNumber;
        m_relays[number] = {from, message.number, now + m_times.directTimeout};
        sendPing(target, number);
    }

    auto handleNack(const wire::message &message, base::time_point now) -> void
    {
        m_lastAnswer = now;
        if (m_probe && m_probe->number == message.number) {
            m_probe->isHelperHeard = true;
        }
    }

    auto sendPing(const base::node_id &to, std::int64_t number) -> void
    {
        auto message = start(message_kind::Ping);
        message.__set_number(number);
        message.__set_digest(static_cast<std::int32_t>(m_members.digest()));
        std::size_t used = 0;
        const auto *known = m_members.find(to);
        if (known != nullptr && known->opinion != condition::Alive) {
            // Gives the target the chance to refute.
            message.__set_statuses({statusOf(*known)});
            used += sizeOf(message.statuses.front());
        }
        // A target that forgot this node can answer only if it learns the address. A node that was
        // away for long notices by unanswered probes.
        if (known == nullptr || known->opinion == condition::Dead || m_penalty > 0) {
            auto introduction = recordOf(*m_members.find(m_self));
            introduction.upstreams.clear();
            used += sizeOf(introduction);
            message.__set_introduction(introduction);
        }
        piggyback(message, used);
        send(to, message);
    }

    auto advanceProbe(base::time_point now) -> void
    {
        const double slowdown = 1.0 + m_penalty / PROBE_SLOWDOWN_DIVISOR;
        if (m_probe && !m_probe->isIndirect
            && now - m_probe->startedAt >= m_times.directTimeout * slowdown) {
            probeIndirectly();
        }
        if (now < m_nextProbe) {
            return;
        }
        if (m_probe) {
            failProbe(now);
        }
        startProbe(now);
        m_nextProbe =
                now + std::chrono::duration_cast<base::duration>(m_times.probePeriod * slowdown);
    }

    auto startProbe(base::time_point now) -> void
    {
        const auto target = nextTarget();
        if (!target) {
            return;
        }
        m_probe = probe{*target, ++m_lastNumber, now};
        sendPing(*target, m_probe->number);
    }

    //! Goes through all nodes in random order, so that each is probed once in a round.
    auto nextTarget() -> std::optional<base::node_id>
    {
        for (int round = 0; round < 2; ++round) {
            while (!m_probeOrder.empty()) {
                const auto id = std::move(m_probeOrder.back());
                m_probeOrder.pop_back();
                const auto *known = m_members.find(id);
                if (known != nullptr && known->opinion != condition::Dead) {
                    return id;
                }
            }
            for (const auto &[id, known] : m_members.all()) {
                if (id != m_self && known.opinion != condition::Dead) {
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

    auto probeIndirectly() -> void
    {
        m_probe->isIndirect = true;
        if (const auto *target = m_members.find(m_probe->target)) {
            requestPings(*target, m_probe->number);
        }
    }

    //! Prefers nodes of failure domains other than those of both ends, because a fault of a domain
    //! would hit the direct path and such a helper alike.
    auto pickHelpers(const member &target) -> std::vector<base::node_id>
    {
        const auto own = m_members.find(m_self)->entry.failureDomain;
        const auto isForeign = [&](const member &value) {
            return value.entry.failureDomain != own
                   && value.entry.failureDomain != target.entry.failureDomain;
        };
        auto helpers = pickNodes(INDIRECT_PROBES, [&](const member &value) {
            return value.entry.id != target.entry.id && isForeign(value);
        });
        if (helpers.size() < INDIRECT_PROBES) {
            const auto others =
                    pickNodes(INDIRECT_PROBES - helpers.size(), [&](const member &value) {
                        return value.entry.id != target.entry.id && !isForeign(value);
                    });
            helpers.insert(helpers.end(), others.begin(), others.end());
        }
        return helpers;
    }

    //! Picks up to `count` random nodes that are alive and satisfy `filter` if there is one.
    auto pickNodes(std::size_t count, const std::function<bool(const member &)> &filter)
            -> std::vector<base::node_id>
    {
        std::vector<base::node_id> picked;
        std::size_t seen = 0;
        for (const auto &[id, known] : m_members.all()) {
            if (id == m_self || known.opinion != condition::Alive || (filter && !filter(known))) {
                continue;
            }
            ++seen;
            if (picked.size() < count) {
                picked.push_back(id);
            } else if (const auto slot = m_random.below(seen); slot < count) {
                picked[slot] = id;
            }
        }
        return picked;
    }

    auto failProbe(base::time_point now) -> void
    {
        const auto failed = *std::exchange(m_probe, std::nullopt);
        if (!failed.isHelperHeard) {
            // Nobody answered: the fault may be here.
            m_penalty = std::min(m_penalty + 1, MAX_HEALTH_PENALTY);
        }
        auto *known = m_members.find(failed.target);
        if (known == nullptr || known->opinion != condition::Alive) {
            return;
        }
        known->opinion = condition::Suspect;
        known->opinionSince = now;
        known->checks = 0;
        m_members.refresh(*known);
        m_suspects.insert(failed.target);
        if (!isIsolated(now)) {
            queue(update_key::kind::Status, failed.target, {});
        }
        m_isDirty = true;
    }

    [[nodiscard]] auto isIsolated(base::time_point now) const -> bool
    {
        return now - m_lastAnswer >= ISOLATION_PERIODS * m_times.probePeriod;
    }

    [[nodiscard]] auto suspicionTime(base::time_point now) const -> base::duration
    {
        const auto size = static_cast<double>(m_members.all().size());
        const double growth = std::max(1.0, std::log10(size));
        const double doubt = 1.0 + m_penalty / 2.0;
        const double isolation = isIsolated(now) ? ISOLATION_FACTOR : 1;
        return std::chrono::duration_cast<base::duration>(m_times.suspicionTime * growth * doubt
                                                          * isolation);
    }

    auto expireSuspicions(base::time_point now) -> void
    {
        if (m_suspects.empty()) {
            return;
        }
        const auto limit = suspicionTime(now);
        for (const auto &id : std::set(m_suspects)) {
            auto *known = m_members.find(id);
            if (known == nullptr || known->opinion != condition::Suspect) {
                m_suspects.erase(id);
                continue;
            }
            const auto age = now - known->opinionSince;
            if (known->checks < SUSPICION_CHECKS
                && age >= limit * (known->checks + 1) / (SUSPICION_CHECKS + 1)) {
                ++known->checks;
                checkSuspect(*known);
            }
            if (age < limit) {
                continue;
            }
            known->opinion = condition::Dead;
            known->opinionSince = now;
            m_members.refresh(*known);
            m_suspects.erase(id);
            if (!isIsolated(now)) {
                queue(update_key::kind::Status, id, {});
            }
            m_isDirty = true;
        }
    }

    //! Tells a suspect of the suspicion, directly and through other nodes, so that it can refute.
    auto checkSuspect(const member &suspect) -> void
    {
        sendPing(suspect.entry.id, ++m_lastNumber);
        requestPings(suspect, ++m_lastNumber);
    }

    auto requestPings(const member &target, std::int64_t number) -> void
    {
        for (const auto &helper : pickHelpers(target)) {
            auto message = start(message_kind::PingRequest);
            message.__set_number(number);
            message.__set_target(target.entry.id.str());
            if (target.opinion != condition::Alive) {
                message.__set_statuses({statusOf(target)});
            }
            send(helper, message);
        }
    }

    auto expireRelays(base::time_point now) -> void
    {
        for (auto current = m_relays.begin(); current != m_relays.end();) {
            if (now < current->second.deadline) {
                ++current;
                continue;
            }
            auto reply = start(message_kind::Nack);
            reply.__set_number(current->second.requesterNumber);
            send(current->second.requester, reply);
            current = m_relays.erase(current);
        }
    }

    //! Pings a dead node and a seed that is not known to be alive, to heal partitions and to join.
    auto reconnect(base::time_point now) -> void
    {
        std::vector<base::node_id> candidates;
        for (const auto &[id, known] : m_members.all()) {
            if (known.opinion == condition::Dead) {
                candidates.push_back(id);
            }
        }
        if (!candidates.empty()) {
            sendPing(candidates[m_random.below(candidates.size())], ++m_lastNumber);
        }
        std::vector<base::node_id> seeds;
        for (const auto &seed : m_seeds) {
            if (seed.id != m_self && m_members.find(seed.id) == nullptr) {
                seeds.push_back(seed.id);
            }
        }
        const bool isAlone = m_members.all().size() == 1;
        if (isAlone) {
            for (const auto &seed : seeds) {
                sendPing(seed, ++m_lastNumber);
            }
        } else if (!seeds.empty()) {
            sendPing(seeds[m_random.below(seeds.size())], ++m_lastNumber);
        }
        // Joining must not wait for the period of an established node.
        m_nextReconnect = now + (isAlone ? m_times.probePeriod : m_times.reconnectPeriod);
    }

    auto requestFullState(base::time_point now) -> void
    {
        const auto known = pickNodes(1, {});
        if (known.empty()) {
            return;
        }
        send(known.front(), start(message_kind::FullRequest));
        m_nextFullRequest = now + 2 * m_times.probePeriod;
    }

    auto gossip(base::time_point now) -> void
    {
        for (const auto &to : pickNodes(GOSSIP_FANOUT, {})) {
            auto message = start(message_kind::Gossip);
            piggyback(message, 0);
            if (message.__isset.statuses || message.__isset.changes || message.__isset.records) {
                send(to, message);
            }
        }
        m_nextGossip = now + m_times.gossipPeriod;
    }

    //! The answers that arrived during a pause have not been read yet.
    auto recoverFromPause(base::duration gap, base::time_point now) -> void
    {
        m_probe.reset();
        m_relays.clear();
        m_penalty = std::min(m_penalty + 1, MAX_HEALTH_PENALTY);
        m_lastAnswer = now;
        for (const auto &id : m_suspects) {
            if (auto *known = m_members.find(id)) {
                // A suspicion that arrived after the pause is not older than now.
                known->opinionSince = std::min(known->opinionSince + gap, now);
            }
        }
        m_nextProbe = now + m_times.directTimeout;
    }

    auto keepHouse(base::time_point now) -> void
    {
        m_nextHousekeeping = now + HOUSEKEEPING_INTERVAL;
        std::vector<base::node_id> old;
        for (const auto &[id, known] : m_members.all()) {
            if (known.opinion == condition::Dead
                && now - known.opinionSince >= m_times.forgetTime) {
                old.push_back(id);
            }
        }
        for (const auto &id : old) {
            m_members.forget(id, now);
            m_isDirty = true;
        }
        m_members.expireForgotten(now - m_times.forgottenMemory);
        auto &own = *m_members.find(m_self);
        std::erase_if(m_withdrawn, [&](const auto &item) {
            if (now - item.second < m_times.withdrawnMemory) {
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
        m_view.store(std::make_shared<const membership::view>(++m_version, std::move(nodes)));
        m_isDirty = false;
        m_nextView = now + VIEW_INTERVAL;
    }

    base::node_id m_self;
    std::vector<seed_node> m_seeds;
    directory_times m_times;
    base::random_source m_random;
    base::snapshot_cell<membership::view> m_view;
    member_table m_members;
    gossip_queue m_gossip;
    messages m_out;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_version = 0;
    bool m_isDirty = false;
    bool m_isSynchronised = false;
    //! Times at which own upstreams were withdrawn, by local name.
    std::map<std::string, base::time_point> m_withdrawn;
    std::map<base::node_id, endpoint> m_unknown;

    std::optional<probe> m_probe;
    std::int64_t m_lastNumber = 0;
    std::vector<base::node_id> m_probeOrder;
    std::map<std::int64_t, relay> m_relays;
    std::set<base::node_id> m_suspects;
    //! Number of recent probes that nobody answered; slows down the detector.
    unsigned m_penalty = 0;

    base::time_point m_lastTick;
    base::time_point m_nextProbe;
    base::time_point m_nextReconnect;
    base::time_point m_nextFullRequest;
    base::time_point m_nextHousekeeping;
    base::time_point m_nextGossip;
    base::time_point m_nextComparison;
    base::time_point m_nextView;
    base::time_point m_lastAnswer;
};

directory::directory(local_node self, std::vector<seed_node> seeds, directory_times times,
                     std::uint64_t randomSeed, base::time_point now)
    : m_state(std::make_unique<directory_state>(std::move(self), std::move(seeds), times,
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
