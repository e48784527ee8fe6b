#include "atmostonce/fence.h"

#include "atmostonce/generated/atmostoncewire_types.h"
#include "base/thriftcodec.h"

#include <optional>
#include <utility>

namespace hawthornpick::atmostonce {

namespace {

auto makeWireMessage(const base::attempt_id &id, base::incarnation expected) -> wire::fence_message
{
    wire::fence_message message;
    message.attempt_high = static_cast<std::int64_t>(id.high);
    message.attempt_low = static_cast<std::int64_t>(id.low);
    message.incarnation = static_cast<std::int64_t>(expected);
    return message;
}

auto attemptIdOf(const wire::fence_message &message) -> base::attempt_id
{
    return {static_cast<std::uint64_t>(message.attempt_high),
            static_cast<std::uint64_t>(message.attempt_low)};
}

auto makeFenceRequest(const attempt_place &place) -> base::outgoing_message
{
    return {place.node, base::channel::Fence,
            base::encodeThrift(makeWireMessage(place.attempt, place.incarnation))};
}

auto answerFromWire(std::int8_t value) -> std::optional<fence_answer>
{
    if (value < 0 || value > static_cast<std::int8_t>(fence_answer::Unknown)) {
        return std::nullopt;
    }
    return static_cast<fence_answer>(value);
}

} // namespace

fence_client::fence_client(post_function post) : m_post(std::move(post)) {}

auto fence_client::ask(attempt_place place, base::duration timeout, callback done) -> void
{
    m_post([this, place = std::move(place), timeout,
            done = std::move(done)](base::time_point now) mutable {
        return sendFirstRequest(place, timeout, std::move(done), now);
    });
}

auto fence_client::sendFirstRequest(const attempt_place &place, base::duration timeout,
                                    callback done, base::time_point now) -> messages
{
    auto &entry = m_pending[place];
    entry.callbacks.push_back(std::move(done));
    entry.deadline = std::max(entry.deadline, now + timeout);
    entry.lastSentAt = now;
    return {makeFenceRequest(place)};
}

auto fence_client::receive(const base::node_id &from, std::string_view payload,
                           base::time_point /*now*/) -> messages
{
    const auto message = base::decodeThrift<wire::fence_message>(payload);
    if (!message || !message->__isset.answer) {
        return {};
    }
    const auto answer = answerFromWire(message->answer);
    const attempt_place place{attemptIdOf(*message), from,
                              static_cast<base::incarnation>(message->incarnation)};
    const auto found = m_pending.find(place);
    if (!answer || found == m_pending.end()) {
        return {};
    }
    const auto callbacks = std::move(found->second.callbacks);
    m_pending.erase(found);
    for (const auto &done : callbacks) {
        done(*answer);
    }
    return {};
}

auto fence_client::tick(base::time_point now) -> messages
{
    messages out;
    std::vector<callback> expiredCallbacks;
    for (auto pending = m_pending.begin(); pending != m_pending.end();) {
        auto &entry = pending->second;
        if (now >= entry.deadline) {
            expiredCallbacks.insert(expiredCallbacks.end(), entry.callbacks.begin(),
                                    entry.callbacks.end());
            pending = m_pending.erase(pending);
            continue;
        }
        if (now - entry.lastSentAt >= RETRY_INTERVAL) {
            entry.lastSentAt = now;
            out.push_back(makeFenceRequest(pending->first));
        }
        ++pending;
    }
    for (const auto &done : expiredCallbacks) {
        done(fence_answer::Unknown);
    }
    return out;
}

fence_server::fence_server(attempt_registry &registry) : m_registry(registry) {}

auto fence_server::receive(const base::node_id &from, std::string_view payload) -> messages
{
    auto message = base::decodeThrift<wire::fence_message>(payload);
    if (!message || message->__isset.answer) {
        return {};
    }
    const auto answer = m_registry.fence(attemptIdOf(*message),
                                         static_cast<base::incarnation>(message->incarnation));
    message->__set_answer(static_cast<std::int8_t>(answer));
    return {{from, base::channel::Fence, base::encodeThrift(*message)}};
}

} // namespace hawthornpick::atmostonce
