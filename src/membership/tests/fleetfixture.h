#pragma once

#include "base/thriftcodec.h"
#include "membership/directory.h"
#include "membership/generated/membershipwire_types.h"
#include "tests/support/virtualnetwork.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace hawthornpick::membership::test {

//! Largest payload that is sent as a datagram.
inline constexpr std::size_t MAX_DATAGRAM_BYTES = 1200;

//! Simulated nodes with one directory each, spread over three regions and seven failure domains, in
//! virtual time. The first two nodes are the seeds.
class fleet
{
public:
    fleet(std::uint64_t seed, std::size_t size, testsupport::network_faults faults,
          directory_timing timing = {})
        : network(seed, faults), m_timing(timing), m_directories(size), m_incarnations(size, 0)
    {
        for (std::size_t i = 0; i < size; ++i) {
            start(i);
        }
    }

    testsupport::virtual_network network;

    [[nodiscard]] auto size() const -> std::size_t { return m_directories.size(); }
    [[nodiscard]] static auto idOf(std::size_t index) -> base::node_id
    {
        return base::node_id("node-" + std::to_string(index));
    }
    [[nodiscard]] static auto upstreamOf(std::size_t index, int number) -> base::upstream_id
    {
        return base::upstream_id(idOf(index).str() + "/u" + std::to_string(number));
    }
    auto at(std::size_t index) -> directory & { return *m_directories.at(index); }
    [[nodiscard]] auto incarnationOf(std::size_t index) const -> base::incarnation
    {
        return m_incarnations.at(index);
    }
    //! Returns the entry of `subject` in the view of `observer`, or null. Valid until the next
    //! call.
    [[nodiscard]] auto seen(std::size_t observer, std::size_t subject) -> const node_entry *
    {
        m_observedView = at(observer).view().load();
        return m_observedView->find(idOf(subject));
    }

    //! Starts a node, or restarts it with a higher incarnation.
    auto start(std::size_t index) -> void
    {
        const auto id = idOf(index);
        ++m_incarnations.at(index);
        local_node self{id,
                        m_incarnations.at(index),
                        "host-" + std::to_string(index),
                        base::region_id("region-" + std::to_string(index % 3)),
                        base::failure_domain_id("domain-" + std::to_string(index % 7)),
                        {"10.0.0.1", static_cast<std::uint16_t>(1000 + index)}};
        const std::vector<seed_node> seeds{{idOf(0), {"10.0.0.1", 1000}},
                                           {idOf(1), {"10.0.0.1", 1001}}};
        m_directories.at(index) = std::make_unique<directory>(
                std::move(self), seeds, m_timing, network.random().bits(), network.now());
        auto &started = at(index);
        network.attach(
                id,
                [this, &started](const base::node_id &from, base::channel, std::string_view payload,
                                 base::time_point now) {
                    return keepAddressable(started, started.receive(from, payload, now));
                },
                [this, &started](base::time_point now) {
                    return keepAddressable(started, started.tick(now));
                });
    }

    auto publish(std::size_t index, int number, upstream_state state) -> void
    {
        upstream_entry entry;
        entry.id = upstreamOf(index, number);
        entry.service = base::service_id("service-" + std::to_string(number % 5));
        entry.slots = 5;
        entry.state = state;
        entry.incarnation = 1;
        at(index).publish(entry, network.now());
    }

    //! Number of messages above the datagram limit, except answers to full state requests.
    [[nodiscard]] auto oversizedMessages() const -> std::size_t { return m_oversizedMessages; }

private:
    //! Drops messages to nodes whose address the sender does not know, as the runtime does, and
    //! counts oversized messages.
    auto keepAddressable(const directory &sender, directory::messages batch) -> directory::messages
    {
        std::erase_if(batch, [&](const base::outgoing_message &message) {
            return !sender.endpointOf(message.to).has_value();
        });
        for (const auto &message : batch) {
            const bool isLarge = message.payload.size() > MAX_DATAGRAM_BYTES;
            const auto decoded =
                    isLarge ? base::decodeThrift<wire::message>(message.payload) : std::nullopt;
            m_oversizedMessages += decoded && !decoded->__isset.target ? 1 : 0;
        }
        return batch;
    }

    directory_timing m_timing;
    std::vector<std::unique_ptr<directory>> m_directories;
    std::vector<base::incarnation> m_incarnations;
    view_pointer m_observedView;
    std::size_t m_oversizedMessages = 0;
};

} // namespace hawthornpick::membership::test
